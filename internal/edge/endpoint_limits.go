package edge

import (
	"slices"
	"time"

	"lovagescale/internal/fleet"
	"lovagescale/internal/placement"
	"lovagescale/internal/upstream"
)

// applyLimit applies the limit that an endpoint names in its answer, or that it names
// none. Only an answer of its normal work shows that the limit has ended.
func (e *Edge) applyLimit(now, sentAt time.Time, q *request, endpoint *placement.Endpoint, answer *upstream.Answer, result placement.Result) {
	perSecond, named, err := e.ports.Upstreams.Limit(answer.Header)
	if err != nil {
		e.log.Warn().Err(err).Str("request", q.caller.ID).Str("endpoint", endpoint.ID).Msg("endpoint's statement cannot be used")
		return
	}
	if !named && result != placement.Answered {
		return
	}
	if !endpoint.SetNamedLimit(now, sentAt, perSecond, named) {
		return
	}
	event := e.log.Info().Str("request", q.caller.ID).Str("endpoint", endpoint.ID)
	if named {
		event.Float64("limit_per_second", perSecond).Msg("endpoint names a limit")
	} else {
		event.Msg("endpoint names no limit any more")
	}
}

// divideEndpointLimits divides the limits that endpoints name among the instances. A few
// instances share a limit and the others send the endpoint nothing, so that the requests
// that all instances have saved up stay within the limit. All instances work this out
// alike from what they know of each other.
func (s *state) divideEndpointLimits(now time.Time) {
	self := s.fleet.Self()
	var sharing *fleet.LimitSharing
	for id, endpoint := range s.edge.table.Load().Endpoints() {
		perSecond, named := endpoint.Limit(now)
		if !named {
			s.limitLog.recordEnd(s.edge.log, id)
			continue
		}
		if sharing == nil {
			sharing = s.fleet.LimitSharing(now)
		}
		senders, shares := sharing.Senders(endpoint.Region, id, placement.LimitSenders(perSecond))
		interval := time.Duration(0)
		if slices.Contains(senders, self) {
			interval = placement.LimitInterval(perSecond, shares)
		}
		endpoint.SetLimitInterval(now, interval)
		s.limitLog.record(s.edge.log, id, newLimitShare(sharing, endpoint.Region, perSecond, senders, shares, interval > 0))
	}
}

// coldPolicy returns how this instance treats a cold endpoint of an upstream in a zone. A
// few instances of the endpoint's region share the upstream's ColdRate and the others send
// the endpoint nothing.
func (s *state) coldPolicy(id, upstreamName, zone string) placement.ColdPolicy {
	c := s.edge.catalog.Load()
	if c == nil || c.Upstreams[upstreamName].ColdRate <= 0 {
		return placement.ColdPolicy{Interval: time.Second}
	}
	settings := c.Upstreams[upstreamName]
	policy := placement.ColdPolicy{Duration: settings.ColdDuration}
	senders := s.fleet.ColdSenders(s.edge.settings.Zones[zone], id, placement.ColdSenders(settings.ColdRate))
	if slices.Contains(senders, s.fleet.Self()) {
		policy.Interval = time.Duration(float64(len(senders)) / settings.ColdRate * float64(time.Second))
	}
	return policy
}

// endpointLimits returns the limits that other instances must learn from this one.
func endpointLimits(now time.Time, endpoints map[string]*placement.Endpoint) []fleet.EndpointLimit {
	var limits []fleet.EndpointLimit
	for id, endpoint := range endpoints {
		if perSecond, ok := endpoint.LimitToReport(now); ok {
			limits = append(limits, fleet.EndpointLimit{Endpoint: id, StartMillis: endpoint.StartMillis, PerSecond: float32(perSecond)})
		}
	}
	return limits
}
