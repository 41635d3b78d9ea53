// Package callerconn tracks the connections of callers: when they were last read from, which
// wait for a request, and how much of a response a caller has taken.
//
// Failure modes: a connection that is quiet for longer than its timeout gets no further
// reads, after which the HTTP server closes it. A caller that reads too slowly can be
// disconnected, see package bodymemory. What a caller has taken is known only on Linux;
// elsewhere the bytes of finished writes count.
package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/pipeline"
)

// minIdleTime is how long nothing must have been read from a caller's connection before a
// planned stop closes it as idle. Bytes that were read more recently may be a request
// whose goroutine has not run yet.
const minIdleTime = 250 * time.Millisecond

var pastDeadline = time.Unix(1, 0)

// Conn is a caller's connection with the times of its reads.
type Conn struct {
	net.Conn
	// lastReadAt is the time of the last read that returned bytes, or of the accept
	// before the first one, in Unix nanoseconds.
	lastReadAt atomic.Int64
	// requestStartedAt is the time of the first byte of a request that is not being
	// served yet, in Unix nanoseconds, or 0 before that byte.
	requestStartedAt atomic.Int64
	// buffers is the memory for larger buffers of the kernel, or nil for none. enlarging is set
	// once it was asked for, enlarged while the connection has it.
	buffers             *bodymemory.Account
	enlarging, enlarged atomic.Bool
	// written is the number of bytes written since the accept.
	written atomic.Int64
	// disconnected is set by Disconnect. No further request is read then, because its
	// response could not be written.
	disconnected atomic.Bool
	// waitingSince is when the connection began to wait for a request. Listener.mu
	// guards it.
	waitingSince time.Time
	// expired is set after expire has stopped reads from the connection, until the next request
	// begins. Listener.mu guards its changes.
	expired atomic.Bool
	// served is set once the connection has carried a request, and activeSince is when the
	// last one began to be handled. Listener.mu guards them.
	served      bool
	activeSince time.Time
	// writeStartedAt is when the write in progress began, in Unix nanoseconds, or 0.
	writeStartedAt atomic.Int64
	// taken is what the caller had taken of all responses at the last sample that found more
	// than the one before, which was made at progressAt. Listener.mu guards them.
	taken      int64
	progressAt time.Time
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.disconnected.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now().UnixNano()
		c.lastReadAt.Store(now)
		c.requestStartedAt.CompareAndSwap(0, now)
	}
	return n, err
}

// CloseWrite closes the sending side of the connection if it supports that. The server
// calls it before it drops an unread body, so that a reset does not destroy the answer
// that was sent already.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Listener is a listener that tracks the open connections of callers. It is safe for
// concurrent use.
type Listener struct {
	net.Listener
	// closeListener closes the listener once: both a planned stop and then the server
	// close it.
	closeListener func() error
	buffers       *bodymemory.Account
	mu            sync.Mutex
	states        map[*Conn]http.ConnState
}

// ConnContext returns the context of a connection for http.Server.ConnContext, from which packages
// pipeline and bodymemory find it.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if accepted, ok := conn.(*Conn); ok {
		ctx = pipeline.ConnContext(ctx, accepted.Conn)
	}
	return bodymemory.ConnContext(ctx, conn)
}

func NewListener(listener net.Listener) *Listener {
	return &Listener{
		Listener:      listener,
		closeListener: sync.OnceValue(listener.Close),
		states:        make(map[*Conn]http.ConnState),
	}
}

// EnlargeWithin lets connections with large bodies or responses have larger buffers of the kernel
// within the memory of an account. It must be called before the first Accept.
func (c *Listener) EnlargeWithin(buffers *bodymemory.Account) { c.buffers = buffers }

// Close implements net.Listener. Further calls return the result of the first one.
func (c *Listener) Close() error { return c.closeListener() }

// Accept implements net.Listener.
func (c *Listener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &Conn{Conn: conn, buffers: c.buffers}
	accepted.lastReadAt.Store(time.Now().UnixNano())
	return accepted, nil
}

// Track is the ConnState callback of the http.Server.
func (c *Listener) Track(conn net.Conn, state http.ConnState) {
	accepted, ok := conn.(*Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, accepted)
		return
	}
	c.states[accepted] = state
	if state == http.StateActive {
		accepted.served, accepted.activeSince = true, time.Now()
	} else {
		accepted.waitingSince = time.Now()
		accepted.requestStartedAt.Store(0)
	}
	if state == http.StateActive && accepted.expired.CompareAndSwap(true, false) {
		_ = accepted.SetReadDeadline(time.Time{}) // fails only if closed, which reads report
	}
}

// ExpireIdle stops reads from the connections that have no request in flight and from
// which nothing was read for minIdleTime, and returns the number of open connections. The
// server closes such a connection if it is waiting for a request. If the server has just
// read a request from it, the connection continues, because track removes the deadline
// when the request begins. Closing the connection here would race with that.
func (c *Listener) ExpireIdle(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.states {
		if state == http.StateActive || now.UnixNano()-conn.lastReadAt.Load() < int64(minIdleTime) {
			continue
		}
		conn.expire()
	}
	return len(c.states)
}

// expire stops reads from the connection. The caller must hold Listener.mu.
func (c *Conn) expire() {
	c.expired.Store(true)
	_ = c.Conn.SetReadDeadline(pastDeadline) // fails only if closed, which reads report
}

// SetReadDeadline implements net.Conn. The server, which sets a deadline for the next request, does
// not let a connection continue that has expired.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.expired.Load() {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}
