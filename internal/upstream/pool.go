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

// defaultIdleTime is how long an idle connection is used without another bound.
const defaultIdleTime = time.Minute

// ConnectionLimitError reports an endpoint whose connections are all in use.
type ConnectionLimitError struct{ Limit int }

// Error implements the error interface.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections are in use", e.Limit)
}

// Pool holds the connections to one endpoint and bounds their number.
type Pool struct {
	address string
	dialect *Dialect
	// idleTime is how long a connection may be idle and still be used.
	idleTime time.Duration

	mu      sync.Mutex
	maxIdle int
	limit   int
	open    int
	retired bool
	idle    []*connection
}

type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	reused bool
	// expires is when the connection is not used any more.
	expires time.Time
}

// NewPool returns a pool for the endpoint that keeps at most maxIdle idle
// connections and opens at most limit; a limit of 0 is no bound.
func NewPool(address string, maxIdle, limit int) *Pool {
	return &Pool{address: address, dialect: ownDialect, idleTime: defaultIdleTime, maxIdle: maxIdle, limit: limit}
}

// NewDialectPool returns a pool for an endpoint that speaks the dialect and
// keeps idle connections for at most idleTime.
func NewDialectPool(address string, dialect *Dialect, idleTime time.Duration, maxIdle, limit int) *Pool {
	return &Pool{address: address, dialect: dialect, idleTime: idleTime, maxIdle: maxIdle, limit: limit}
}

// SetLimits replaces the limits for the next connection.
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

// Retire says whether connections are kept at all; a retired pool closes each
// after its exchange.
func (p *Pool) Retire(retired bool) {
	p.mu.Lock()
	p.retired = retired
	p.mu.Unlock()
	if retired {
		p.Close()
	}
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func (p *Pool) take(ctx context.Context, fresh bool) (*connection, error) {
	for !fresh {
		c := p.popIdle()
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.quiet() {
			c.reused = true
			return c, nil
		}
		p.discard(c)
	}
	if err := p.reserve(); err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.unreserve()
		return nil, err
	}
	return &connection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

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

// reserve makes room for one more connection, closing an idle one if need be.
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

func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *Pool) put(c *connection, expires time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.expires = expires
	if p.retired || len(p.idle) >= p.maxIdle {
		p.open--
		_ = c.conn.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) discard(c *connection) {
	_ = c.conn.Close()
	p.unreserve()
}

// quiet reports whether an idle connection is open and has nothing to read. A
// connection that the upstream closed, or on which it sent something late, is
// not used again.
func (c *connection) quiet() bool {
	raw, ok := c.conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	descriptor, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = descriptor.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
