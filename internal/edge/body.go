package edge

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/refusal"
)

// readBody reads the body of a request. The memory that it reserves is released with the
// request.
func (e *Edge) readBody(w http.ResponseWriter, r *http.Request, q *request) ([]byte, *refusal.Refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	limit := q.catalog.Limits.MaxBodyBytes
	if limit > 0 && r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	if limit > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := e.holdBody(r, q)
	var tooLarge *http.MaxBytesError
	var noMemory *bodymemory.NoMemoryError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, bodyTooLarge(limit)
	case errors.As(err, &noMemory):
		return nil, noBodyMemory()
	}
	return nil, refusal.New(http.StatusBadRequest, refusal.BodyIncomplete, refusal.NotRun, "body was cut short")
}

func noBodyMemory() *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun,
		"no memory for the body").WithRetryAfter(jitter(unavailableRetryAfter))
}

func bodyTooLarge(limit int64) *refusal.Refusal {
	return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, refusal.NotRun,
		fmt.Sprintf("body is above the limit of %d bytes", limit))
}

// Bounds of what is read of a refused request's body.
const (
	// maxCompletedBytes and completionTime bound the bodies that are read before the
	// refusal, so that their connection can be kept.
	maxCompletedBytes = 64 << 10
	completionTime    = 20 * time.Millisecond
	// maxDiscardedBytes and discardTimeout bound what is read after the refusal.
	maxDiscardedBytes = 32 << 20
	discardTimeout    = time.Second
)

// refuseUnread writes a refusal with write. A connection on which part of the body may be
// unread takes no further request: the rest of the body would be read as one. It is closed
// once the caller has sent its body, or after discardTimeout, since closing it with unread
// bytes resets it, which can destroy the refusal before the caller has read it.
func refuseUnread(w http.ResponseWriter, r *http.Request, write func()) {
	if r.Body == nil || r.Body == http.NoBody {
		write()
		return
	}
	controller := http.NewResponseController(w)
	if completeBody(controller, r) {
		write()
		return
	}
	w.Header().Set("Connection", "close")
	if controller.EnableFullDuplex() != nil {
		write()
		return
	}
	write()
	if controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return // the caller has disconnected
	}
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes) // the connection ends in any case
}

// completeBody reads the rest of a small body that has arrived or is about to, and reports
// whether all of the body was read. A caller that waits for permission to send its body gets
// none.
func completeBody(controller *http.ResponseController, r *http.Request) bool {
	if r.ContentLength > maxCompletedBytes || r.Header.Get("Expect") != "" {
		return false
	}
	switch err := controller.SetReadDeadline(time.Now().Add(completionTime)); {
	case errors.Is(err, http.ErrNotSupported):
		return true // the request was read ahead, with its body
	case err != nil:
		return false
	}
	n, err := io.CopyN(io.Discard, r.Body, maxCompletedBytes+1)
	if resetErr := controller.SetReadDeadline(time.Time{}); resetErr != nil {
		return false
	}
	return n <= maxCompletedBytes && errors.Is(err, io.EOF)
}
