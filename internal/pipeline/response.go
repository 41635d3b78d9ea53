package pipeline

import (
	"context"
	"maps"
	"net/http"
	"sync"

	"lovagescale/internal/bodymemory"
)

// response is the http.ResponseWriter of a request that was started early. It holds what
// the handler writes until the server handles the request, and then passes it on.
type response struct {
	ctx    context.Context
	memory Memory
	header http.Header
	// done is closed when the handler has returned.
	done chan struct{}
	// attached is closed when the response's turn has come.
	attached chan struct{}

	mu sync.Mutex
	// target is the server's writer, or nil until the response's turn has come.
	target http.ResponseWriter
	// beforeHeader is called with the header before it is written to target.
	beforeHeader func(http.Header)
	// status is the status, or 0 before the handler has written the header.
	status int
	// sent is the header as it was when the handler wrote it.
	sent http.Header
	body []byte
	// reserved is the memory reserved for the body.
	reserved int64
	// heldBody is a body that the handler has handed over with its reservation held.
	heldBody []byte
	held     *bodymemory.Reservation
	// targetCtx is the context of the request that the server reads.
	targetCtx context.Context
	// dropped is set when the response is not wanted any more.
	dropped bool
	// panicked is the value of a panic of the handler, or nil.
	panicked any
}

func newResponse(ctx context.Context, memory Memory) *response {
	return &response{ctx: ctx, memory: memory, header: make(http.Header), done: make(chan struct{}), attached: make(chan struct{})}
}

// run runs the handler. The server does not catch a panic on this goroutine, so it is kept
// for the goroutine that delivers the response.
func (w *response) run(next http.Handler, r *http.Request) {
	defer close(w.done)
	defer func() {
		if value := recover(); value != nil {
			w.mu.Lock()
			w.panicked = value
			w.mu.Unlock()
		}
	}()
	next.ServeHTTP(w, r)
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Informational responses are dropped.
func (w *response) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeHeader(status)
}

func (w *response) writeHeader(status int) {
	if w.status != 0 || status < http.StatusOK {
		return
	}
	w.status, w.sent = status, w.header.Clone()
	w.passHeader()
}

// passHeader writes the header to the target if both are there. The caller must hold mu.
func (w *response) passHeader() {
	if w.target == nil || w.status == 0 {
		return
	}
	maps.Copy(w.target.Header(), w.sent)
	w.beforeHeader(w.target.Header())
	w.target.WriteHeader(w.status)
}

// Write implements http.ResponseWriter. If no memory is left for the data, it waits until
// the response's turn has come.
func (w *response) Write(data []byte) (int, error) {
	if n, err, written := w.tryWrite(data); written {
		return n, err
	}
	select {
	case <-w.attached:
	case <-w.ctx.Done():
		return 0, w.ctx.Err()
	}
	n, err, _ := w.tryWrite(data)
	return n, err
}

// tryWrite writes data to the target or holds it. written is false if no memory is left.
func (w *response) tryWrite(data []byte) (n int, err error, written bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeHeader(http.StatusOK)
	if w.target != nil {
		n, err = w.target.Write(data)
		return n, err, true
	}
	if w.dropped {
		return 0, context.Canceled, true
	}
	if w.memory != nil {
		if w.memory.Reserve(int64(len(data))) != nil {
			return 0, nil, false
		}
		w.reserved += int64(len(data))
	}
	w.body = append(w.body, data...)
	return len(data), nil, true
}

// HoldResponse implements bodymemory.ResponseHolder.
func (w *response) HoldResponse(body []byte, held *bodymemory.Reservation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeHeader(http.StatusOK)
	switch {
	case w.target != nil:
		bodymemory.Deliver(w.targetCtx, w.target, body, held)
	case w.dropped:
		held.Release()
	default:
		w.heldBody, w.held = body, held
	}
}

// deliver passes the response to the server's writer and waits until the handler has
// returned. If ctx ends before, cancel is called. A panic of the handler is raised again.
func (w *response) deliver(ctx context.Context, target http.ResponseWriter, cancel context.CancelFunc, beforeHeader func(http.Header)) {
	w.attach(ctx, target, beforeHeader)
	select {
	case <-w.done:
	case <-ctx.Done():
		cancel()
		<-w.done
	}
	if w.panicked != nil {
		panic(w.panicked)
	}
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
}

// attach passes on what the response holds; what follows goes to the target directly.
func (w *response) attach(ctx context.Context, target http.ResponseWriter, beforeHeader func(http.Header)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targetCtx, w.target, w.beforeHeader = ctx, target, beforeHeader
	w.passHeader()
	if len(w.body) > 0 {
		_, _ = target.Write(w.body) // fails if the caller has disconnected, which ends ctx
	}
	if w.heldBody != nil {
		bodymemory.Deliver(ctx, target, w.heldBody, w.held)
	}
	w.release()
	close(w.attached)
}

// drop discards the response, whose request was cancelled.
func (w *response) drop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped = true
	w.release()
}

// release releases the body. The caller must hold mu.
func (w *response) release() {
	w.body, w.heldBody = nil, nil
	w.held.Release()
	if w.reserved > 0 {
		w.memory.Release(w.reserved)
		w.reserved = 0
	}
}

func (w *response) isDone() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}
