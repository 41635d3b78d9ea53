package callerconn

import (
	"net"
	"syscall"
)

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
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
	if conn, ok := c.innermost().(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0) // fails only if closed
	}
	_ = c.SetDeadline(pastDeadline) // fails only if closed
}
