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

	"lovagescale/internal/wire"
)

// maxConnections bounds the connections of a server.
const maxConnections = 4096

// Handler answers one request with a reply or an error.
type Handler func(ctx context.Context, request wire.Envelope) (any, error)

// Send sends one message of a stream.
type Send func(messageType string, body any) error

// StreamHandler sends messages until it returns or ctx ends.
type StreamHandler func(ctx context.Context, request wire.Envelope, send Send) error

// Server is the receiving side of links.
type Server struct {
	log       zerolog.Logger
	handlers  map[string]Handler
	streams   map[string]StreamHandler
	malformed metrics.Counter
	refused   metrics.Counter
	slots     chan struct{}
}

// NewServer returns a server without handlers. Handlers must be added before
// Serve.
func NewServer(log zerolog.Logger, registry metrics.Registry) *Server {
	return &Server{
		log:       log,
		handlers:  make(map[string]Handler),
		streams:   make(map[string]StreamHandler),
		malformed: metrics.GetOrRegisterCounter("link.malformed_frames", registry),
		refused:   metrics.GetOrRegisterCounter("link.refused_connections", registry),
		slots:     make(chan struct{}, maxConnections),
	}
}

// Handle sets the handler of a message type.
func (s *Server) Handle(messageType string, handler Handler) { s.handlers[messageType] = handler }

// HandleStream sets the stream handler of a message type.
func (s *Server) HandleStream(messageType string, handler StreamHandler) {
	s.streams[messageType] = handler
}

// Serve accepts connections until ctx ends, then closes them all.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		select {
		case s.slots <- struct{}{}:
			connections.Go(func() {
				defer func() { <-s.slots }()
				s.serveConnection(ctx, wire.NewConn(conn))
			})
		default:
			s.refused.Inc(1)
			_ = conn.Close()
		}
	}
}

func (s *Server) serveConnection(ctx context.Context, conn *wire.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer conn.Close()
	var requests sync.WaitGroup
	defer requests.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	pending := make(chan struct{}, MaxPending)
	for {
		envelope, err := conn.Receive(time.Now().Add(idleTimeout))
		if err != nil {
			s.connectionEnded(ctx, conn, err)
			return
		}
		pending <- struct{}{}
		requests.Go(func() {
			defer func() { <-pending }()
			if !s.serveRequest(ctx, conn, envelope) {
				cancel()
			}
		})
	}
}

// connectionEnded counts and logs a connection lost to a malformed frame.
func (s *Server) connectionEnded(ctx context.Context, conn *wire.Conn, err error) {
	var network net.Error
	if ctx.Err() != nil || errors.Is(err, io.EOF) || errors.As(err, &network) {
		return
	}
	s.malformed.Inc(1)
	s.log.Warn().Err(err).Str("peer", conn.RemoteAddress()).Msg("link connection closed")
}

// serveRequest reports whether the connection can go on.
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
		s.malformed.Inc(1)
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
	s.log.Debug().Err(err).Str("type", request.Type).Msg("stream ended")
}

func (s *Server) reply(conn *wire.Conn, id uint64, reply any, failed error) bool {
	messageType := typeReply
	if failed != nil {
		messageType = typeError
		reply = failure{Code: fmt.Sprintf("%T", errors.Cause(failed)), Detail: failed.Error()}
	}
	envelope, err := wire.Encode(messageType, id, reply)
	if err != nil {
		return false
	}
	err = conn.Send(envelope, time.Now().Add(writeTimeout))
	var tooLarge *wire.FrameTooLargeError
	if errors.As(err, &tooLarge) && failed == nil {
		return s.reply(conn, id, nil, tooLarge)
	}
	return err == nil
}
