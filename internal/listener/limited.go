package listener

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

const (
	// roomTimeout bounds the wait for room for a new connection.
	roomTimeout = time.Second
	// closeTimeout is how long a connection that is being closed may take until another one is
	// closed too: a request that has just begun lets it continue.
	closeTimeout = 20 * time.Millisecond
)

// Memory accounts for the memory of connections. It must be safe for concurrent use.
type Memory interface {
	// Reserve reserves n bytes, or returns an error if they are not available.
	Reserve(n int64) error
	// Release releases n reserved bytes.
	Release(n int64)
}

// ConnBytes is the memory of the process that a connection takes without a large request: the
// stacks of its goroutines, the buffers of the HTTP library and a small head.
const ConnBytes = 20 << 10

// Options are the limits of a Limited listener and what it reports to. All fields may be zero.
type Options struct {
	// Name is the name of the listener in logs and metrics.
	Name   string
	Limits Limits
	// Memory is that for connections; nil stands for no limit.
	Memory Memory
	// Register is called with the listener. It may be nil.
	Register func(*Limited)
	// Registry gets the metrics, whose names begin with Prefix.
	Registry metrics.Registry
	Prefix   string
	Log      zerolog.Logger
}

// Limited is a net.Listener with a bounded number of open connections. It is safe for concurrent
// use.
type Limited struct {
	net.Listener
	options Options
	// makeRoom closes connections that make no progress and reports whether any are being closed.
	makeRoom func() bool
	// freed gets a value when a connection was closed.
	freed chan struct{}

	closedForOthers, refused metrics.Counter

	mu         sync.Mutex
	open, most int
}

// Limit returns a listener that limits the connections of another one.
func Limit(inner net.Listener, options Options) *Limited {
	if options.Registry == nil {
		options.Registry = metrics.NewRegistry()
	}
	name := options.Prefix + "listener." + options.Name + "."
	l := &Limited{
		Listener: inner, options: options, freed: make(chan struct{}, 1), makeRoom: func() bool { return false },
		closedForOthers: metrics.GetOrRegisterCounter(name+"closed_for_others", options.Registry),
		refused:         metrics.GetOrRegisterCounter(name+"refused", options.Registry),
	}
	if options.Register != nil {
		options.Register(l)
	}
	return l
}

// OnFull sets the function that closes connections that make no progress, and reports whether any
// are being closed. It must be called before the first Accept.
func (l *Limited) OnFull(makeRoom func() bool) { l.makeRoom = makeRoom }

// Accept implements net.Listener.
func (l *Limited) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit() {
			return &Conn{Conn: conn, listener: l}, nil
		}
		l.refused.Inc(1)
		l.options.Log.Warn().Str("listener", l.options.Name).Str("caller", conn.RemoteAddr().String()).
			Msg("connection was refused: all others make progress")
		_ = conn.Close() // the caller sees that nothing was read
	}
}

// admit counts a new connection, if necessary after others were closed, and reports whether it may
// stay.
func (l *Limited) admit() bool {
	if l.tryAdmit() {
		return true
	}
	for deadline := time.Now().Add(roomTimeout); time.Now().Before(deadline); {
		if !l.makeRoom() {
			return false
		}
		select {
		case <-l.freed:
		case <-time.After(closeTimeout):
		}
		if l.tryAdmit() {
			l.closedForOthers.Inc(1)
			return true
		}
	}
	return false
}

// Open returns the number of open connections.
func (l *Limited) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *Limited) tryAdmit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if most := l.options.Limits.MaxConns; most > 0 && l.open >= most {
		return false
	}
	if l.options.Memory != nil && l.options.Memory.Reserve(ConnBytes) != nil {
		return false
	}
	l.open++
	l.most = max(l.most, l.open)
	return true
}

// release counts a closed connection.
func (l *Limited) release() {
	l.mu.Lock()
	l.open--
	if l.options.Memory != nil {
		l.options.Memory.Release(ConnBytes)
	}
	l.mu.Unlock()
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// Description is the state of a listener in the dump for operators.
type Description struct {
	Name string `json:"name"`
	// Open is the number of open connections, Most the highest one and Limit the largest allowed.
	Open  int `json:"open"`
	Most  int `json:"most"`
	Limit int `json:"limit"`
	// KernelLimit is the most that the kernel can hold for the connections in bytes.
	KernelLimit int64 `json:"kernel_bytes_limit"`
	// ClosedForOthers and Refused are numbers of connections since the start.
	ClosedForOthers int64 `json:"closed_for_others"`
	Refused         int64 `json:"refused"`
}

// Describe returns the state of the listener.
func (l *Limited) Describe() Description {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Description{Name: l.options.Name, Open: l.open, Most: l.most, Limit: l.options.Limits.MaxConns,
		KernelLimit: l.options.Limits.KernelBytes(), ClosedForOthers: l.closedForOthers.Count(), Refused: l.refused.Count()}
}

// Conn is a connection that a Limited listener has accepted.
type Conn struct {
	net.Conn
	listener *Limited
	released sync.Once
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.released.Do(c.listener.release)
	return err
}

// NetConn returns the connection that this one wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// UnsupportedError reports an operation that the wrapped connection does not have.
type UnsupportedError struct{ Operation string }

// Error implements the error interface.
func (e *UnsupportedError) Error() string { return "connection does not support " + e.Operation }

// CloseWrite closes the sending side of the connection.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return &UnsupportedError{Operation: "CloseWrite"}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.WithStack(&UnsupportedError{Operation: "SyscallConn"})
}
