package placement

import (
	"math"
	"time"

	"lovagescale/internal/monotonic"
)

// restriction is what restricts the use of an endpoint at the time of a choice.
type restriction struct {
	status healthStatus
	// absent is set if the slots are out of use, limited if the endpoint names a limit,
	// cold if it is cold. permitted is set if its limits allow a request now.
	absent, limited, cold, permitted bool
}

// isRestricted reports whether the use of the endpoint may be restricted. A choice takes the
// locks of only those endpoints.
func (e *Endpoint) isRestricted(nowNano, own int64) bool {
	return nowNano < e.restrictedUntil.Load() || (own > 0 && nowNano-e.waitingSince.Load() >= int64(unresponsiveAfter))
}

// restriction returns what restricts the use of the endpoint.
func (e *Endpoint) restriction(now time.Time, own int64) restriction {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := restriction{absent: e.absent(now), limited: e.limit.InForce(now), cold: e.coldLimiter.isActive(now), permitted: e.permitted(now)}
	if !r.absent {
		r.status = e.health.status(now, int(own))
	}
	return r
}

// regionLoad is the load of the endpoints of a region whose slots are in use and which name
// no limit.
type regionLoad struct{ inFlight, slots int64 }

func (l *regionLoad) utilization() float64 {
	return float64(l.inFlight) / math.Max(float64(l.slots), 1)
}

// candidate is an endpoint that may take a request.
type candidate struct {
	endpoint    *Endpoint
	rank        uint64
	utilization float64
	// usable is unset if the endpoint gets no requests now.
	usable, degraded bool
}

// ranking holds the candidates with the highest ranks, the highest first.
type ranking struct {
	top  [MaxPreferred]candidate
	n    int
	size int
	// lowest is the rank above which a candidate is among them.
	lowest uint64
}

func (r *ranking) add(c candidate) {
	if r.n < r.size {
		r.n++
	}
	i := r.n - 1
	for ; i > 0 && c.rank > r.top[i-1].rank; i-- {
		r.top[i] = r.top[i-1]
	}
	r.top[i] = c
	if r.n == r.size {
		r.lowest = r.top[r.n-1].rank
	}
}

// options are the best endpoints among those of one health.
type options struct {
	// first has the highest rank for the affinity key, spill the highest one below
	// MaxEndpointUtilizationForSpill. Without an affinity key, leastLoaded has the lowest
	// utilization.
	first, spill, leastLoaded candidate
	usable                    int
}

func (o *options) add(e *Endpoint, rank uint64, utilization float64, objectKnown bool) {
	o.usable++
	if !objectKnown {
		if utilization < o.leastLoaded.utilization || o.leastLoaded.endpoint == nil {
			o.leastLoaded.endpoint, o.leastLoaded.utilization = e, utilization
		}
		return
	}
	if rank > o.first.rank || o.first.endpoint == nil {
		o.first.endpoint, o.first.rank, o.first.utilization = e, rank, utilization
	}
	if utilization < MaxEndpointUtilizationForSpill && (rank > o.spill.rank || o.spill.endpoint == nil) {
		o.spill.endpoint, o.spill.rank, o.spill.utilization = e, rank, utilization
	}
}

func offerRank(best *candidate, c candidate) {
	if c.endpoint != nil && (best.endpoint == nil || c.rank > best.rank) {
		*best = c
	}
}

// merge adds the options among other endpoints.
func (o *options) merge(other *options) {
	o.usable += other.usable
	offerRank(&o.first, other.first)
	offerRank(&o.spill, other.spill)
	if other.leastLoaded.endpoint != nil && (o.leastLoaded.endpoint == nil || other.leastLoaded.utilization < o.leastLoaded.utilization) {
		o.leastLoaded = other.leastLoaded
	}
}

// selection compares the endpoints for one request.
type selection struct {
	now     time.Time
	nowNano int64
	request Request
	// options are the best endpoints among the healthy ones, and among the degraded ones
	// too if those are treated alike.
	options
	degradedOptions options
	// preferred are the preferred endpoints of the object, usable or not.
	preferred ranking
	load      regionLoad
	// byHealth counts the endpoints by health, coldWaiting the cold ones without a permit,
	// limitWaiting those whose limit allows no request now.
	byHealth                  [healthy + 1]int
	coldWaiting, limitWaiting int
}

// compare compares the endpoints for a request.
func (s *selection) compare(now time.Time, request Request, endpoints []*Endpoint) {
	*s = selection{now: now, nowNano: monotonic.Nanos(now), request: request}
	s.preferred.size = min(max(request.Preferred, 1), MaxPreferred)
	for _, e := range endpoints {
		s.consider(e)
	}
	if s.degradedAllowed() {
		s.merge(&s.degradedOptions)
	}
}

// degradedAllowed reports whether degraded endpoints are treated like healthy ones, because
// more endpoints are degraded than healthy. The cause is then common to all of them, and
// choosing others would only move objects away from the endpoints that have processed them
// before. Endpoints that the request was sent to do not count: a degraded one is better than
// none for its next attempt.
func (s *selection) degradedAllowed() bool { return s.byHealth[degraded] > s.byHealth[healthy] }

func (s *selection) consider(e *Endpoint) {
	own := e.inFlight.Load()
	inFlight := own + e.countOthers(s.nowNano)
	utilization := float64(inFlight) / float64(e.slots)
	if inFlight < e.slots {
		e.slotFreeAt.Store(s.nowNano)
	}
	status, usable, counts := healthy, true, true
	if e.isRestricted(s.nowNano, own) {
		r := e.restriction(s.now, own)
		status, usable, counts = r.status, s.isUsable(r), !r.absent && !r.limited
	}
	tried := len(s.request.Tried) > 0 && s.tried(e)
	if counts {
		s.load.inFlight += inFlight
		s.load.slots += e.slots
	}
	if tried {
		usable = false
	} else {
		s.byHealth[status]++
	}
	rank := uint64(0)
	objectKnown := s.request.AffinityKey != 0
	if objectKnown {
		rank = rendezvousRank(s.request.AffinityKey, e.hash)
		if rank > s.preferred.lowest || s.preferred.n < s.preferred.size {
			s.preferred.add(candidate{e, rank, utilization, usable, status == degraded})
		}
	}
	switch {
	case !usable:
	case status == degraded:
		s.degradedOptions.add(e, rank, utilization, objectKnown)
	default:
		s.add(e, rank, utilization, objectKnown)
	}
}

// isUsable reports whether an endpoint may take the request, apart from its load, from
// being degraded and from earlier attempts.
func (s *selection) isUsable(r restriction) bool {
	if r.status == unavailable {
		return false
	}
	if r.cold && (!s.request.Local || !r.permitted) {
		s.coldWaiting++
		return false
	}
	if !r.permitted {
		s.limitWaiting++
	}
	return r.permitted
}

func (s *selection) tried(e *Endpoint) bool {
	for _, tried := range s.request.Tried {
		if tried == e {
			return true
		}
	}
	return false
}

// spillDisabled reports whether the request may only go to its preferred endpoints.
func (s *selection) spillDisabled() bool {
	limit := MaxRegionUtilizationForSpill
	if s.request.FirstRunLikely {
		limit = maxRegionUtilizationForFirstRuns
	}
	return s.load.utilization() >= limit
}

// best returns the chosen endpoint, or nil.
func (s *selection) best() *Endpoint {
	if s.request.AffinityKey == 0 {
		if s.leastLoaded.endpoint != nil && s.leastLoaded.utilization < math.Max(s.limitAt(&s.leastLoaded), 1) {
			return s.leastLoaded.endpoint
		}
		return nil
	}
	if preferred := s.bestPreferred(); s.takes(&preferred) {
		return preferred.endpoint
	}
	if s.spillDisabled() {
		return nil
	}
	return s.spill.endpoint
}

// bestPreferred returns the preferred endpoint for the request, which is one that takes it
// if any does. If no preferred endpoint is usable, the usable one with the highest rank
// takes their place.
func (s *selection) bestPreferred() candidate {
	var taking [MaxPreferred]candidate
	n := 0
	fallback := s.first
	anyUsable := false
	for i := range s.preferred.top[:s.preferred.n] {
		c := &s.preferred.top[i]
		if !c.usable || (c.degraded && !s.degradedAllowed()) {
			continue
		}
		if !anyUsable || c.utilization < fallback.utilization {
			fallback = *c
		}
		anyUsable = true
		if s.takes(c) {
			taking[n] = *c
			n++
		}
	}
	switch n {
	case 0:
		return fallback
	case 1:
		return taking[0]
	}
	if taking[0].utilization < busyUtilization {
		return taking[0]
	}
	return s.chooseOfTwo(taking[:n])
}

// noRoom returns the error of a request for which there is no endpoint among the registered
// ones.
func (s *selection) noRoom(registered int) *NoRoomError {
	e := &NoRoomError{Upstream: s.request.Upstream, Region: s.request.Region, Registered: registered,
		Usable: s.usable, ColdWaiting: s.coldWaiting, LimitWaiting: s.limitWaiting, MaxUtilization: s.request.MaxUtilization}
	if s.request.AffinityKey != 0 {
		preferred := s.bestPreferred()
		e.PreferredUtilization = preferred.utilization
		if preferred.endpoint != nil {
			e.MaxUtilization = s.limitAt(&preferred)
			e.TooLate = preferred.utilization < e.MaxUtilization
		}
	}
	return e
}

// utilizationScale is the difference of utilization from which the less loaded of two
// endpoints takes all requests. Below it, it takes more of them than the other one, so that
// instances that have the same information do not all choose the same endpoint.
const utilizationScale = 0.5

// busyUtilization is the utilization of the preferred endpoint with the highest rank from
// which requests go to the others too. Below it a second endpoint would only cost a first
// run for each object.
const busyUtilization = 0.5

// chooseOfTwo returns the better of two random ones of the candidates.
func (s *selection) chooseOfTwo(candidates []candidate) candidate {
	n := len(candidates)
	first := int(s.request.Random * float64(n))
	random := s.request.Random*float64(n) - float64(first)
	a, b := &candidates[first], &candidates[(first+1)%n]
	if random < (1+s.advantage(a, b))/2 {
		return *a
	}
	return *b
}

// takes reports whether a preferred endpoint takes the request.
func (s *selection) takes(c *candidate) bool {
	return c.endpoint != nil && c.utilization < s.limitAt(c) && (s.request.Preferred <= 1 || !s.tooLate(c))
}

// limitAt returns the utilization below which a candidate takes the request: the lower limit
// of a lasting queue if the endpoint has had no free slot for long, see Limits.
func (s *selection) limitAt(c *candidate) float64 {
	after := s.request.SustainedAfter
	if after > 0 && s.nowNano-c.endpoint.slotFreeAt.Load() > int64(after) {
		return s.request.SustainedUtilization
	}
	return s.request.MaxUtilization
}
