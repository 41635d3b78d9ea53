package gateway

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/refusal"
)

// noMemoryRetryAfter is the Retry-After value of requests for which no memory is left.
const noMemoryRetryAfter = time.Second

// heldMemory is the memory that is reserved for a request.
type heldMemory struct{ body, response *bodymemory.Reservation }

func (h *heldMemory) release() {
	h.body.Release()
	h.response.Release()
}

// takeResponse returns the memory for an answer, which its writer releases. The answer may be one
// that another entry gave, for which nothing is reserved.
func (h *heldMemory) takeResponse(body []byte) *bodymemory.Reservation {
	response := h.response
	h.response = nil
	response.ForceSize(int64(len(body)))
	return response
}

// readBody reads the body of a request, which must arrive within the timeout of the request. The
// memory is released with the request.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, timeout time.Duration, held *heldMemory) ([]byte, *refusal.Refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > g.maxBodyBytes {
		return nil, g.bodyTooLarge()
	}
	body, err := g.holdBody(w, r, timeout, held)
	var tooLarge *http.MaxBytesError
	var noMemory *bodymemory.NoMemoryError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, g.bodyTooLarge()
	case errors.As(err, &noMemory):
		return nil, noMemoryRefusal("body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal.New(http.StatusRequestTimeout, refusal.BodyLate, refusal.NotRun, "body did not arrive in time")
	}
	return nil, refusal.New(http.StatusBadRequest, refusal.BodyIncomplete, refusal.NotRun, "body was cut short")
}

func (g *Gateway) holdBody(w http.ResponseWriter, r *http.Request, timeout time.Duration, held *heldMemory) ([]byte, error) {
	if g.memory != nil {
		reserved, err := g.memory.Reserve(bodymemory.RequestBody, 0)
		if err != nil {
			return nil, err
		}
		reserved.SetOwner(bodymemory.Owner{Caller: r.RemoteAddr, Route: r.URL.Path})
		held.body = reserved
	}
	bodymemory.ReceiveLarge(r.Context(), r.ContentLength)
	controller := http.NewResponseController(w)
	limited := controller.SetReadDeadline(time.Now().Add(timeout)) == nil // a request that was read ahead has its body
	limitedBody := http.MaxBytesReader(w, r.Body, g.maxBodyBytes)
	body, err := held.body.ReceiveBody(limitedBody, r.ContentLength, g.maxBodyBytes, bodymemory.StopReading(r.Context()))
	if limited && err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// reserveResponse makes a reservation for the answer, which grows as the answer arrives.
func (g *Gateway) reserveResponse(held *heldMemory) *refusal.Refusal {
	if g.memory == nil {
		return nil
	}
	reserved, err := g.memory.Reserve(bodymemory.Response, 0)
	if err != nil {
		return noMemoryRefusal("answer")
	}
	held.response = reserved
	return nil
}

func (g *Gateway) bodyTooLarge() *refusal.Refusal {
	return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, refusal.NotRun,
		fmt.Sprintf("body is above the limit of %d bytes", g.maxBodyBytes))
}

func noMemoryRefusal(what string) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun, "no memory for the "+what).
		WithRetryAfter(noMemoryRetryAfter)
}
