package pipeline

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// stallCheckInterval is the interval at which a read that waits for room checks whether
// the caller has disconnected, which it can't notice without reading.
const stallCheckInterval = 200 * time.Millisecond

// minReadBytes is the room that a read needs to be worth its cost, unless less is left of
// the limit.
const minReadBytes = 512

// readAhead is the state of a connection's requests behind the one that the server
// handles. conn.mu guards it.
type readAhead struct {
	handler *handler
	// context is the context of the connection without cancellation.
	context context.Context
	// current is the last request for which the handler was called and that was not
	// started early, or nil while the server reads the next one.
	current *http.Request
	// early are the requests that were started early and that the server has not begun
	// to handle, in order.
	early []*earlyRequest
	// next is the offset in the caller's byte stream behind the last request in early.
	next   int64
	parser parser
	// blocked is set if the request at next must not be started early.
	blocked bool
	// finished is set when the handler has returned. Then nothing more is read ahead and
	// started until it is called again.
	finished bool
	// last is set if the server closes the connection after one of the requests before
	// next.
	last bool
}

// earlyRequest is a request that was started before the server has read it.
type earlyRequest struct {
	// request is not the copy that the handler gets and may change.
	request *http.Request
	// headEnd and end are offsets in the caller's byte stream.
	headEnd, end int64
	startedAt    time.Time
	cancel       context.CancelFunc
	response     *response
}

// readInBackground reads ahead until the server ends its background read or the caller's
// byte stream ends. It never returns a byte.
func (c *conn) readInBackground(p []byte) (int, error) {
	stalled := false
	for {
		space, err := c.spaceAhead(p)
		if err != nil {
			return 0, err
		}
		if space == nil {
			if c.isFinished() {
				<-c.changed // the server ends the read now
				continue
			}
			if !stalled && !c.listener.options.Draining() {
				c.listener.stalls.Inc(1)
			}
			stalled = true
			if err := c.awaitChange(); err != nil {
				return 0, err
			}
			continue
		}
		n, err := c.Conn.Read(space)
		c.addAhead(space[:n])
		if err != nil {
			c.endOnError(err)
			return 0, err
		}
	}
}

// spaceAhead returns room for bytes that are read ahead, or nil if a limit is reached. p
// is used as long as nothing was read ahead, so that callers that do not pipeline need no
// buffer. It returns an error if the background read must end.
func (c *conn) spaceAhead(p []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	options := &c.listener.options
	switch {
	case c.ended != nil:
		return nil, c.ended
	case c.aborted:
		return nil, os.ErrDeadlineExceeded
	case len(c.readAhead.early) >= options.MaxRequests || options.Draining():
		return nil, nil
	case c.readAhead.finished && c.buffer.len() > 0:
		return nil, nil
	}
	space := p
	if c.buffer.len() > 0 {
		space = c.buffer.space(min(minReadBytes, max(options.MaxBytes-c.buffer.len(), 1)), options.MaxBytes)
	}
	c.reading = space != nil
	return space, nil
}

// addAhead adds bytes that were read into the room that spaceAhead returned, and starts
// the requests that they complete.
func (c *conn) addAhead(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if len(data) == 0 || c.ended != nil {
		return
	}
	c.pipelined = true
	if c.buffer.len() == 0 {
		c.buffer.append(data)
	} else {
		c.buffer.extend(len(data))
	}
	c.startEarly()
}

// isFinished reports whether the handler has returned.
func (c *conn) isFinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAhead.finished
}

// endOnError ends the caller's byte stream unless the error is that of a deadline.
func (c *conn) endOnError(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(err, "the caller has disconnected")
}

// awaitChange waits until there may be room, for at most stallCheckInterval. It returns
// io.EOF if the caller has closed its side of the connection.
func (c *conn) awaitChange() error {
	timer := time.NewTimer(stallCheckInterval)
	defer timer.Stop()
	select {
	case <-c.changed:
		return nil
	case <-timer.C:
	}
	if c.peerClosed() {
		c.endOnError(io.EOF)
		return io.EOF
	}
	return nil
}

// startEarly starts the complete requests that were read ahead, up to the first one that
// must not be started early. The caller must hold mu.
func (c *conn) startEarly() {
	a := &c.readAhead
	for c.phase == serving && c.ended == nil && !a.finished && !a.blocked && !a.last && len(a.early) < c.listener.options.MaxRequests {
		data := c.ahead()
		if len(data) == 0 {
			return
		}
		if len(a.early) == 0 && a.current != nil && !a.handler.mayBegin(a.current) {
			a.blocked = true
			return
		}
		switch a.parser.parse(data, c.listener.options.MaxBytes, c.listener.reserveEarly) {
		case incomplete:
			return
		case unsuitable:
			c.block()
			return
		}
		if !a.handler.mayBegin(a.parser.request) {
			c.block()
			return
		}
		c.start()
	}
}

// block leaves the request at next to the server. The caller must hold mu.
func (c *conn) block() {
	c.readAhead.blocked = true
	c.dropParsed()
}

// dropParsed drops what was parsed of the request at next. The caller must hold mu.
func (c *conn) dropParsed() {
	c.listener.releaseEarly(c.readAhead.parser.reserved)
	c.readAhead.parser = parser{}
}

// reserveEarly reserves memory for a request that was read ahead.
func (l *Listener) reserveEarly(bytes int64) bool {
	limits := l.options.Heads
	return limits == nil || limits.Memory == nil || limits.Memory.Reserve(bytes) == nil
}

// releaseEarly releases what reserveEarly has reserved.
func (l *Listener) releaseEarly(bytes int64) {
	if limits := l.options.Heads; bytes > 0 && limits != nil && limits.Memory != nil {
		limits.Memory.Release(bytes)
	}
}

// ahead returns the bytes at the offset next. The caller must hold mu.
func (c *conn) ahead() []byte {
	skip := c.readAhead.next - c.delivered
	if data := c.buffer.bytes(); skip < int64(len(data)) {
		return data[skip:]
	}
	return nil
}

// start starts the request that the parser has parsed. The caller must hold mu.
func (c *conn) start() {
	a := &c.readAhead
	ctx, cancel := context.WithCancel(context.WithValue(a.context, earlyKey{}, true))
	request := a.parser.request.WithContext(ctx)
	request.RemoteAddr = c.RemoteAddr().String()
	e := &earlyRequest{
		request: a.parser.request, headEnd: a.next + int64(a.parser.headBytes), end: a.next + int64(a.parser.totalBytes),
		startedAt: time.Now(), cancel: cancel, response: newResponse(ctx, c.listener.options.Memory),
	}
	a.early = append(a.early, e)
	reserved := a.parser.reserved
	a.next, a.parser, a.last = e.end, parser{}, request.Close
	c.listener.begun.Inc(1)
	c.listener.record(c, 1, len(a.early))
	next := a.handler.next
	go func() {
		e.response.run(next, request)
		c.listener.releaseEarly(reserved)
	}()
}

// takeEarly returns the early request that the server has begun to handle as r, or nil.
// If the first early request is another one, all are cancelled. The caller must hold mu.
func (c *conn) takeEarly(r *http.Request) *earlyRequest {
	a := &c.readAhead
	if len(a.early) == 0 {
		return nil
	}
	e := a.early[0]
	if e.headEnd != c.delivered || e.request.Method != r.Method || e.request.RequestURI != r.RequestURI || e.request.Host != r.Host {
		c.cancelEarly("the server has read another request")
		return nil
	}
	a.early = a.early[1:]
	c.listener.used.Inc(1)
	c.listener.record(c, -1, len(a.early))
	return e
}

// cancelEarly cancels the early requests that the server has not begun to handle. The
// caller must hold mu.
func (c *conn) cancelEarly(reason string) {
	a := &c.readAhead
	count := len(a.early)
	if count == 0 {
		return
	}
	for _, e := range a.early {
		e.cancel()
		e.response.drop()
	}
	a.early = nil
	c.listener.cancelled.Inc(int64(count))
	c.listener.record(c, -count, 0)
	c.listener.options.Log.Info().Int("requests", count).Str("caller", c.RemoteAddr().String()).Str("reason", reason).
		Msg("requests that were started early are cancelled")
}

// isFollowed reports whether a complete request was read behind the one that the server
// handles.
func (c *conn) isFollowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != serving || c.ended != nil {
		return false
	}
	return len(c.readAhead.early) > 0 || len(c.ahead()) > 0 && isComplete(c.ahead())
}

// describe returns the state of the connection. ok is false if it has no early requests.
func (c *conn) describe(now time.Time) (d Description, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &c.readAhead
	if len(a.early) == 0 {
		return d, false
	}
	d = Description{Caller: c.RemoteAddr().String(), Bytes: c.buffer.len(),
		OldestMillis: now.Sub(a.early[0].startedAt).Milliseconds()}
	for _, e := range a.early {
		d.Requests = append(d.Requests, e.request.RequestURI)
		if e.response.isDone() {
			d.Ready++
		}
	}
	return d, true
}
