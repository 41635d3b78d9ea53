package callerconn

import (
	"net"
	"syscall"
	"time"
)

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeStartedAt.Store(time.Now().UnixNano())
	n, err := c.Conn.Write(p)
	c.writeStartedAt.Store(0)
	c.written.Add(int64(n))
	return n, err
}

// BytesWritten implements bodymemory.Conn.
func (c *Conn) BytesWritten() int64 { return c.written.Load() }

// BytesRead implements bodymemory.Conn with the kernel's count of acknowledged bytes. On a
// connection without one it returns the bytes of the writes that have ended.
func (c *Conn) BytesRead() int64 {
	if conn, ok := c.innermost().(syscall.Conn); ok {
		if acknowledged, ok := acknowledgedBytes(conn); ok {
			return acknowledged
		}
	}
	return c.written.Load()
}

// innermost returns the connection of the network below all wrappers.
func (c *Conn) innermost() net.Conn {
	conn := c.Conn
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = wrapper.NetConn()
	}
}

// Disconnect implements bodymemory.Conn. Its blocked write fails, and the server closes the
// connection. What the kernel still holds for the caller is dropped.
func (c *Conn) Disconnect() {
	c.disconnected.Store(true)
	if conn, ok := c.Conn.(interface{ Abort() }); ok {
		conn.Abort()
	}
	if conn, ok := c.innermost().(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0) // fails only if closed
	}
	_ = c.SetDeadline(pastDeadline) // fails only if closed
}

const (
	// enlargedBytes is the size of the kernel's buffers of a connection with a large body or
	// response, which the kernel doubles.
	enlargedBytes = 64 << 10
	// enlargedMemory is the memory for both buffers.
	enlargedMemory = 4 * enlargedBytes
)

// Enlarge implements bodymemory.Conn. The buffers stay as large until the connection is closed.
func (c *Conn) Enlarge() {
	conn, ok := c.innermost().(*net.TCPConn)
	if !ok || c.buffers == nil || !c.enlarging.CompareAndSwap(false, true) {
		return
	}
	if c.buffers.Reserve(enlargedMemory) != nil {
		c.enlarging.Store(false)
		return
	}
	c.enlarged.Store(true)
	_ = conn.SetReadBuffer(enlargedBytes) // the smaller buffers stay if it fails
	_ = conn.SetWriteBuffer(enlargedBytes)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.enlarged.CompareAndSwap(true, false) {
		c.buffers.Release(enlargedMemory)
	}
	return c.Conn.Close()
}

// StopReading implements bodymemory.Conn. It does not use the connections in between, whose locks
// the caller of this function may wait for.
func (c *Conn) StopReading() {
	_ = c.innermost().SetReadDeadline(pastDeadline) // fails only if closed
}
