package upstream

import (
	"fmt"
	"sync/atomic"
)

// MaxBodyBytesInFlight bounds the bodies of the requests that a Pool has at its endpoint at
// a time: an endpoint crashes if the requests that it holds exceed its memory. A single
// larger body is sent while no other one is in flight.
const MaxBodyBytesInFlight = 8 << 20

// BodyLimitError reports that the bodies in flight to an endpoint leave no room for another
// one. The request was not sent.
type BodyLimitError struct{ Limit int }

// Error implements the error interface.
func (e *BodyLimitError) Error() string {
	return fmt.Sprintf("bodies of more than %d bytes would be in flight", e.Limit)
}

// bodiesInFlight is the total size of the bodies in flight to one endpoint.
type bodiesInFlight struct{ bytes atomic.Int64 }

// add counts a body or returns a *BodyLimitError.
func (b *bodiesInFlight) add(size int) error {
	if size == 0 {
		return nil
	}
	if total := b.bytes.Add(int64(size)); total > MaxBodyBytesInFlight && total > int64(size) {
		b.bytes.Add(-int64(size))
		return &BodyLimitError{Limit: MaxBodyBytesInFlight}
	}
	return nil
}

func (b *bodiesInFlight) remove(size int) {
	if size > 0 {
		b.bytes.Add(-int64(size))
	}
}
