package pipeline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// testServer is an http.Server for one connection within a synctest bubble. Its handler
// behaves as the path says.
type testServer struct {
	listener *Listener
	conn     *conn
	caller   net.Conn
	draining atomic.Bool
	// staysOpen makes the handler do nothing that closes the connection.
	staysOpen bool

	mu       sync.Mutex
	started  []string
	canceled []string
	received strings.Builder
}

// pipeListener accepts one connection.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l *pipeListener) Close() error { l.once.Do(func() { close(l.conns) }); return nil }

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// start starts the server and returns it. Without pipelined, it is net/http alone.
func (s *testServer) start(t *testing.T, pipelined bool, options Options) *testServer {
	serverSide, callerSide := net.Pipe()
	inner := &pipeListener{conns: make(chan net.Conn, 1)}
	inner.conns <- serverSide
	server := &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0)}
	listener := net.Listener(inner)
	if pipelined {
		if options.Draining == nil {
			options.Draining = func() bool { return s.draining.Load() }
		}
		s.listener = NewListener(inner, options)
		listener = s.listener
		server.Handler = Handler(s, func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/i/") })
		server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			s.conn = c.(*conn)
			return ConnContext(ctx, c)
		}
	}
	s.caller = callerSide
	go func() { _ = server.Serve(listener) }()
	go func() { _, _ = io.Copy(s, callerSide) }()
	t.Cleanup(func() {
		_ = callerSide.Close()
		_ = server.Close()
	})
	return s
}

// Write receives what the server sends.
func (s *testServer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received.Write(p)
}

// ServeHTTP echoes the request. Paths with "slow" take a second, those with "close" close
// the connection, "unread" ignores the body, "large" responds with more than the server
// buffers, "panic" panics.
func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.started = append(s.started, r.Method+" "+r.RequestURI)
	s.mu.Unlock()
	if s.draining.Load() && !Followed(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	has := func(word string) bool { return strings.Contains(r.URL.Path, word) }
	var body []byte
	if s.staysOpen || !has("unread") {
		body, _ = io.ReadAll(r.Body)
	}
	if has("slow") {
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
			s.mu.Lock()
			s.canceled = append(s.canceled, r.RequestURI)
			s.mu.Unlock()
		}
	}
	if has("close") && !s.staysOpen {
		w.Header().Set("Connection", "close")
	}
	if has("panic") && !s.staysOpen {
		panic(http.ErrAbortHandler)
	}
	if has("missing") {
		w.WriteHeader(http.StatusNotFound)
	}
	if has("large") {
		body = append(body, strings.Repeat("x", 9000)...)
	}
	w.Header()["Date"] = nil // would tell when the response was written
	if !has("empty") {
		_, _ = fmt.Fprintf(w, "%s %s %s [%s]", r.Method, r.RequestURI, r.Host, body)
	}
}

// send sends parts and waits after each until the server waits for something.
func (s *testServer) send(parts ...string) {
	for _, part := range parts {
		go func() { _, _ = io.WriteString(s.caller, part) }() // blocks while the server does not read
		synctest.Wait()
	}
}

// after returns the requests that were started and what was received within a time.
func (s *testServer) after(d time.Duration) (started []string, received string) {
	time.Sleep(d)
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.started), s.received.String()
}

// get returns requests without bodies.
func get(paths ...string) string {
	var text strings.Builder
	for _, path := range paths {
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	}
	return text.String()
}

// testMemory is a Memory that grants up to a limit at once.
type testMemory struct {
	limit int64
	held  atomic.Int64
}

func (m *testMemory) Reserve(n int64) error {
	if n > m.limit {
		return errors.New("exhausted")
	}
	m.held.Add(n)
	return nil
}

func (m *testMemory) Release(n int64) { m.held.Add(-n) }
