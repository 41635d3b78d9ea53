// Package pipeline runs the pipelined requests of a connection at the same time. It wraps
// the connections and the handler of an http.Server.
//
// While the server handles one request of a connection, the bytes behind it are read
// ahead within limits and parsed. Idempotent requests are started immediately with the
// same handler, into buffered responses. The server still reads every request itself, in
// order, and writes every response; the handler then finds the response that was started
// early.
//
// Failure modes: bytes that do not parse, and requests that must not be started early, are
// left to the server, which handles them as if nothing had been read ahead. The end of the
// caller's byte stream, a read error and a response that closes the connection cancel the
// requests that were started early. If the limits are exhausted, nothing more is read
// until the server has caught up.
package pipeline

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// Defaults of Options.
const (
	// DefaultMaxRequests bounds the requests of a connection that are started early.
	DefaultMaxRequests = 8
	// DefaultMaxBytes bounds the bytes of a connection that are read ahead.
	DefaultMaxBytes = 64 << 10
)

// Memory accounts for the bytes that connections hold. It must be safe for concurrent use.
type Memory interface {
	// Reserve reserves n bytes, or returns an error if they are not available.
	Reserve(n int64) error
	// Release releases n reserved bytes.
	Release(n int64)
}

// Options are the limits of a Listener and what it reports to. All fields may be zero.
type Options struct {
	// MaxRequests and MaxBytes are limits per connection. 0 stands for the default.
	MaxRequests, MaxBytes int
	// Memory is the limit over all connections; nil stands for none. If it is exhausted,
	// nothing more is read ahead, and an early response waits for its turn before it
	// continues to write.
	Memory Memory
	// Heads limits the heads of requests; nil stands for no limit.
	Heads *HeadLimits
	// Draining reports whether the process is stopping. Then nothing more is read ahead,
	// and the last of the requests that were read closes its connection. Nil stands for
	// never.
	Draining func() bool
	// Registry gets the metrics, whose names begin with Prefix.
	Registry metrics.Registry
	Prefix   string
	Log      zerolog.Logger
}

// Listener is a net.Listener whose connections are read ahead. It is safe for concurrent
// use.
type Listener struct {
	net.Listener
	options Options

	begun, used, cancelled, stalls, refusedHeads metrics.Counter
	// depth is the number of requests that were started early and whose turn has not come.
	depth atomic.Int64

	mu sync.Mutex
	// ahead are the connections with requests that were started early.
	ahead map[*conn]struct{}

	headsMu sync.Mutex
	// heads are the connections that have reserved memory for a head.
	heads map[*conn]int64
}

// NewListener returns a listener that wraps the connections of another one.
func NewListener(listener net.Listener, options Options) *Listener {
	options.MaxRequests = cmp.Or(options.MaxRequests, DefaultMaxRequests)
	options.MaxBytes = cmp.Or(options.MaxBytes, DefaultMaxBytes)
	if options.Draining == nil {
		options.Draining = func() bool { return false }
	}
	if options.Registry == nil {
		options.Registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter(options.Prefix+"pipeline."+name, options.Registry)
	}
	l := &Listener{
		Listener: listener, options: options, ahead: make(map[*conn]struct{}), heads: make(map[*conn]int64),
		refusedHeads: counter("refused_heads"),
		begun:        counter("begun"), used: counter("used"), cancelled: counter("cancelled"), stalls: counter("stalls"),
	}
	_ = options.Registry.Register(options.Prefix+"pipeline.depth", metrics.NewFunctionalGauge(l.depth.Load)) // fails for a second listener, whose depth is not shown
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(accepted, l), nil
}

// Depth returns the number of requests that were started early and whose turn has not
// come. A nil Listener has none.
func (l *Listener) Depth() int64 {
	if l == nil {
		return 0
	}
	return l.depth.Load()
}

// Description describes a connection with requests that were started early.
type Description struct {
	Caller string `json:"caller"`
	// Requests are the targets of the requests, in order.
	Requests []string `json:"requests"`
	// Ready is the number of them whose responses are complete.
	Ready int `json:"ready"`
	// Bytes is the number of bytes that were read ahead.
	Bytes int `json:"bytes"`
	// OldestMillis is the time since the first of the requests was started.
	OldestMillis int64 `json:"oldest_ms"`
}

// Describe returns the connections with requests that were started early, ordered by
// caller. A nil Listener has none.
func (l *Listener) Describe(now time.Time) []Description {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.ahead))
	for c := range l.ahead {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	descriptions := make([]Description, 0, len(conns))
	for _, c := range conns {
		if d, ok := c.describe(now); ok {
			descriptions = append(descriptions, d)
		}
	}
	slices.SortFunc(descriptions, func(a, b Description) int { return cmp.Compare(a.Caller, b.Caller) })
	return descriptions
}

// record updates the depth and the set of connections after the early requests of a
// connection have changed by delta to count.
func (l *Listener) record(c *conn, delta, count int) {
	l.depth.Add(int64(delta))
	l.mu.Lock()
	defer l.mu.Unlock()
	if count > 0 {
		l.ahead[c] = struct{}{}
	} else {
		delete(l.ahead, c)
	}
}

type connKey struct{}

// ConnContext returns the context of a connection for http.Server.ConnContext. The
// connection must be one that a Listener has accepted; the context of any other connection
// is returned unchanged.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}
