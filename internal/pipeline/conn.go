package pipeline

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what the server does with the connection.
type phase int

const (
	// readingHead means that the server waits for a request or reads its head.
	readingHead phase = iota
	// headRead means that the server has the whole head but has not called the handler.
	headRead
	// serving means that the handler has been called. The server may still read the body.
	serving
	// opaque means that the ends of requests are unknown. All bytes are passed on as they
	// are, and nothing is read ahead.
	opaque
)

// Bounds of the buffer of a connection in bytes.
const (
	minBufferBytes = 4 << 10
	// maxIdleBufferBytes is the size up to which an empty buffer is kept.
	maxIdleBufferBytes = 4 << 10
)

// Bounds of the closing of a connection whose caller may have sent more requests. Closing
// it with unread bytes resets it, which can destroy responses that the caller has not
// read.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// conn is a caller's connection. The server reads it from one goroutine at a time and calls
// the handler while it reads one byte in the background.
//
// The server never gets bytes of two requests in one read, so that it has no bytes of the
// next request while it handles one.
type conn struct {
	net.Conn
	listener *Listener
	// changed gets a value when reads that wait for room should check again.
	changed chan struct{}

	mu     sync.Mutex
	phase  phase
	buffer buffer
	// delivered is the number of bytes that the server has got.
	delivered int64
	// scanner is the progress in the head that the server reads.
	scanner headScanner
	// bodyLeft is how many bytes of the body the server has not got. It is valid while
	// the phase is serving.
	bodyLeft int64
	// aborted is set while the server stops reads with a deadline in the past.
	aborted bool
	// ended is the error that has ended the caller's byte stream, or nil.
	ended error
	// reading is set while a read of the inner connection is in progress.
	reading bool
	// pipelined is set once bytes were read ahead.
	pipelined bool
	readAhead readAhead

	// headReserved is the memory reserved for the head of the request that is read or handled.
	headReserved int64
	// headRefused is set once a head was refused. headGivesWay is set if the one that is being
	// read must be refused in favor of others.
	headRefused, headGivesWay bool
	// aborting is set by Abort.
	aborting atomic.Bool
	// betweenOpaque is set while the phase is opaque and the server is not handling a request.
	betweenOpaque bool
}

func newConn(inner net.Conn, l *Listener) *conn {
	return &conn{Conn: inner, listener: l, changed: make(chan struct{}, 1), buffer: buffer{memory: l.options.Memory}}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.inBackground() {
		return c.readInBackground(p)
	}
	c.mu.Lock()
	c.advance()
	if c.ended != nil {
		c.mu.Unlock()
		return 0, c.ended
	}
	if c.headGivesWay {
		defer c.mu.Unlock()
		return 0, c.refuseHead(false)
	}
	if data := c.buffer.bytes(); len(data) > 0 {
		defer c.mu.Unlock()
		n := c.deliver(data[:min(len(data), len(p))])
		if err := c.checkHead(); err != nil {
			return 0, err
		}
		copy(p, data[:n])
		c.buffer.discard(n)
		return n, nil
	}
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.ended != nil {
		return 0, c.ended
	}
	if c.headGivesWay {
		return 0, c.refuseHead(false)
	}
	delivered := c.deliver(p[:n])
	if err := c.checkHead(); err != nil {
		return 0, err
	}
	if delivered < n {
		c.buffer.append(p[delivered:n])
		return delivered, nil // the next read returns the error
	}
	return n, err
}

// checkHead limits the head that is being read. The caller must hold mu.
func (c *conn) checkHead() error {
	if c.phase == readingHead || c.phase == headRead || c.betweenOpaque {
		return c.limitHead()
	}
	return nil
}

// inBackground reports whether the server reads one byte only to notice a disconnect
// while the handler runs. All other reads of one byte are in a head.
func (c *conn) inBackground() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == headRead || c.phase == serving && c.bodyLeft == 0
}

// advance changes the phase when the server reads more than what belongs to the request
// that it handles. The caller must hold mu.
func (c *conn) advance() {
	switch {
	case c.phase == headRead: // the server has handled the request without the handler
		c.becomeOpaque()
	case c.phase == serving && c.bodyLeft == 0:
		c.phase, c.scanner, c.readAhead.current = readingHead, headScanner{}, nil
		c.releaseHead()
	}
}

// becomeOpaque gives up reading ahead. The caller must hold mu.
func (c *conn) becomeOpaque() {
	c.phase, c.betweenOpaque = opaque, false
	c.cancelEarly("the ends of its requests are unknown")
}

// deliver returns how many of the bytes that come next the server gets now. The caller
// must hold mu.
func (c *conn) deliver(data []byte) int {
	n := len(data)
	switch c.phase {
	case readingHead:
		var ended bool
		if n, ended = c.scanner.scan(data); ended {
			c.phase = headRead
		}
	case serving:
		n = int(min(int64(n), c.bodyLeft))
		c.bodyLeft -= int64(n)
	case opaque:
		if c.betweenOpaque {
			for at := 0; at < n; { // the end of a head is unknown, so all lines count
				scanned, _ := c.scanner.scan(data[at:])
				at += scanned
			}
		}
	}
	c.delivered += int64(n)
	return n
}

// SetReadDeadline implements net.Conn. The server ends its background read with a deadline
// in the past.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.aborted = !t.IsZero() && !t.After(time.Now())
	if c.aborted {
		c.notify()
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// notify wakes a read that waits for room.
func (c *conn) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// end records that the caller's byte stream has ended, and cancels the requests that were
// started early. The caller must hold mu.
func (c *conn) end(err error, reason string) {
	if c.ended == nil {
		c.ended = err
	}
	c.cancelEarly(reason)
	c.buffer.drop()
	c.dropParsed()
	c.releaseHead()
	c.notify()
}

// NetConn returns the connection that this one wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side of the connection if it supports that. No response
// follows, so the requests that were started early are cancelled.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	c.cancelEarly("a response closes the connection")
	c.readAhead.blocked = true
	c.mu.Unlock()
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It cancels the requests that were started early. A connection
// on which bytes may be unread is closed after its caller has read the last response, since
// the reset would destroy it; while the process is stopping nothing is read ahead, so that
// requests may wait in the kernel.
func (c *conn) Close() error {
	c.mu.Lock()
	bodyUnread := c.phase == opaque || c.phase == serving && c.bodyLeft > 0
	mayHaveUnread := c.pipelined || bodyUnread || c.buffer.len() > 0 || c.listener.options.Draining()
	linger := !c.aborting.Load() && (c.headRefused || mayHaveUnread && c.ended == nil && !c.reading) // a read in progress must end now
	c.end(net.ErrClosed, "the connection is closed")
	c.mu.Unlock()
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok && linger && closer.CloseWrite() == nil {
		go c.discardAndClose()
		return nil
	}
	return c.Conn.Close()
}

// Abort lets Close drop what the caller has not read. It takes no lock.
func (c *conn) Abort() { c.aborting.Store(true) }

// discardAndClose discards what the caller still sends and closes the connection.
func (c *conn) discardAndClose() {
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // the caller may have closed it
	}
	_ = c.Conn.Close() // nothing can be done about a connection that fails to close
}

// serve records that the server has called the handler with r, and starts requests behind
// it. It returns the early request that r is, or nil if r was not started early.
func (c *conn) serve(h *handler, r *http.Request) *earlyRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != headRead {
		c.becomeOpaque() // what the head has reserved is released before the next one
		return nil
	}
	a := &c.readAhead
	c.phase, a.handler, a.finished = serving, h, false
	if a.context == nil {
		a.context = context.WithoutCancel(r.Context())
	}
	e := c.takeEarly(r)
	switch {
	case e != nil:
		c.bodyLeft = e.end - e.headEnd
	case !c.frameBody(r):
		c.becomeOpaque()
		return nil
	default:
		c.dropParsed()
		a.current, a.blocked, a.next = r, false, c.delivered+c.bodyLeft
	}
	a.last = a.last || r.Close || !r.ProtoAtLeast(1, 1)
	c.startEarly()
	c.notify()
	return e
}

// finish records that the handler has returned. The server may already have sent the
// response, so that what the caller sends now is its next request and no pipelined one.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead.finished = true
	if c.phase == opaque {
		c.betweenOpaque, c.scanner = true, headScanner{}
		c.releaseHead()
	}
}

// frameBody determines the size of the body of r, of which the server has got nothing. ok
// is false if it is unknown. The caller must hold mu.
func (c *conn) frameBody(r *http.Request) (ok bool) {
	c.bodyLeft = r.ContentLength
	switch {
	case r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "":
		return false
	case r.ContentLength < 0:
		c.bodyLeft, ok = chunkedBodyBytes(c.buffer.bytes())
		return ok
	}
	return true
}

// isOpaque reports whether the ends of the connection's requests are unknown.
func (c *conn) isOpaque() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == opaque
}

// watchPeer returns a context that also ends when the caller has closed its side of an opaque
// connection. The server's own read in the background notices that only as long as the caller has
// sent nothing more.
func (c *conn) watchPeer(ctx context.Context) (watched context.Context, stop context.CancelFunc) {
	watched, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(stallCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-watched.Done():
				return
			case <-ticker.C:
			}
			if c.peerClosed() {
				cancel()
				return
			}
		}
	}()
	return watched, cancel
}

// peerClosed reports whether the caller has closed its side of the connection, also if
// unread bytes precede the end.
func (c *conn) peerClosed() bool { return streamEnded(c.Conn) }
