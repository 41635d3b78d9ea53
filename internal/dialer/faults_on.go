//go:build faults

package dialer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// Network is the body of PUT /faults/network.
type Network struct {
	// Blocked holds prefixes of addresses.
	Blocked []string `json:"blocked"`
}

var (
	mu      sync.Mutex
	blocked []string
	open    = make(map[*cuttable]bool)
)

// FaultHandler returns the handler of PUT /faults/network.
func FaultHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var network Network
		if err := json.NewDecoder(r.Body).Decode(&network); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		block(network.Blocked)
		w.WriteHeader(http.StatusNoContent)
	})
}

func block(prefixes []string) {
	mu.Lock()
	defer mu.Unlock()
	blocked = prefixes
	for conn := range open {
		if isBlocked(conn.address) {
			conn.cut.Store(true)
		}
	}
}

// isBlocked must be called with the lock held.
func isBlocked(address string) bool {
	for _, prefix := range blocked {
		if strings.HasPrefix(address, prefix) {
			return true
		}
	}
	return false
}

// awaitPermitted waits like a dial whose packets are lost.
func awaitPermitted(ctx context.Context, address string) error {
	mu.Lock()
	lost := isBlocked(address)
	mu.Unlock()
	if !lost {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func wrap(conn net.Conn, address string) net.Conn {
	wrapped := &cuttable{Conn: conn, address: address}
	mu.Lock()
	defer mu.Unlock()
	open[wrapped] = true
	wrapped.cut.Store(isBlocked(address))
	return wrapped
}

// cuttable is a connection that loses everything once it is cut.
type cuttable struct {
	net.Conn
	address string
	cut     atomic.Bool
}

// Read implements net.Conn. What arrives after the cut is lost.
func (c *cuttable) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.cut.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. What is written after the cut is lost.
func (c *cuttable) Write(p []byte) (int, error) {
	if c.cut.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *cuttable) Close() error {
	mu.Lock()
	delete(open, c)
	mu.Unlock()
	return c.Conn.Close()
}
