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

// busyCaller sends requests over a kept-alive connection until one is refused or fails. It
// counts the connections that it opens.
type busyCaller struct {
	served      atomic.Int64
	connections atomic.Int64
	done        chan struct{}
	lastAnswer  string
}

// startBusyCaller implements "busy NAME URL [HEADER: VALUE]...". It sends GET requests
// without a pause in the background, and returns after the first one is served.
func startBusyCaller(ts *testscript.TestScript, _ bool, args []string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+args[1], nil)
	ts.Check(err)
	for _, arg := range args[2:] {
		name, value, _ := strings.Cut(arg, ": ")
		r.Header.Set(name, value)
	}
	caller := &busyCaller{done: make(chan struct{})}
	busyCallers(ts)[args[0]] = caller
	go caller.sendUntilRefused(r)
	for deadline := time.Now().Add(waitTimeout); caller.served.Load() == 0; time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			ts.Fatalf("busy %s: no request was served", args[0])
		}
	}
}

func busyCallers(ts *testscript.TestScript) map[string]*busyCaller {
	return ts.Value(busyCallersKey).(map[string]*busyCaller)
}

// busyCallersKey is the key of a script's busy callers in the values of testscript.
const busyCallersKey = "busy callers"

func (c *busyCaller) sendUntilRefused(r *http.Request) {
	defer close(c.done)
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c.connections.Add(1)
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	}}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		answer, err := client.Do(r.Clone(context.Background()))
		if err != nil {
			c.lastAnswer = err.Error()
			return
		}
		_, _ = io.Copy(io.Discard, answer.Body) // only the status matters
		_ = answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			c.lastAnswer = answer.Status
			return
		}
		c.served.Add(1)
	}
}

// endBusyCaller implements "busyend NAME". It waits until a request is refused or fails, and
// prints the number of connections opened and the last status or error.
func endBusyCaller(ts *testscript.TestScript, _ bool, args []string) {
	caller := busyCallers(ts)[args[0]]
	<-caller.done
	_, err := fmt.Fprintf(ts.Stdout(), "connections: %d\nlast: %s\n", caller.connections.Load(), caller.lastAnswer)
	ts.Check(err)
}
