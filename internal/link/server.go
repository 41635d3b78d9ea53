package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/listener"
	"lovagescale/internal/wire"
)

// maxConnections bounds the open connections of a server that has no other limit.
const maxConnections = 4096

// Limits bound what strangers can make a server hold.
type Limits struct {
	Listener listener.Options
	// Messages is the memory for messages that are received or handled, Buffers that for larger
	// buffers of the kernel. Nil stands for no limit.
	Messages, Buffers listener.Memory
}

// Handler answers one request with a reply or an error. If the error is a
// *wire.MalformedError, the connection is closed without a reply.
type Handler func(ctx context.Context, request wire.Envelope) (any, error)

// Send sends one message of a stream.
type Send func(messageType string, body any) error

// StreamHandler answers one request with a stream of messages, which it sends with
// send. The stream ends when it returns, and it must return when ctx ends. The
// client sends nothing after its request, so the server closes the connection
// idleTimeout after that and ctx ends.
type StreamHandler func(ctx context.Context, request wire.Envelope, send Send) error

// Server is the answering side of links.
type Server struct {
	log             zerolog.Logger
	handlers        map[string]Handler
	streams         map[string]StreamHandler
	malformedFrames metrics.Counter
	refusedMessages metrics.Counter
	acceptFailures  metrics.Counter
	limits          Limits

	mu          sync.Mutex
	connections map[*connection]struct{}
}

// NewServer returns a server without handlers. Handlers must be added before
// Serve.
func NewServer(log zerolog.Logger, registry metrics.Registry) *Server {
	return &Server{
		log:             log,
		handlers:        make(map[string]Handler),
		streams:         make(map[string]StreamHandler),
		malformedFrames: metrics.GetOrRegisterCounter("link.malformed_frames", registry),
		refusedMessages: metrics.GetOrRegisterCounter("link.refused_messages", registry),
		acceptFailures:  metrics.GetOrRegisterCounter("link.accept_failures", registry),
		limits:          Limits{Listener: listener.Options{Name: "link", Limits: listener.Limits{MaxConns: maxConnections}, Registry: registry, Log: log}},
		connections:     make(map[*connection]struct{}),
	}
}

// Limit replaces the limits of the server. It must be called before Serve.
func (s *Server) Limit(limits Limits) { s.limits = limits }

// sleep waits for a time, or less if ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Handle sets the handler of a message type.
func (s *Server) Handle(messageType string, handler Handler) { s.handlers[messageType] = handler }

// HandleStream sets the stream handler of a message type.
func (s *Server) HandleStream(messageType string, handler StreamHandler) {
	s.streams[messageType] = handler
}

// Bounds of the pause after a failed accept, for example for want of file descriptors.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Serve accepts connections until ctx ends, then closes them all and waits for
// their handlers. It returns an error only if the listener is closed before.
func (s *Server) Serve(ctx context.Context, opened net.Listener) error {
	limited := listener.Limit(opened, s.limits.Listener)
	limited.OnFull(s.makeRoom)
	stop := context.AfterFunc(ctx, func() { _ = limited.Close() })
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	var pause time.Duration
	for {
		conn, err := limited.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
			s.acceptFailures.Inc(1)
			s.log.Warn().Err(err).Dur("pause", pause).Msg("connection could not be accepted")
			sleep(ctx, pause)
			continue
		}
		pause = 0
		c := s.track(conn) // before others may take its place
		connections.Go(func() { s.serveConnection(ctx, c) })
	}
}

// serveConnection reads the connection's requests and runs their handlers
// concurrently. While MaxPending of them run, it reads no further request.
func (s *Server) serveConnection(ctx context.Context, c *connection) {
	ctx, cancel := context.WithCancel(ctx)
	conn := wire.NewConn(c.Conn)
	defer conn.Close()
	defer s.forget(c)
	var requests sync.WaitGroup
	defer requests.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	pendingTokens := make(chan struct{}, MaxPending)
	running := newRunningRequests()
	for {
		envelope, err := conn.ReceiveHeld(time.Now().Add(idleTimeout), func(bytes int64) error { return s.hold(ctx, c, bytes) })
		if err != nil {
			s.recordMalformedFrame(ctx, conn, err)
			return
		}
		held := s.received(c)
		if envelope.Type == typeCancel {
			running.cancel(envelope.ID)
			s.finished(c, held, false)
			continue
		}
		pendingTokens <- struct{}{}
		requestCtx := running.add(ctx, envelope.ID)
		requests.Go(func() {
			defer func() { <-pendingTokens }()
			defer s.finished(c, held, true)
			defer running.cancel(envelope.ID)
			if !s.serveRequest(requestCtx, conn, envelope) {
				cancel()
			}
		})
	}
}

// runningRequests are the requests of one connection that are being handled. It is safe
// for concurrent use.
type runningRequests struct {
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func newRunningRequests() *runningRequests {
	return &runningRequests{cancels: make(map[uint64]context.CancelFunc)}
}

// add returns the context of a request, which ends with cancel.
func (r *runningRequests) add(ctx context.Context, id uint64) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels[id] = cancel
	return ctx
}

// cancel ends the context of a request and forgets the request.
func (r *runningRequests) cancel(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel, found := r.cancels[id]; found {
		cancel()
		delete(r.cancels, id)
	}
}

// recordMalformedFrame counts and logs an error that Receive returned because of the
// frame. The end of the connection (io.EOF), a network error and the end of ctx are
// not recorded.
func (s *Server) recordMalformedFrame(ctx context.Context, conn *wire.Conn, err error) {
	var netErr net.Error
	if ctx.Err() != nil || errors.Is(err, io.EOF) || errors.As(err, &netErr) {
		return
	}
	var noMemory *NoMemoryError
	if errors.As(err, &noMemory) {
		s.refusedMessages.Inc(1)
		s.log.Warn().Err(err).Str("peer", conn.RemoteAddress()).Msg("closing link connection whose message finds no memory")
		return
	}
	s.malformedFrames.Inc(1)
	s.log.Warn().Err(err).Str("peer", conn.RemoteAddress()).Msg("closing link connection after a malformed frame")
}

// serveRequest answers one request and reports whether the connection stays open.
func (s *Server) serveRequest(ctx context.Context, conn *wire.Conn, request wire.Envelope) bool {
	if handler, found := s.streams[request.Type]; found {
		s.serveStream(ctx, conn, request, handler)
		return false
	}
	handler, found := s.handlers[request.Type]
	if !found {
		return s.reply(conn, request.ID, nil, &UnknownTypeError{Type: request.Type})
	}
	reply, err := handler(ctx, request)
	var malformed *wire.MalformedError
	if errors.As(err, &malformed) {
		s.malformedFrames.Inc(1)
		return false
	}
	return s.reply(conn, request.ID, reply, err)
}

func (s *Server) serveStream(ctx context.Context, conn *wire.Conn, request wire.Envelope, handler StreamHandler) {
	send := func(messageType string, body any) error {
		envelope, err := wire.Encode(messageType, request.ID, body)
		if err != nil {
			return err
		}
		return conn.Send(envelope, time.Now().Add(writeTimeout))
	}
	err := handler(ctx, request, send)
	s.log.Debug().Err(err).Str("type", request.Type).Msg("link stream ended")
}

// reply sends the reply, or handlerErr if it is set, and reports whether the
// connection stays open. A reply that is too large for a frame is replaced by an
// error reply.
func (s *Server) reply(conn *wire.Conn, id uint64, reply any, handlerErr error) bool {
	messageType := typeReply
	if handlerErr != nil {
		messageType = typeError
		reply = errorBody{Code: fmt.Sprintf("%T", errors.Cause(handlerErr)), Detail: handlerErr.Error()}
	}
	envelope, err := wire.Encode(messageType, id, reply)
	if err != nil {
		return false
	}
	err = conn.Send(envelope, time.Now().Add(writeTimeout))
	var tooLarge *wire.FrameTooLargeError
	if errors.As(err, &tooLarge) && handlerErr == nil {
		return s.reply(conn, id, nil, tooLarge)
	}
	return err == nil
}
