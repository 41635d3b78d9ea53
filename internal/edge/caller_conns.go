package edge

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// minIdleTime is how long nothing must have been read from a caller's connection before a
// planned stop closes it as idle. Bytes that were read more recently may be a request
// whose goroutine has not run yet.
const minIdleTime = 250 * time.Millisecond

var pastDeadline = time.Unix(1, 0)

// callerConn is a caller's connection with the times of its reads.
type callerConn struct {
	net.Conn
	// lastReadAt is the time of the last read that returned bytes, or of the accept
	// before the first one, in Unix nanoseconds.
	lastReadAt atomic.Int64
	// requestStartedAt is the time of the first byte of a request that is not being
	// served yet, in Unix nanoseconds, or 0 before that byte.
	requestStartedAt atomic.Int64
	// written is the number of bytes written since the accept.
	written atomic.Int64
	// disconnected is set by Disconnect. No further request is read then, because its
	// response could not be written.
	disconnected atomic.Bool
	// waitingSince is when the connection began to wait for a request. callerConns.mu
	// guards it.
	waitingSince time.Time
	// expired is set after expire has stopped reads from the connection. callerConns.mu
	// guards it.
	expired bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
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
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// callerConns is a listener that tracks the open connections of callers. It is safe for
// concurrent use.
type callerConns struct {
	net.Listener
	// closeListener closes the listener once: both a planned stop and then the server
	// close it.
	closeListener func() error
	mu            sync.Mutex
	states        map[*callerConn]http.ConnState
}

func newCallerConns(listener net.Listener) *callerConns {
	return &callerConns{
		Listener:      listener,
		closeListener: sync.OnceValue(listener.Close),
		states:        make(map[*callerConn]http.ConnState),
	}
}

// Close implements net.Listener. Further calls return the result of the first one.
func (c *callerConns) Close() error { return c.closeListener() }

// Accept implements net.Listener.
func (c *callerConns) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &callerConn{Conn: conn}
	accepted.lastReadAt.Store(time.Now().UnixNano())
	return accepted, nil
}

// track is the ConnState callback of the http.Server.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	accepted, ok := conn.(*callerConn)
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
	if state != http.StateActive {
		accepted.waitingSince = time.Now()
		accepted.requestStartedAt.Store(0)
	}
	if state == http.StateActive && accepted.expired {
		accepted.expired = false
		_ = accepted.SetReadDeadline(time.Time{}) // fails only if closed, which reads report
	}
}

// expireIdle stops reads from the connections that have no request in flight and from
// which nothing was read for minIdleTime, and returns the number of open connections. The
// server closes such a connection if it is waiting for a request. If the server has just
// read a request from it, the connection continues, because track removes the deadline
// when the request begins. Closing the connection here would race with that.
func (c *callerConns) expireIdle(now time.Time) int {
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

// expire stops reads from the connection. The caller must hold callerConns.mu.
func (c *callerConn) expire() {
	c.expired = true
	_ = c.SetReadDeadline(pastDeadline) // fails only if closed, which reads report
}
