// Package crowd imitates callers that do not behave, for tests of a listener's limits: many
// connections that send large or endless requests, or stop within them, or do not read the
// answers. It also measures what the process behind the listener holds meanwhile.
//
// A crowd sends a bounded number of bytes to one loopback address and then keeps its
// connections open until it is closed.
package crowd

import (
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// stallTimeout is how long a write may make no progress until its member stops sending.
	stallTimeout = 300 * time.Millisecond
	// receiveBufferBytes is the receive buffer of a member, so that the answers that it does
	// not read stay with the process.
	receiveBufferBytes = 4096
)

// Kind is one way in which callers do not behave.
type Kind struct {
	Name string
	// Members is the number of connections.
	Members int
	// Send sends what one member sends. It returns at the first error.
	Send func(conn net.Conn) error
	// Drip is sent one byte at a time by each member until the crowd is closed.
	Drip string
}

// dripInterval is the time between the bytes of Kind.Drip.
const dripInterval = 50 * time.Millisecond

// Crowd is a number of connections that stay open.
type Crowd struct {
	closed  chan struct{}
	members sync.WaitGroup
	mu      sync.Mutex
	conns   []net.Conn
}

// Gather opens the connections of a crowd and returns when each of its members has sent what
// it has to send, or has been refused, or cannot send on.
func Gather(kind Kind, address string) *Crowd {
	c := &Crowd{closed: make(chan struct{})}
	var sending sync.WaitGroup
	for range kind.Members {
		sending.Go(func() { c.join(kind, address) })
	}
	sending.Wait()
	return c
}

// join opens one connection and sends on it.
func (c *Crowd) join(kind Kind, address string) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return // refused, as the listener may
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	if kind.Send(stallingConn{conn}) != nil || kind.Drip == "" {
		return
	}
	c.members.Go(func() { c.drip(conn, kind.Drip) })
}

// drip sends text slowly until the crowd or the connection is closed.
func (c *Crowd) drip(conn net.Conn, text string) {
	for i := 0; ; i++ {
		select {
		case <-c.closed:
			return
		case <-time.After(dripInterval):
		}
		if _, err := (stallingConn{conn}).Write([]byte{text[i%len(text)]}); err != nil {
			return
		}
	}
}

// Close closes all connections.
func (c *Crowd) Close() {
	close(c.closed)
	c.members.Wait()
	for _, conn := range c.conns {
		_ = conn.Close() // the process may have closed it
	}
}

// stallingConn fails writes that make no progress.
type stallingConn struct{ net.Conn }

// Write implements net.Conn.
func (c stallingConn) Write(p []byte) (int, error) {
	const pieceBytes = 64 << 10
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+pieceBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
