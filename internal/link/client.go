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

// MaxPending bounds the requests that wait for a reply on one connection, and the
// requests of one connection that a server handles at once.
const MaxPending = 1024

// Timeouts of a link.
const (
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = time.Second
	// cancelTimeout bounds the sending of a cancellation.
	cancelTimeout = 100 * time.Millisecond
	// idleTimeout is how long a connection may receive nothing before it is closed.
	idleTimeout = 30 * time.Second
	// stallTimeout is how long a connection may deliver no reply before a request
	// that reaches its deadline detaches it from the client, so that the next
	// request dials. This finds a connection that a network partition broke
	// without closing it.
	stallTimeout = 3 * time.Second
)

// Client is the requesting side of a link to one peer. It is safe for concurrent
// use.
type Client struct {
	peer         string
	stallTimeout time.Duration
	traffic      trafficTable

	mu      sync.Mutex
	session *session
	nextID  uint64
	closed  bool
}

// session is one connection and the requests that wait for replies on it.
type session struct {
	conn    *wire.Conn
	mu      sync.Mutex
	pending map[uint64]chan result
	// unansweredSince is when the first request after the last reply was added, or
	// when the last reply arrived if other requests were waiting then. It is zero
	// if no request has been added since the last reply.
	unansweredSince time.Time
	closeErr        error
}

// result is what a waiting request gets: a reply, or the error that ended the
// session.
type result struct {
	envelope wire.Envelope
	err      error
}

// NewClient returns a client for the peer's link address. It connects on the
// first call.
func NewClient(peer string) *Client {
	return &Client{peer: peer, stallTimeout: stallTimeout}
}

// Peer returns the peer's address.
func (c *Client) Peer() string { return c.peer }

// Close closes the current connection, which fails the requests that wait on it, and
// makes further calls fail. Requests that wait on a detached connection keep waiting.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.session != nil {
		c.session.close(&ClosedError{Peer: c.peer})
	}
}

// Call sends a request and decodes its reply by the deadline of ctx. On failure it
// returns an *UnreachableError, a *RemoteError, a *BusyError or a
// *wire.MalformedError.
func (c *Client) Call(ctx context.Context, messageType string, request, reply any) error {
	s, id, err := c.connect(ctx)
	if err != nil {
		return &UnreachableError{Peer: c.peer, Cause: err}
	}
	envelope, err := wire.Encode(messageType, id, request)
	if err != nil {
		return err
	}
	resultCh, err := s.addPending(c.peer, id)
	if err != nil {
		return err
	}
	defer s.removePending(id)
	if err := ctx.Err(); err != nil {
		return &UnreachableError{Peer: c.peer, Cause: err}
	}
	if err := s.conn.Send(envelope, time.Now().Add(writeTimeout)); err != nil {
		return c.handleSendError(s, err)
	}
	c.traffic.record(messageType, Traffic{Calls: 1, SentBytes: int64(len(envelope.Body))})
	select {
	case <-ctx.Done():
		s.sendCancel(id)
		if s.stalled(time.Now(), c.stallTimeout) {
			c.detach(s)
		}
		return &UnreachableError{Peer: c.peer, Sent: true, Cause: ctx.Err()}
	case r := <-resultCh:
		c.traffic.record(messageType, Traffic{ReceivedBytes: int64(len(r.envelope.Body))})
		return c.decodeReply(r, reply)
	}
}

// handleSendError closes the session, which other requests share, unless the frame
// was too large and so nothing of it was written.
func (c *Client) handleSendError(s *session, err error) error {
	var tooLarge *wire.FrameTooLargeError
	if errors.As(err, &tooLarge) {
		return &UnreachableError{Peer: c.peer, Cause: err}
	}
	s.close(err)
	return &UnreachableError{Peer: c.peer, Sent: true, Cause: err}
}

// sendCancel tells the peer that the request is not waited for any more. A peer that does
// not get it only works in vain.
func (s *session) sendCancel(id uint64) {
	envelope, err := wire.Encode(typeCancel, id, cancelBody{})
	if err != nil {
		return
	}
	if err := s.conn.Send(envelope, time.Now().Add(cancelTimeout)); err != nil {
		s.close(err)
	}
}

func (c *Client) decodeReply(r result, reply any) error {
	if r.err != nil {
		return &UnreachableError{Peer: c.peer, Sent: true, Cause: r.err}
	}
	if r.envelope.Type != typeError {
		return r.envelope.Decode(reply)
	}
	var body errorBody
	if err := r.envelope.Decode(&body); err != nil {
		return err
	}
	return &RemoteError{Peer: c.peer, Code: body.Code, Detail: body.Detail}
}

// connect returns the open session, or dials a new one, and an identifier for the
// next request.
func (c *Client) connect(ctx context.Context) (*session, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, 0, &ClosedError{Peer: c.peer}
	}
	c.nextID++
	if c.session != nil && c.session.isOpen() {
		return c.session, c.nextID, nil
	}
	conn, err := dial(ctx, c.peer)
	if err != nil {
		return nil, 0, err
	}
	c.session = &session{conn: wire.NewConn(conn), pending: make(map[uint64]chan result)}
	go c.session.receiveReplies()
	return c.session, c.nextID, nil
}

func dial(ctx context.Context, peer string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return dialer.DialContext(ctx, peer)
}

func (s *session) isOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeErr == nil
}

func (s *session) addPending(peer string, id uint64) (chan result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeErr != nil {
		return nil, &UnreachableError{Peer: peer, Cause: s.closeErr}
	}
	if len(s.pending) >= MaxPending {
		return nil, &BusyError{Peer: peer}
	}
	if s.unansweredSince.IsZero() {
		s.unansweredSince = time.Now()
	}
	resultCh := make(chan result, 1)
	s.pending[id] = resultCh
	return resultCh, nil
}

func (s *session) removePending(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// receiveReplies passes replies to their requests until the connection fails or
// is closed. A reply whose request no longer waits is discarded.
func (s *session) receiveReplies() {
	for {
		envelope, err := s.conn.Receive(time.Now().Add(idleTimeout))
		if err != nil {
			s.close(err)
			return
		}
		s.mu.Lock()
		resultCh, found := s.pending[envelope.ID]
		delete(s.pending, envelope.ID)
		s.recordReply(time.Now())
		s.mu.Unlock()
		if found {
			resultCh <- result{envelope: envelope}
		}
	}
}

// recordReply notes that a reply arrived. It must be called with the lock held.
func (s *session) recordReply(now time.Time) {
	s.unansweredSince = time.Time{}
	if len(s.pending) > 0 {
		s.unansweredSince = now
	}
}

// stalled reports whether the connection has delivered no reply for at least limit
// since a request was added.
func (s *session) stalled(now time.Time, limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= limit
}

// detach makes the next call dial. Requests that wait on the session keep
// waiting, since the peer may only be slow; the session is closed once nothing
// arrives on it for idleTimeout.
func (c *Client) detach(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == s {
		c.session = nil
	}
}

// close closes the connection and fails the waiting requests with cause. Later
// calls have no effect.
func (s *session) close(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeErr != nil {
		return
	}
	s.closeErr = cause
	_ = s.conn.Close()
	for id, resultCh := range s.pending {
		resultCh <- result{err: cause}
		delete(s.pending, id)
	}
}

// Stream sends a request on a connection of its own and passes each message that
// the peer sends back to handle, until the connection fails, handle returns an
// error or ctx ends. The stream also ends if no message arrives for maxSilence, and
// when the server closes the connection (see StreamHandler).
func Stream(ctx context.Context, peer, messageType string, request any, maxSilence time.Duration, handle func(wire.Envelope) error) error {
	conn, err := dial(ctx, peer)
	if err != nil {
		return &UnreachableError{Peer: peer, Cause: err}
	}
	framedConn := wire.NewConn(conn)
	defer framedConn.Close()
	stop := context.AfterFunc(ctx, func() { _ = framedConn.Close() })
	defer stop()
	envelope, err := wire.Encode(messageType, 1, request)
	if err != nil {
		return err
	}
	if err := framedConn.Send(envelope, time.Now().Add(writeTimeout)); err != nil {
		return &UnreachableError{Peer: peer, Cause: err}
	}
	for {
		message, err := framedConn.Receive(time.Now().Add(maxSilence))
		if err != nil {
			return &UnreachableError{Peer: peer, Sent: true, Cause: err}
		}
		if err := handle(message); err != nil {
			return err
		}
	}
}
