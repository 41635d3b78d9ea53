package placement

import "time"

// namedLimit is the rate limit that an endpoint named in its answers.
type namedLimit struct {
	named     bool
	perSecond float64
}

// SetNamedLimit records the limit that the endpoint named in an answer, in requests per
// second from all instances together, or that it named none. It reports whether that
// changed.
func (e *Endpoint) SetNamedLimit(_ time.Time, perSecond float64, named bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	stated := namedLimit{named: named, perSecond: perSecond}
	changed := e.limit != stated
	e.limit = stated
	return changed
}
