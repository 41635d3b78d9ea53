package catalog

import (
	"sync"

	"lovagescale/internal/weighted"
)

// Splitter deals the requests of each route to the parts of the route in
// proportion to their weights. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	wheels map[string]*weighted.Wheel
}

// NewSplitter returns a splitter without credits.
func NewSplitter() *Splitter { return &Splitter{wheels: make(map[string]*weighted.Wheel)} }

// Next returns the upstream of the route's next request.
func (s *Splitter) Next(route *Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wheel, known := s.wheels[route.Name]
	if !known {
		wheel = weighted.NewWheel()
		s.wheels[route.Name] = wheel
	}
	return wheel.Next(route.Parts)
}
