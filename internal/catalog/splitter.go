package catalog

import (
	"sync"

	"lovagescale/internal/weighted"
)

// Splitter splits the requests of each route among the upstreams of the route in
// proportion to their weights. It is safe for concurrent use.
type Splitter struct {
	mu sync.Mutex
	// roundRobins maps route names to the state of their weighted round robin.
	roundRobins map[string]*weighted.RoundRobin
}

// NewSplitter returns a splitter that has not assigned any request yet.
func NewSplitter() *Splitter { return &Splitter{roundRobins: make(map[string]*weighted.RoundRobin)} }

// Next returns the name of the upstream for the next request of the route.
func (s *Splitter) Next(route *Route) string {
	if len(route.Upstreams) == 1 {
		return route.Upstreams[0].Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	roundRobin, known := s.roundRobins[route.Name]
	if !known {
		roundRobin = weighted.NewRoundRobin()
		s.roundRobins[route.Name] = roundRobin
	}
	return roundRobin.Next(route.Upstreams)
}
