package scenario

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// busyCaller sends requests over one open connection until one is refused.
type busyCaller struct {
	served      atomic.Int64
	connections atomic.Int64
	ended       chan struct{}
	last        string
}

// busy NAME URL [HEADER: VALUE]... sends GET requests without a pause over one
// connection and waits for the first answer.
func busy(ts *testscript.TestScript, _ bool, args []string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+args[1], nil)
	ts.Check(err)
	for _, arg := range args[2:] {
		name, value, _ := strings.Cut(arg, ": ")
		r.Header.Set(name, value)
	}
	caller := &busyCaller{ended: make(chan struct{})}
	busyCallers(ts)[args[0]] = caller
	go caller.run(r)
	for deadline := time.Now().Add(awaitLimit); caller.served.Load() == 0; time.Sleep(awaitPause) {
		if time.Now().After(deadline) {
			ts.Fatalf("busy %s: nothing was served", args[0])
		}
	}
}

func busyCallers(ts *testscript.TestScript) map[string]*busyCaller {
	return ts.Value(busyKey).(map[string]*busyCaller)
}

// busyKey is the key of a script's busy callers.
const busyKey = "busy callers"

func (c *busyCaller) run(r *http.Request) {
	defer close(c.ended)
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c.connections.Add(1)
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	}}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(awaitLimit); time.Now().Before(deadline); {
		answer, err := client.Do(r.Clone(context.Background()))
		if err != nil {
			c.last = err.Error()
			return
		}
		_, _ = io.Copy(io.Discard, answer.Body) // the status is what counts
		_ = answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			c.last = answer.Status
			return
		}
		c.served.Add(1)
	}
}

// busyend NAME waits until a request is refused and prints what happened.
func busyEnd(ts *testscript.TestScript, _ bool, args []string) {
	caller := busyCallers(ts)[args[0]]
	<-caller.ended
	_, err := fmt.Fprintf(ts.Stdout(), "connections: %d\nlast: %s\n", caller.connections.Load(), caller.last)
	ts.Check(err)
}
