package placement

import "time"

// MaxUtilizationForSecond is the utilization below which an endpoint takes the second attempt
// of a request that still runs elsewhere: such an endpoint has a free slot even if the known
// load is somewhat old. An attempt that waits in a queue rarely ends before the first one.
const MaxUtilizationForSecond = 0.6

// ChooseSecond returns an endpoint for a second attempt of a request that still runs at the
// tried ones, and counts the attempt on it, or returns nil. It does so only while slots are
// plentiful in the region. An object with several preferred endpoints runs at another one of
// them, which has probably run it recently. The caller must call End for the endpoint.
func (t *Table) ChooseSecond(now time.Time, request Request) *Endpoint {
	var s selection
	s.compare(now, request, t.upstreams[request.Upstream][request.Region])
	if s.spillDisabled() {
		return nil
	}
	e := s.second()
	if e == nil || !e.takePermit(now) {
		return nil
	}
	e.beginRequest(now)
	return e
}

// second returns the endpoint for a second attempt, or nil.
func (s *selection) second() *Endpoint {
	best := s.leastLoaded
	switch {
	case s.request.AffinityKey == 0:
	case s.request.Preferred > 1:
		best = s.secondPreferred()
	default:
		best = s.spill
	}
	if best.endpoint == nil || !s.hasFreeSlot(&best) {
		return nil
	}
	return best.endpoint
}

// secondPreferred returns the preferred endpoint with a free slot at which the request is
// expected to end first.
func (s *selection) secondPreferred() candidate {
	var best candidate
	for i := range s.preferred.top[:s.preferred.n] {
		c := &s.preferred.top[i]
		if !c.usable || (c.degraded && !s.degradedAllowed()) || !s.hasFreeSlot(c) {
			continue
		}
		if best.endpoint == nil || s.advantage(c, &best) > 0 {
			best = *c
		}
	}
	return best
}

func (s *selection) hasFreeSlot(c *candidate) bool {
	return c.utilization < MaxUtilizationForSecond && c.utilization < s.request.MaxUtilization
}
