package upstream

import (
	"fmt"
	"sync"
)

// MaxBodyBytesInFlight bounds the bodies of the requests that a Pool has at its endpoint at
// a time: an endpoint crashes if the requests that it holds exceed its memory. Of larger
// bodies, one is sent at a time, beside smaller ones.
const MaxBodyBytesInFlight = 8 << 20

// BodyLimitError reports that the bodies in flight to an endpoint leave no room for another
// one. The request was not sent.
type BodyLimitError struct{ Limit int }

// Error implements the error interface.
func (e *BodyLimitError) Error() string {
	return fmt.Sprintf("bodies of more than %d bytes would be in flight", e.Limit)
}

// bodiesInFlight are the bodies in flight to one endpoint.
type bodiesInFlight struct {
	mu    sync.Mutex
	bytes int
	// larger is set while a body above the limit is in flight, which bytes does not include.
	larger bool
}

// add counts a body or returns a *BodyLimitError.
func (b *bodiesInFlight) add(size int) error {
	if size == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case size > MaxBodyBytesInFlight && !b.larger:
		b.larger = true
	case size <= MaxBodyBytesInFlight && b.bytes+size <= MaxBodyBytesInFlight:
		b.bytes += size
	default:
		return &BodyLimitError{Limit: MaxBodyBytesInFlight}
	}
	return nil
}

// remove ends the count of a body that add has counted.
func (b *bodiesInFlight) remove(size int) {
	if size == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if size > MaxBodyBytesInFlight {
		b.larger = false
		return
	}
	b.bytes -= size
}
