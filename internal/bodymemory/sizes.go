package bodymemory

import (
	"sync"
	"sync/atomic"
)

const (
	// sizeDecayDivisor is the part by which the expected size approaches each smaller
	// response: after 22 small responses the excess of a large one has halved.
	sizeDecayDivisor = 32
	// expectedSizeDivisor is the divisor of the limit that bounds expected sizes, so that
	// one response of unusual size does not reserve the memory of many others.
	expectedSizeDivisor = 64
)

// Sizes are the expected sizes of the responses by route: a maximum that decays with each
// smaller response. It is safe for concurrent use.
type Sizes struct {
	limit   int64
	byRoute sync.Map // *atomic.Int64 by name
}

// NewSizes returns the expected sizes for a Memory with the given limit in bytes.
func NewSizes(limit int64) *Sizes { return &Sizes{limit: limit / expectedSizeDivisor} }

// Expected returns the bytes to reserve for a response of the route.
func (s *Sizes) Expected(route string) int64 {
	size, known := s.byRoute.Load(route)
	if !known {
		return 0
	}
	return min(size.(*atomic.Int64).Load(), s.limit)
}

// Observe records the size of a response. Observations that are made at the same time may
// replace each other.
func (s *Sizes) Observe(route string, size int64) {
	stored, known := s.byRoute.Load(route)
	if !known {
		stored, _ = s.byRoute.LoadOrStore(route, new(atomic.Int64))
	}
	expected := stored.(*atomic.Int64)
	old := expected.Load()
	if updated := decayedMax(old, size); updated != old {
		expected.Store(updated)
	}
}

// decayedMax returns the expected size after a response of the given size.
func decayedMax(expected, size int64) int64 {
	if size >= expected {
		return size
	}
	return expected - max((expected-size)/sizeDecayDivisor, 1)
}
