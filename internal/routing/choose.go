package routing

import (
	"slices"
	"time"
)

// candidate is an endpoint with its health at one time.
type candidate struct {
	*endpoint
	health health
}

// demand is what a call asks of its endpoint.
type demand struct {
	service *service
	tried   []*endpoint
	// struck is true for a request that cost an endpoint its connection.
	struck bool
}

// choose returns an endpoint with its slot taken, or nil. Trusted endpoints
// come first, then slots above the ramp of cold ones. Endpoints that are
// ejected or down are used only when none is trusted, since a sibling or another
// zone answers sooner; those that drain by their report alone only when there
// is no other.
func (r *Router) choose(d *demand) *endpoint {
	now := r.options.Now()
	trusted, rest, reported := r.candidates(d, now)
	if len(trusted)+len(rest) == 0 {
		rest = reported
	}
	if e := r.better(d, trusted); e != nil {
		return e
	}
	for _, c := range trusted {
		if r.acquire(d, c.endpoint, c.limit()) {
			return c.endpoint
		}
	}
	if len(trusted) > 0 {
		return nil
	}
	for _, c := range rest {
		if r.acquire(d, c.endpoint, c.limit()) {
			return c.endpoint
		}
	}
	return nil
}

// candidates returns the endpoints that the call may use, by trust.
func (r *Router) candidates(d *demand, now time.Time) (trusted, rest, reported []candidate) {
	for _, e := range d.service.endpoints {
		if !e.owned.Load() || e.removed.Load() || slices.Contains(d.tried, e) {
			continue
		}
		c := candidate{endpoint: e, health: e.look()}
		switch {
		case now.Before(c.health.drainingUntil):
		case now.Before(c.health.reportedUntil):
			reported = append(reported, c)
		case !now.Before(c.health.downUntil) && !now.Before(c.health.ejectedUntil):
			trusted = append(trusted, c)
		default:
			rest = append(rest, c)
		}
	}
	return trusted, rest, reported
}

// better takes the better of two endpoints drawn at random, else any one that
// has a slot open.
func (r *Router) better(d *demand, trusted []candidate) *endpoint {
	n := len(trusted)
	if n == 0 {
		return nil
	}
	first, second := r.draw(n)
	a, b := &trusted[first], &trusted[second]
	if b.health.score(b.inFlight.Load()) < a.health.score(a.inFlight.Load()) {
		a, b = b, a
	}
	for _, c := range []*candidate{a, b} {
		if r.acquire(d, c.endpoint, c.health.allowed(r.options.RampRequests)) {
			return c.endpoint
		}
	}
	for i := range trusted {
		c := &trusted[(first+i)%n]
		if r.acquire(d, c.endpoint, c.health.allowed(r.options.RampRequests)) {
			return c.endpoint
		}
	}
	return nil
}

// acquire takes a slot of the endpoint. A struck request shares an endpoint
// with no other struck one.
func (r *Router) acquire(d *demand, e *endpoint, limit int64) bool {
	if !e.acquire(limit, r.permitted) {
		return false
	}
	if d.struck && !e.struck.CompareAndSwap(false, true) {
		e.inFlight.Add(-1)
		return false
	}
	return true
}

// draw returns two different indexes below n, or 0 twice for n = 1.
func (r *Router) draw(n int) (first, second int) {
	if n == 1 {
		return 0, 0
	}
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	first = r.random.IntN(n)
	second = r.random.IntN(n - 1)
	if second >= first {
		second++
	}
	return first, second
}

// review ejects outliers of the service, up to the share that may be ejected.
func (r *Router) review(s *service, e *endpoint) {
	s.reviewMu.Lock()
	defer s.reviewMu.Unlock()
	now := r.options.Now()
	var latencies []time.Duration
	owned, ejected := 0, 0
	for _, other := range s.endpoints {
		if !other.owned.Load() {
			continue
		}
		owned++
		h := other.look()
		if now.Before(h.ejectedUntil) {
			ejected++
		} else if other != e {
			latencies = append(latencies, h.latency)
		}
	}
	typical := median(latencies)
	if ejected >= maxEjected(owned, r.options.EjectShare) {
		return
	}
	e.change(func(h *health) {
		if h.outlier(typical, r.options.EjectFactor) && !now.Before(h.ejectedUntil) {
			h.eject(now, r.options.EjectTerm, typical)
			r.metrics.ejected.Inc(1)
		}
	})
}
