package routing

import (
	"slices"
	"time"
)

// candidate is an endpoint with a snapshot of its health.
type candidate struct {
	*endpoint
	health health
}

// selectionCriteria says which endpoints a call may use.
type selectionCriteria struct {
	service *service
	// attempted holds the endpoints that the call has been sent to; they are left out.
	attempted []*endpoint
	// hasStrike is true if an endpoint dropped the connection while it ran this request
	// (package quarantine).
	hasStrike bool
}

// acquireEndpoint takes a slot of one of the service's endpoints and returns the
// endpoint, or nil if no endpoint has a slot for the call. It tries in this order:
//
//   - eligible endpoints, within the slow-start limit of each;
//   - eligible endpoints beyond their slow-start limit;
//   - ejected endpoints and those that are down, only if no endpoint is eligible: when
//     the eligible ones are merely full, a sibling or another zone answers sooner;
//   - endpoints whose health report alone says that they are draining, only if there is
//     no other endpoint.
func (r *Router) acquireEndpoint(criteria *selectionCriteria) *endpoint {
	now := r.options.Now()
	eligible, fallback, reportedDraining := r.classifyCandidates(criteria, now)
	if len(eligible)+len(fallback) == 0 {
		fallback = reportedDraining
	}
	if e := r.acquireBetterOfTwo(criteria, eligible); e != nil {
		return e
	}
	for _, c := range eligible {
		if r.acquireSlot(criteria, c.endpoint, c.slotLimit()) {
			return c.endpoint
		}
	}
	if len(eligible) > 0 {
		return nil
	}
	for _, c := range fallback {
		if r.acquireSlot(criteria, c.endpoint, c.slotLimit()) {
			return c.endpoint
		}
	}
	return nil
}

// classifyCandidates groups the endpoints that the call may use by their health.
// Endpoints that announced in an answer that they are draining are in no group.
func (r *Router) classifyCandidates(criteria *selectionCriteria, now time.Time) (eligible, ejectedOrDown, reportedDraining []candidate) {
	for _, e := range criteria.service.endpoints {
		if !e.owned.Load() || e.removed.Load() || slices.Contains(criteria.attempted, e) {
			continue
		}
		c := candidate{endpoint: e, health: e.healthSnapshot()}
		switch {
		case now.Before(c.health.drainingUntil):
		case now.Before(c.health.reportedDrainingUntil):
			reportedDraining = append(reportedDraining, c)
		case !now.Before(c.health.downUntil) && !now.Before(c.health.ejectedUntil):
			eligible = append(eligible, c)
		default:
			ejectedOrDown = append(ejectedOrDown, c)
		}
	}
	return eligible, ejectedOrDown, reportedDraining
}

// acquireBetterOfTwo draws two endpoints at random and takes a slot of the one with the
// lower score, or else of the other. If both are full it takes a slot of any endpoint.
// All slots are taken within the slow-start limit of the endpoint.
func (r *Router) acquireBetterOfTwo(criteria *selectionCriteria, eligible []candidate) *endpoint {
	n := len(eligible)
	if n == 0 {
		return nil
	}
	first, second := r.drawTwo(n)
	a, b := &eligible[first], &eligible[second]
	if b.health.score(b.inFlight.Load()) < a.health.score(a.inFlight.Load()) {
		a, b = b, a
	}
	for _, c := range []*candidate{a, b} {
		if r.acquireSlot(criteria, c.endpoint, c.health.rampLimit(r.options.RampRequests)) {
			return c.endpoint
		}
	}
	for i := range eligible {
		c := &eligible[(first+i)%n]
		if r.acquireSlot(criteria, c.endpoint, c.health.rampLimit(r.options.RampRequests)) {
			return c.endpoint
		}
	}
	return nil
}

// acquireSlot takes a slot of the endpoint and reports whether it got one. An endpoint
// runs at most one request with a strike at a time, so that a crash gives a strike to
// only one such request.
func (r *Router) acquireSlot(criteria *selectionCriteria, e *endpoint, limit int64) bool {
	if !e.acquireSlot(limit, r.rightsValid) {
		return false
	}
	if criteria.hasStrike && !e.strikeInFlight.CompareAndSwap(false, true) {
		e.inFlight.Add(-1)
		return false
	}
	return true
}

// drawTwo returns two different indexes below n, or 0 twice for n = 1.
func (r *Router) drawTwo(n int) (first, second int) {
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

// ejectIfOutlier ejects e if it is an outlier among the service's endpoints and fewer
// endpoints than EjectShare allows are ejected.
func (r *Router) ejectIfOutlier(s *service, e *endpoint) {
	s.ejectionMu.Lock()
	defer s.ejectionMu.Unlock()
	now := r.options.Now()
	var otherLatencies []time.Duration
	owned, ejected := 0, 0
	for _, other := range s.endpoints {
		if !other.owned.Load() {
			continue
		}
		owned++
		h := other.healthSnapshot()
		if now.Before(h.ejectedUntil) {
			ejected++
		} else if other != e {
			otherLatencies = append(otherLatencies, h.averageLatency)
		}
	}
	medianLatency := medianOfKnown(otherLatencies)
	if ejected >= maxEjectedEndpoints(owned, r.options.EjectShare) {
		return
	}
	e.updateHealth(func(h *health) {
		if h.isOutlier(medianLatency, r.options.EjectFactor) && !now.Before(h.ejectedUntil) {
			h.eject(now, r.options.EjectTerm, medianLatency)
			r.metrics.ejections.Inc(1)
		}
	})
}
