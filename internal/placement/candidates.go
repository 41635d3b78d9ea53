package placement

import (
	"math"
	"time"
)

// snapshot is the state of an endpoint at the time of a choice.
type snapshot struct {
	endpoint *Endpoint
	status   healthStatus
	// absent is set if the slots are out of use, limited if the endpoint names a limit,
	// cold if it is cold. permitted is set if its limits allow a request now.
	absent, limited, cold, permitted bool
	inFlight                         int
}

// snapshot returns the state of the endpoint. A choice compares all endpoints of a region,
// so the lock is taken once for each.
func (e *Endpoint) snapshot(now time.Time) snapshot {
	own := e.inFlight.Load()
	s := snapshot{endpoint: e, inFlight: int(own + e.countOthers(now))}
	e.mu.Lock()
	s.absent = e.absent(now)
	s.limited, s.cold = e.limit.isActive(now), e.coldLimiter.isActive(now)
	s.permitted = (!s.limited && !s.cold) || e.permitted(now)
	if !s.absent {
		s.status = e.health.status(now, int(own))
	}
	e.mu.Unlock()
	return s
}

func (s *snapshot) utilization() float64 { return float64(s.inFlight) / float64(s.endpoint.Slots) }

// regionLoad is the load of the endpoints of a region whose slots are in use and which name
// no limit.
type regionLoad struct{ inFlight, slots int }

func (l *regionLoad) add(s snapshot) {
	if !s.absent && !s.limited {
		l.inFlight += s.inFlight
		l.slots += s.endpoint.Slots
	}
}

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
}

func (r *ranking) offer(c candidate) {
	if r.n == r.size && c.rank <= r.top[r.n-1].rank {
		return
	}
	if r.n < r.size {
		r.n++
	}
	i := r.n - 1
	for ; i > 0 && c.rank > r.top[i-1].rank; i-- {
		r.top[i] = r.top[i-1]
	}
	r.top[i] = c
}

// options are the best endpoints among those of one health.
type options struct {
	// first has the highest rank for the affinity key, spill the highest one below
	// MaxEndpointUtilizationForSpill, leastLoaded the lowest utilization.
	first, spill, leastLoaded candidate
	usable                    int
}

func (o *options) offer(c candidate, objectKnown bool) {
	o.usable++
	if o.leastLoaded.endpoint == nil || c.utilization < o.leastLoaded.utilization {
		o.leastLoaded = c
	}
	if !objectKnown {
		return
	}
	offerRank(&o.first, c)
	if c.utilization < MaxEndpointUtilizationForSpill {
		offerRank(&o.spill, c)
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
	request *Request
	// options are the best endpoints among the healthy ones, and among the degraded ones
	// too if those are treated alike.
	options
	degradedOptions options
	// preferred are the preferred endpoints of the object, usable or not.
	preferred ranking
	load      regionLoad
	// degraded and healthy count the endpoints by health, coldWaiting the cold ones
	// without a permit, limitWaiting those whose limit allows no request now.
	degraded, healthy         int
	coldWaiting, limitWaiting int
}

// newSelection compares the endpoints for a request.
func newSelection(now time.Time, request *Request, endpoints []*Endpoint) selection {
	s := selection{now: now, request: request}
	s.preferred.size = min(max(request.Preferred, 1), MaxPreferred)
	for _, e := range endpoints {
		s.consider(e)
	}
	if s.degradedAllowed() {
		s.merge(&s.degradedOptions)
	}
	return s
}

// degradedAllowed reports whether degraded endpoints are treated like healthy ones, because
// more endpoints are degraded than healthy. The cause is then common to all of them, and
// choosing others would only move objects away from the endpoints that have processed them
// before.
func (s *selection) degradedAllowed() bool { return s.degraded > s.healthy }

func (s *selection) consider(e *Endpoint) {
	state := e.snapshot(s.now)
	s.load.add(state)
	switch state.status {
	case degraded:
		s.degraded++
	case healthy:
		s.healthy++
	}
	c := candidate{endpoint: e, utilization: state.utilization(), degraded: state.status == degraded}
	c.usable = s.isUsable(&state)
	if s.request.AffinityKey != 0 {
		c.rank = rendezvousRank(s.request.AffinityKey, e.hash)
		s.preferred.offer(c)
	}
	switch {
	case !c.usable:
	case c.degraded:
		s.degradedOptions.offer(c, s.request.AffinityKey != 0)
	default:
		s.offer(c, s.request.AffinityKey != 0)
	}
}

// isUsable reports whether an endpoint may take the request, apart from its load and from
// being degraded.
func (s *selection) isUsable(state *snapshot) bool {
	if state.status == unavailable || s.tried(state.endpoint) {
		return false
	}
	waits := state.cold && (!s.request.Local || !state.permitted)
	switch {
	case state.status == degraded: // counts as waiting only if it would be used
	case waits:
		s.coldWaiting++
	case !state.permitted:
		s.limitWaiting++
	}
	return !waits && state.permitted
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
	return s.load.utilization() >= MaxRegionUtilizationForSpill
}

// best returns the chosen endpoint, or nil.
func (s *selection) best() *Endpoint {
	if s.request.AffinityKey == 0 {
		if s.leastLoaded.endpoint != nil && s.leastLoaded.utilization < math.Max(s.request.MaxUtilization, 1) {
			return s.leastLoaded.endpoint
		}
		return nil
	}
	if preferred := s.bestPreferred(); preferred.endpoint != nil && preferred.utilization < s.request.MaxUtilization {
		return preferred.endpoint
	}
	if s.spillDisabled() {
		return nil
	}
	return s.spill.endpoint
}

// bestPreferred returns the preferred endpoint that takes the request if its utilization
// permits. If no preferred endpoint is usable, the usable one with the highest rank takes
// their place.
func (s *selection) bestPreferred() candidate {
	var usable [MaxPreferred]candidate
	n := 0
	for _, c := range s.preferred.top[:s.preferred.n] {
		if c.usable && (!c.degraded || s.degradedAllowed()) {
			usable[n] = c
			n++
		}
	}
	switch n {
	case 0:
		return s.first
	case 1:
		return usable[0]
	}
	return chooseOfTwo(usable[:n], s.request.Random, s.request.MaxUtilization)
}

// preferredUtilization returns the utilization of the preferred endpoint for the error of a
// request that found no room, or 0 if none is usable.
func (s *selection) preferredUtilization() float64 {
	if s.request.AffinityKey == 0 {
		return 0
	}
	return s.bestPreferred().utilization
}

// utilizationScale is the difference of utilization from which the less loaded of two
// endpoints takes all requests. Below it, it takes more of them, so that instances that
// have the same information do not all choose the same endpoint.
const utilizationScale = 0.5

// chooseOfTwo returns the less loaded of two random ones of the candidates. A candidate that
// cannot take the request is passed over if another one can.
func chooseOfTwo(candidates []candidate, random, maxUtilization float64) candidate {
	n := len(candidates)
	for i := 0; i < n; i++ {
		if candidates[i].utilization >= maxUtilization && n > 1 {
			n--
			candidates[i] = candidates[n]
			i--
		}
	}
	if n == 1 {
		return candidates[0]
	}
	first := int(random * float64(n))
	random = random*float64(n) - float64(first)
	a, b := candidates[first], candidates[(first+1)%n]
	if random < 0.5+(b.utilization-a.utilization)/(2*utilizationScale) {
		return a
	}
	return b
}
