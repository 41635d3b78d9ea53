package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/dialer"
	"lovagescale/internal/wire"
)

// MaxPending bounds the requests that wait on one link.
const MaxPending = 1024

// Timeouts of a link.
const (
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = time.Second
	// idleTimeout closes a connection on which nothing was received.
	idleTimeout = 30 * time.Second
	// stallTimeout is how long requests may go unanswered before one that runs
	// into its deadline retires the connection, so that the next one dials. A
	// connection that a network partition has killed is found by it.
	stallTimeout = 3 * time.Second
)

// Client is the sending side of a link to one peer. Its methods may be called
// from several goroutines.
type Client struct {
	peer  string
	stall time.Duration

	mu      sync.Mutex
	session *session
	nextID  uint64
	closed  bool
}

// session is one connection with the requests that wait on it.
type session struct {
	conn    *wire.Conn
	mu      sync.Mutex
	pending map[uint64]chan result
	// waitingSince is when the first request was sent since the last reply;
	// zero when none waits.
	waitingSince time.Time
	ended        error
}

type result struct {
	envelope wire.Envelope
	err      error
}

// NewClient returns a client of the peer's link address. It connects on the
// first call.
func NewClient(peer string) *Client {
	return &Client{peer: peer, stall: stallTimeout}
}

// Peer returns the peer's address.
func (c *Client) Peer() string { return c.peer }

// Close closes the link and fails the waiting requests.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.session != nil {
		c.session.end(&ClosedError{Peer: c.peer})
	}
}

// Call sends a request and decodes its reply, by the deadline of ctx. It
// returns *UnreachableError, *RemoteError or *BusyError.
func (c *Client) Call(ctx context.Context, messageType string, request, reply any) error {
	s, id, err := c.connect(ctx)
	if err != nil {
		return &UnreachableError{Peer: c.peer, Cause: err}
	}
	envelope, err := wire.Encode(messageType, id, request)
	if err != nil {
		return err
	}
	answer, err := s.add(c.peer, id)
	if err != nil {
		return err
	}
	defer s.remove(id)
	if err := ctx.Err(); err != nil {
		return &UnreachableError{Peer: c.peer, Cause: err}
	}
	if err := s.conn.Send(envelope, time.Now().Add(writeTimeout)); err != nil {
		return c.sendFailed(s, err)
	}
	select {
	case <-ctx.Done():
		if s.stalled(time.Now(), c.stall) {
			c.retire(s)
		}
		return &UnreachableError{Peer: c.peer, Sent: true, Cause: ctx.Err()}
	case r := <-answer:
		return c.decode(r, reply)
	}
}

// sendFailed ends the session, which other requests share, unless nothing of
// the frame was written.
func (c *Client) sendFailed(s *session, err error) error {
	var tooLarge *wire.FrameTooLargeError
	if errors.As(err, &tooLarge) {
		return &UnreachableError{Peer: c.peer, Cause: err}
	}
	s.end(err)
	return &UnreachableError{Peer: c.peer, Sent: true, Cause: err}
}

func (c *Client) decode(r result, reply any) error {
	if r.err != nil {
		return &UnreachableError{Peer: c.peer, Sent: true, Cause: r.err}
	}
	if r.envelope.Type != typeError {
		return r.envelope.Decode(reply)
	}
	var f failure
	if err := r.envelope.Decode(&f); err != nil {
		return err
	}
	return &RemoteError{Peer: c.peer, Code: f.Code, Detail: f.Detail}
}

// connect returns the open session, or dials one.
func (c *Client) connect(ctx context.Context) (*session, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, 0, &ClosedError{Peer: c.peer}
	}
	c.nextID++
	if c.session != nil && c.session.alive() {
		return c.session, c.nextID, nil
	}
	conn, err := dial(ctx, c.peer)
	if err != nil {
		return nil, 0, err
	}
	c.session = &session{conn: wire.NewConn(conn), pending: make(map[uint64]chan result)}
	go c.session.receive()
	return c.session, c.nextID, nil
}

func dial(ctx context.Context, peer string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return dialer.DialContext(ctx, peer)
}

func (s *session) alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended == nil
}

func (s *session) add(peer string, id uint64) (chan result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		return nil, &UnreachableError{Peer: peer, Cause: s.ended}
	}
	if len(s.pending) >= MaxPending {
		return nil, &BusyError{Peer: peer}
	}
	if s.waitingSince.IsZero() {
		s.waitingSince = time.Now()
	}
	answer := make(chan result, 1)
	s.pending[id] = answer
	return answer, nil
}

func (s *session) remove(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// receive passes replies to their requests until the connection ends.
func (s *session) receive() {
	for {
		envelope, err := s.conn.Receive(time.Now().Add(idleTimeout))
		if err != nil {
			s.end(err)
			return
		}
		s.mu.Lock()
		answer, waiting := s.pending[envelope.ID]
		delete(s.pending, envelope.ID)
		s.heard(time.Now())
		s.mu.Unlock()
		if waiting {
			answer <- result{envelope: envelope}
		}
	}
}

// heard must be called with the lock held.
func (s *session) heard(now time.Time) {
	s.waitingSince = time.Time{}
	if len(s.pending) > 0 {
		s.waitingSince = now
	}
}

// stalled reports whether the connection has answered nothing for the limit
// although a request waits.
func (s *session) stalled(now time.Time, limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.waitingSince.IsZero() && now.Sub(s.waitingSince) >= limit
}

// retire makes the next call dial. Requests that wait on the session go on
// waiting, since the peer may only be slow; it is closed once it is idle.
func (c *Client) retire(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == s {
		c.session = nil
	}
}

func (s *session) end(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		return
	}
	s.ended = cause
	_ = s.conn.Close()
	for id, answer := range s.pending {
		answer <- result{err: cause}
		delete(s.pending, id)
	}
}

// Stream sends a request on a connection of its own and passes each message
// that comes back to receive, until either returns an error or ctx ends. A
// peer that is silent for longer than silence ends the stream.
func Stream(ctx context.Context, peer, messageType string, request any, silence time.Duration, receive func(wire.Envelope) error) error {
	conn, err := dial(ctx, peer)
	if err != nil {
		return &UnreachableError{Peer: peer, Cause: err}
	}
	framed := wire.NewConn(conn)
	defer framed.Close()
	stop := context.AfterFunc(ctx, func() { _ = framed.Close() })
	defer stop()
	envelope, err := wire.Encode(messageType, 1, request)
	if err != nil {
		return err
	}
	if err := framed.Send(envelope, time.Now().Add(writeTimeout)); err != nil {
		return &UnreachableError{Peer: peer, Cause: err}
	}
	for {
		message, err := framed.Receive(time.Now().Add(silence))
		if err != nil {
			return &UnreachableError{Peer: peer, Sent: true, Cause: err}
		}
		if err := receive(message); err != nil {
			return err
		}
	}
}
