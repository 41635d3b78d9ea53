package edge

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// quietTime is how long a caller's connection must have brought nothing before a
// planned stop closes it as idle. Bytes that were read a moment ago may be a request
// that no goroutine has come to yet.
const quietTime = 250 * time.Millisecond

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// callerConn is a connection of a caller that knows when it last brought bytes.
type callerConn struct {
	net.Conn
	// heardAt is when it was accepted or last brought bytes, in Unix nanoseconds.
	heardAt atomic.Int64
	// firstAt is when the first byte of a request came that is not served yet, in Unix
	// nanoseconds; zero before.
	firstAt atomic.Int64
	// waitsSince is when it began to wait for a request; callerConns guards it.
	waitsSince time.Time
	// expired says that its reading was ended; callerConns guards it.
	expired bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now().UnixNano()
		c.heardAt.Store(now)
		c.firstAt.CompareAndSwap(0, now)
	}
	return n, err
}

// CloseWrite ends the answers while the caller still sends, where the connection can:
// the server does so before it drops an unread body, so that the answer is not lost
// with a reset.
func (c *callerConn) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

// callerConns are the open connections of callers. It is safe for concurrent use.
type callerConns struct {
	net.Listener
	// closePort closes the port once: a planned stop does, and the server after it.
	closePort func() error
	mu        sync.Mutex
	states    map[*callerConn]http.ConnState
}

func newCallerConns(listener net.Listener) *callerConns {
	return &callerConns{
		Listener:  listener,
		closePort: sync.OnceValue(listener.Close),
		states:    make(map[*callerConn]http.ConnState),
	}
}

// Close implements net.Listener; a second call gives the result of the first.
func (c *callerConns) Close() error { return c.closePort() }

// Accept implements net.Listener.
func (c *callerConns) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &callerConn{Conn: conn}
	accepted.heardAt.Store(time.Now().UnixNano())
	return accepted, nil
}

// track is the http.Server's ConnState.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	accepted, ours := conn.(*callerConn)
	if !ours {
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
		accepted.waitsSince = time.Now()
		accepted.firstAt.Store(0)
	}
	if state == http.StateActive && accepted.expired {
		accepted.expired = false
		_ = accepted.SetReadDeadline(time.Time{}) // a closed one shows itself to its reader
	}
}

// closeQuiet ends the reading of connections without a request that have brought
// nothing for a while, and returns how many are open. The server closes one that it
// waits for; one whose bytes it has just read goes on, since the deadline is lifted
// when its request begins. Closing here would race with that.
func (c *callerConns) closeQuiet(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.states {
		if state == http.StateActive || now.UnixNano()-conn.heardAt.Load() < int64(quietTime) {
			continue
		}
		conn.expire()
	}
	return len(c.states)
}

// expire ends the reading of the connection; callerConns holds its lock.
func (c *callerConn) expire() {
	c.expired = true
	_ = c.SetReadDeadline(past) // a closed one shows itself to its reader
}
