package link

import (
	"net"
	"time"
)

const (
	// proofBufferBytes is the size of the kernel's buffers of a connection that has carried a
	// request, so that large replies and bodies need few round trips. The kernel doubles it.
	proofBufferBytes = 64 << 10
	buffersPerConn   = 4
)

// connection is an open connection of a server. Server.mu guards its fields.
type connection struct {
	net.Conn
	// receivedAt is when the last message was complete, or the time of the accept.
	receivedAt time.Time
	// served is set once a request was handled.
	served bool
	// buffers is the memory for larger buffers of the kernel.
	buffers int64
	// pending is the number of requests that are handled.
	pending int
	closed  bool
}

// track records an open connection.
func (s *Server) track(conn net.Conn) *connection {
	c := &connection{Conn: conn, receivedAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[c] = struct{}{}
	return c
}

// forget removes a connection and releases what it holds.
func (s *Server) forget(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	if c.buffers > 0 {
		s.limits.Buffers.Release(c.buffers)
	}
	c.buffers, c.closed = 0, true
}

// received records a complete message.
func (s *Server) received(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.receivedAt = time.Now()
	c.pending++
}

// finished records that a message was handled.
func (s *Server) finished(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.pending--
	if !c.served && !c.closed {
		c.served = true
		s.enlargeBuffers(c)
	}
}

// enlargeBuffers gives a connection that has carried a request larger buffers if there is memory for
// them. The caller must hold mu.
func (s *Server) enlargeBuffers(c *connection) {
	conn, ok := innermost(c.Conn).(*net.TCPConn)
	if !ok || s.limits.Buffers == nil || s.limits.Buffers.Reserve(buffersPerConn*proofBufferBytes) != nil {
		return
	}
	c.buffers = buffersPerConn * proofBufferBytes
	_ = conn.SetReadBuffer(proofBufferBytes) // the smaller buffers stay if it fails
	_ = conn.SetWriteBuffer(proofBufferBytes)
}

// innermost returns the connection of the network below all wrappers.
func innermost(conn net.Conn) net.Conn {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = wrapper.NetConn()
	}
}

// makeRoom closes the connection that has received nothing complete for longest in favor of a new
// one, and reports whether there was one: first of those that never carried a request, then of
// those that have none in progress.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var chosen *connection
	for c := range s.connections {
		if c.closed || c.pending > 0 {
			continue
		}
		if chosen == nil || chosen.served && !c.served || chosen.served == c.served && c.receivedAt.Before(chosen.receivedAt) {
			chosen = c
		}
	}
	if chosen == nil {
		return false
	}
	chosen.closed = true
	_ = chosen.Close() // its goroutine ends with the error of its read
	return true
}
