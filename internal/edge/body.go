package edge

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/refusal"
)

// bodyMemoryDivisor is the divisor of Settings.MemoryBytes that gives the limit of
// bodyMemory.
const bodyMemoryDivisor = 4

// minBodyChunk is the smallest step in bytes in which a body of unknown length reserves
// memory.
const minBodyChunk = 4096

// bodyMemory limits the total size of the bodies that are held at a time. It is safe for
// concurrent use.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// NoBodyMemoryError reports a body for which no memory is left.
type NoBodyMemoryError struct{ Limit int64 }

// Error implements the error interface.
func (e *NoBodyMemoryError) Error() string {
	return fmt.Sprintf("all bodies together would be above the limit of %d bytes", e.Limit)
}

// reserve reserves n bytes or returns a *NoBodyMemoryError.
func (m *bodyMemory) reserve(n int64) error {
	if m.used.Add(n) <= m.limit {
		return nil
	}
	m.used.Add(-n)
	return &NoBodyMemoryError{Limit: m.limit}
}

func (m *bodyMemory) release(n int64) { m.used.Add(-n) }

// read reads a body and returns the number of bytes that it reserved, also on failure. The
// caller must release them. length is the stated length, or negative if unknown.
func (m *bodyMemory) read(r io.Reader, length int64) (body []byte, reserved int64, err error) {
	if length < 0 {
		return m.readUnknownLength(r)
	}
	if err := m.reserve(length); err != nil {
		return nil, 0, err
	}
	body = make([]byte, length)
	_, err = io.ReadFull(r, body)
	return body, length, err
}

// readUnknownLength reads a body whose end is known only when it is reached. It reserves
// memory as the body grows.
func (m *bodyMemory) readUnknownLength(r io.Reader) (body []byte, reserved int64, err error) {
	for {
		if len(body) == cap(body) {
			step := int64(max(minBodyChunk, cap(body)/2))
			if err := m.reserve(step); err != nil {
				return nil, reserved, err
			}
			reserved += step
			body = append(make([]byte, 0, reserved), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, reserved, nil
		}
		if err != nil {
			return nil, reserved, err
		}
	}
}

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
	body, reserved, err := e.bodyMemory.read(r.Body, r.ContentLength)
	q.reservedBytes = reserved
	var tooLarge *http.MaxBytesError
	var noMemory *NoBodyMemoryError
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

// Bounds of the discarding of a refused request's body.
const (
	maxDiscardedBytes = 1 << 20
	discardTimeout    = time.Second
)

// refuseUnread writes a refusal with write and then discards what the caller still sends
// of its body. Closing a connection with unread bytes resets it, which can destroy the
// refusal before the caller has read it.
func refuseUnread(w http.ResponseWriter, r *http.Request, write func()) {
	controller := http.NewResponseController(w)
	if r.Body == nil || r.Body == http.NoBody || controller.EnableFullDuplex() != nil {
		write()
		return
	}
	write()
	if controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return // the caller has disconnected
	}
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes) // an incomplete body ends with its connection
}
