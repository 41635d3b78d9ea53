package retryafter

import (
	"sync"
	"time"
)

// Spacing spreads the returns of callers that are refused for a rate over the times at
// which the rate admits requests again. It reserves nothing. It is safe for concurrent use.
type Spacing struct {
	mu   sync.Mutex
	keys map[string]*places
}

// NewSpacing returns a spacing without refused callers.
func NewSpacing() *Spacing { return &Spacing{keys: make(map[string]*places)} }

// Next returns the time after which a refused caller is to return. perSecond is the part
// of the rate that this instance's callers use, earliest the time until the rate admits a
// request again. If the rate admits no further request within the time that the caller
// waits at most, the wait is longer than that. random is in [0, 1).
func (s *Spacing) Next(now time.Time, key string, perSecond float64, timeLeft, earliest time.Duration, random float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, found := s.keys[key]
	if !found {
		p = &places{}
		s.keys[key] = p
	}
	first := now.Add(max(earliest, minPromise))
	if p.next.Before(first) { // tokens that nobody waited for are there for anybody
		p.next = first
	}
	if wait, ok := p.take(now, now.Add(min(LongestWait(timeLeft), maxPromise)), max(intervalOf(perSecond), time.Microsecond), random); ok {
		return wait
	}
	return noPlace(timeLeft, earliest, random)
}
