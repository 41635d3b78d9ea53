package edge

import (
	"slices"
	"sync"
	"time"

	"lovagescale/internal/fleet"
	"lovagescale/internal/namedlimit"
	"lovagescale/internal/placement"
	"lovagescale/internal/upstream"
)

// applyLimit applies the limit that an endpoint names in its answer, or that it names none,
// to the request with the given stamp. Only an answer of its normal work shows that the limit
// has ended.
func (e *Edge) applyLimit(now time.Time, sent namedlimit.Stamp, q *request, endpoint *placement.Endpoint, answer *upstream.Answer, result placement.Result) {
	perSecond, named, err := e.ports.Upstreams.Limit(answer.Header)
	if err != nil {
		e.log.Warn().Err(err).Str("request", q.caller.ID).Str("endpoint", endpoint.ID).Msg("endpoint's statement cannot be used")
		return
	}
	if !named && result != placement.Answered {
		return
	}
	if change := endpoint.HearLimit(now, sent, perSecond, named); change != namedlimit.Unchanged {
		logLimitChange(e.log.Info().Str("request", q.caller.ID), endpoint.ID, perSecond, change)
	}
}

// applyLimitNews applies what other instances know of the limits of endpoints.
func (s *state) applyLimitNews(now time.Time, reported []fleet.EndpointLimitNews) {
	for _, news := range reported {
		change := s.registry.ApplyLimitNews(now, news.Endpoint, news.StartMillis, news.News())
		if change != namedlimit.Unchanged {
			logLimitChange(s.edge.log.Info().Bool("reported", true), news.Endpoint, float64(news.PerSecond), change)
		}
	}
}

// divideEndpointLimits divides the limits that endpoints name among the instances. A few
// instances share a limit and the others send the endpoint nothing, so that the requests
// that all instances have saved up stay within the limit. All instances work this out
// alike from what they know of each other.
func (s *state) divideEndpointLimits(now time.Time) {
	self := s.fleet.Self()
	var sharing *fleet.LimitSharing
	table := s.edge.table.Load()
	s.limitLog.forget(func(id string) bool { return table.Endpoint(id) == nil })
	for id, endpoint := range table.Endpoints() {
		rate, inForce := endpoint.Limit(now)
		if !inForce {
			s.limitLog.recordEnd(s.edge.log, id)
			continue
		}
		if sharing == nil {
			sharing = s.fleet.LimitSharing(now)
		}
		senders, shares := sharing.Senders(endpoint.Region, id, namedlimit.Senders(rate))
		var interval time.Duration
		if slices.Contains(senders, self) {
			interval = namedlimit.Interval(rate, shares)
		}
		endpoint.SetLimitInterval(now, interval)
		endpoint.ProbeLimit(now, tickInterval, s.fleet.Size(), s.random())
		s.limitLog.record(s.edge.log, id, newLimitShare(sharing, endpoint.Region, rate, senders, shares, interval > 0))
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

// addLimits adds what other instances must learn from this one of the limits of endpoints. The
// delegates of a region pass on all limits that stand, so that instances that start learn of
// them.
func (s *state) addLimits(now time.Time, activity *fleet.Activity, endpoints map[string]*placement.Endpoint) {
	isDelegate := sync.OnceValue(func() bool { return s.fleet.IsDelegate(now) })
	for id, endpoint := range endpoints {
		if news, isNew := endpoint.LimitNews(now); isNew || (news.Stands() && isDelegate()) {
			activity.AddLimit(id, endpoint.StartMillis, news)
		}
	}
}
