package edge

import (
	"fmt"
	"net/http"
	"os"

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
	body, err := e.holdBody(w, r, q)
	var tooLarge *http.MaxBytesError
	var noMemory *bodymemory.NoMemoryError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, bodyTooLarge(limit)
	case errors.As(err, &noMemory):
		return nil, noBodyMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal.New(http.StatusRequestTimeout, refusal.BodyLate, refusal.NotRun, "body did not arrive in time")
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
