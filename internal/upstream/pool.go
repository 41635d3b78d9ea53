package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// dialTimeout bounds the opening of a connection.
const dialTimeout = 250 * time.Millisecond

// defaultIdleTime is how long a connection may stay idle and still be reused if the
// endpoint states no shorter timeout.
const defaultIdleTime = time.Minute

// ConnectionLimitError reports that all connections to an endpoint are in use.
type ConnectionLimitError struct{ Limit int }

// Error implements the error interface.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections are in use", e.Limit)
}

// DialFunc opens a TCP connection to an address by the deadline of ctx.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Pool holds the connections to one endpoint and bounds their number.
type Pool struct {
	address string
	dialect *Dialect
	dial    DialFunc
	// idleTime is how long a connection may stay idle and still be reused.
	idleTime time.Duration
	bodies   bodiesInFlight

	mu      sync.Mutex
	maxIdle int
	limit   int
	open    int // open connections, including idle ones
	retired bool
	idle    []*connection
}

// connection is one open connection of a pool.
type connection struct {
	conn net.Conn
	// reader reads from head, which reads from conn.
	reader *bufio.Reader
	head   *headLimiter
	reused bool
	// idleDeadline is the time from which the idle connection is not reused.
	idleDeadline time.Time
}

// NewPool returns a pool for an endpoint of the default dialect. It keeps at most
// maxIdle idle connections and has at most limit connections open; a limit of 0
// means no limit.
func NewPool(address string, maxIdle, limit int) *Pool {
	return &Pool{address: address, dialect: defaultDialect, dial: Dial, idleTime: defaultIdleTime, maxIdle: maxIdle, limit: limit}
}

// NewDialectPool returns a pool for an endpoint of the given dialect. It reuses
// connections that were idle for at most idleTime; the limits are those of NewPool.
func NewDialectPool(address string, dialect *Dialect, idleTime time.Duration, maxIdle, limit int) *Pool {
	return &Pool{address: address, dialect: dialect, dial: Dial, idleTime: idleTime, maxIdle: maxIdle, limit: limit}
}

// WithDialer makes the pool open its connections with dial and returns the pool. It must be
// called before the pool is used.
func (p *Pool) WithDialer(dial DialFunc) *Pool {
	p.dial = dial
	return p
}

// SetLimits replaces the limits. They apply to connections that are opened or
// returned to the pool from now on; open ones are not closed.
func (p *Pool) SetLimits(maxIdle, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = maxIdle
	p.limit = limit
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.conn.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}

// SetRetired sets whether the pool is retired. A retired pool closes its idle
// connections and every other one after its exchange.
func (p *Pool) SetRetired(retired bool) {
	p.mu.Lock()
	p.retired = retired
	p.mu.Unlock()
	if retired {
		p.Close()
	}
}

// OpenConnections returns the number of open connections.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// acquire returns an idle connection that can be reused, or opens one. If fresh is
// set, it always opens one.
func (p *Pool) acquire(ctx context.Context, fresh bool) (*connection, error) {
	for !fresh {
		c := p.popIdle()
		if c == nil {
			break
		}
		if time.Now().Before(c.idleDeadline) && c.reusable() {
			c.reused = true
			return c, nil
		}
		p.discard(c)
	}
	if err := p.reserve(); err != nil {
		return nil, err
	}
	conn, err := p.dial(ctx, p.address)
	if err != nil {
		p.decrementOpen()
		return nil, err
	}
	head := &headLimiter{conn: conn}
	return &connection{conn: conn, head: head, reader: bufio.NewReader(head)}, nil
}

// popIdle removes and returns the idle connection that was released last, or returns
// nil if there is none.
func (p *Pool) popIdle() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// reserve counts one more open connection. At the limit it first closes the idle
// connection that was released earliest. It returns a *ConnectionLimitError if all
// are in use.
func (p *Pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit > 0 && p.open >= p.limit {
		if len(p.idle) == 0 {
			return &ConnectionLimitError{Limit: p.limit}
		}
		_ = p.idle[0].conn.Close()
		p.idle = p.idle[1:]
		p.open--
	}
	p.open++
	return nil
}

func (p *Pool) decrementOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// release returns a connection to the pool after its exchange, or closes it if the
// pool is retired or has enough idle connections.
func (p *Pool) release(c *connection, idleDeadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleDeadline = idleDeadline
	if p.retired || len(p.idle) >= p.maxIdle {
		p.open--
		_ = c.conn.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) discard(c *connection) {
	_ = c.conn.Close()
	p.decrementOpen()
}

// reusable reports whether an idle connection is open and has nothing to read. A
// connection that the upstream closed, or on which it sent data after the answer,
// is not reused.
func (c *connection) reusable() bool {
	syscallConn, ok := c.conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
