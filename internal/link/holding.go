package link

import (
	"context"
	"fmt"
	"net"
	"time"
)

const (
	// requestBytes is the memory of a request that is handled, besides its message.
	requestBytes = 16 << 10
	// receivingTime is how long a message may be on its way before its connection gives way to
	// a larger one.
	receivingTime = time.Second
	// holdTimeout is longer than replies wait to be taken.
	holdTimeout = 2 * writeTimeout
	// holdRetryInterval is the interval of the attempts to reserve memory for a message.
	holdRetryInterval = 20 * time.Millisecond
	// enlargedBytes is the size of the kernel's buffers of a connection that has carried a
	// request, so that large replies and bodies need few round trips. The kernel doubles it.
	enlargedBytes  = 64 << 10
	buffersPerConn = 4
)

// NoMemoryError reports a message for which no memory is left.
type NoMemoryError struct{ Bytes int64 }

// Error implements the error interface.
func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("no memory for a message that needs %d bytes", e.Bytes)
}

// connection is an open connection of a server. Server.mu guards its fields.
type connection struct {
	net.Conn
	// receivedAt is when the last message was complete, or the time of the accept.
	receivedAt time.Time
	// served is set once a request was handled.
	served bool
	// receiving is the memory held for the message that is being received, buffers that for
	// larger buffers of the kernel.
	receiving, buffers int64
	// startedAt is when the message that is being received began to hold memory.
	startedAt time.Time
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
	s.release(c.receiving)
	if c.buffers > 0 {
		s.limits.Buffers.Release(c.buffers)
	}
	c.receiving, c.buffers, c.closed = 0, 0, true
}

// release returns memory for messages.
func (s *Server) release(bytes int64) {
	if s.limits.Messages != nil && bytes > 0 {
		s.limits.Messages.Release(bytes)
	}
}

// hold reserves the memory that a message needs so far. Without memory it closes another connection,
// or waits for the requests that are handled. It returns a *NoMemoryError after holdTimeout if none of
// them is one of the connection.
func (s *Server) hold(ctx context.Context, c *connection, bytes int64) error {
	bytes += requestBytes
	startedAt := time.Now()
	for {
		s.mu.Lock()
		held := s.tryHold(c, bytes)
		waits := held || !c.closed && (s.closeReceiver(c, bytes) || c.pending > 0 || time.Since(startedAt) < holdTimeout)
		s.mu.Unlock()
		if held {
			return nil
		}
		if !waits {
			return &NoMemoryError{Bytes: bytes}
		}
		sleep(ctx, holdRetryInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// tryHold reserves memory for a message. The caller must hold mu.
func (s *Server) tryHold(c *connection, bytes int64) bool {
	more := bytes - c.receiving
	if c.closed { // what it held is released
		return false
	}
	if s.limits.Messages == nil || more <= 0 {
		return true
	}
	if s.limits.Messages.Reserve(more) != nil {
		return false
	}
	if c.receiving == 0 {
		c.startedAt = time.Now()
	}
	c.receiving += more
	return true
}

// closeReceiver closes the connection that holds most for a message that is on its way, if that is
// more than size or on its way for receivingTime. It reports whether there was one. The caller must
// hold mu.
func (s *Server) closeReceiver(requester *connection, size int64) bool {
	var largest *connection
	for c := range s.connections {
		if c == requester || c.closed || c.receiving == 0 || c.receiving <= size && time.Since(c.startedAt) < receivingTime {
			continue
		}
		if largest == nil || c.receiving > largest.receiving {
			largest = c
		}
	}
	if largest == nil {
		return false
	}
	s.release(largest.receiving)
	largest.receiving, largest.closed = 0, true
	_ = largest.Close() // its goroutine ends with the error of its read
	return true
}

// received records a complete message and returns the memory that its handling holds.
func (s *Server) received(c *connection) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := c.receiving
	c.receiving, c.receivedAt = 0, time.Now()
	c.pending++
	return held
}

// finished records that a message was handled, and releases its memory. A
// message that is no request does not count as use of the connection.
func (s *Server) finished(c *connection, held int64, isRequest bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.pending--
	s.release(held)
	if isRequest && !c.served && !c.closed {
		c.served = true
		s.enlargeBuffers(c)
	}
}

// enlargeBuffers gives a connection that has carried a request larger buffers if there is memory for
// them. The caller must hold mu.
func (s *Server) enlargeBuffers(c *connection) {
	conn, ok := innermost(c.Conn).(*net.TCPConn)
	if !ok || s.limits.Buffers == nil || s.limits.Buffers.Reserve(buffersPerConn*enlargedBytes) != nil {
		return
	}
	c.buffers = buffersPerConn * enlargedBytes
	_ = conn.SetReadBuffer(enlargedBytes) // the smaller buffers stay if it fails
	_ = conn.SetWriteBuffer(enlargedBytes)
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
	s.release(chosen.receiving)
	chosen.receiving = 0
	_ = chosen.Close() // its goroutine ends with the error of its read
	return true
}
