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
	"syscall"
)

// Network is the body of PUT /faults/network.
type Network struct {
	// Blocked holds the prefixes of the blocked addresses ("IP:port"). It replaces
	// the prefixes set before.
	Blocked []string `json:"blocked"`
}

var (
	mu              sync.Mutex
	blockedPrefixes []string
	openConns       = make(map[*faultConn]bool)
)

// FaultHandler returns the handler for PUT /faults/network.
func FaultHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var network Network
		if err := json.NewDecoder(r.Body).Decode(&network); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		setBlocked(network.Blocked)
		w.WriteHeader(http.StatusNoContent)
	})
}

// setBlocked replaces the blocked prefixes and black-holes the open connections to
// addresses that they match. A black-holed connection stays so when its address
// is unblocked.
func setBlocked(prefixes []string) {
	mu.Lock()
	defer mu.Unlock()
	blockedPrefixes = prefixes
	for conn := range openConns {
		if isBlocked(conn.address) {
			conn.blackholed.Store(true)
		}
	}
}

// isBlocked reports whether a prefix blocks the address. It must be called with the
// lock held.
func isBlocked(address string) bool {
	for _, prefix := range blockedPrefixes {
		if strings.HasPrefix(address, prefix) {
			return true
		}
	}
	return false
}

// waitIfBlocked returns at once if the address is not blocked. Otherwise it waits
// until ctx ends and returns its error, as a dial does whose packets are lost.
func waitIfBlocked(ctx context.Context, address string) error {
	mu.Lock()
	blocked := isBlocked(address)
	mu.Unlock()
	if !blocked {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func wrapConn(conn net.Conn, address string) net.Conn {
	wrapped := &faultConn{Conn: conn, address: address}
	mu.Lock()
	defer mu.Unlock()
	openConns[wrapped] = true
	wrapped.blackholed.Store(isBlocked(address))
	return wrapped
}

// faultConn is a connection that discards all data in both directions once it is
// black-holed.
type faultConn struct {
	net.Conn
	address    string
	blackholed atomic.Bool
}

// Read implements net.Conn. Data that it reads once the connection is black-holed
// is discarded.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. Data written once the connection is black-holed is
// discarded and reported as written.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// SyscallConn implements syscall.Conn.
func (c *faultConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return conn.SyscallConn()
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	mu.Lock()
	delete(openConns, c)
	mu.Unlock()
	return c.Conn.Close()
}
