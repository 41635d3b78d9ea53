package edge

import (
	"math/rand/v2"
	"time"

	"lovagescale/internal/fleet"
	"lovagescale/internal/placement"
	"lovagescale/internal/upstream"
)

// choice returns the request for an endpoint that was not attempted yet.
func (e *Edge) choice(q *request, attempts []attempt) placement.Request {
	want := placement.Request{
		Upstream: q.upstream, Region: q.region, Local: q.region == e.settings.Region,
		AffinityKey: q.affinityKey, MaxUtilization: e.maxUtilization(q),
	}
	for _, a := range attempts {
		want.Tried = append(want.Tried, a.endpoint)
	}
	if q.affinityKey != 0 {
		serving := placement.Serving{Upstream: q.upstream, Region: q.region}
		if len(attempts) == 0 {
			e.objects.Record(serving, q.affinityKey)
		}
		want.Preferred, want.Random = e.objects.Preferred(serving), rand.Float64()
	}
	return want
}

// updatePreferred decides anew how many preferred endpoints objects have.
func (s *state) updatePreferred(now time.Time) {
	objects := s.edge.objects
	objects.Tick(now)
	own := objects.Estimates()
	s.edge.table.Load().Regions(func(serving placement.Serving, endpoints int) {
		estimate := max(own[serving], float64(s.peerActivity.Objects[[2]string{serving.Upstream, serving.Region}]))
		if change := objects.Update(now, serving, estimate, endpoints); change != nil {
			s.edge.log.Info().Str("upstream", serving.Upstream).Str("region", serving.Region).
				Float64("objects", change.Objects).Int("endpoints", endpoints).
				Int("from", change.From).Int("to", change.To).Msg("number of preferred endpoints of objects changed")
		}
	})
}

// objectEstimates returns the estimated numbers of objects to report to other instances.
func (s *state) objectEstimates() []fleet.UpstreamObjects {
	var reported []fleet.UpstreamObjects
	for serving, objects := range s.edge.objects.Estimates() {
		reported = append(reported, fleet.UpstreamObjects{Upstream: serving.Upstream, Region: serving.Region, Objects: float32(objects)})
	}
	return reported
}

// applyReportedLoad applies the load that an endpoint reports in its answer.
func (e *Edge) applyReportedLoad(now time.Time, endpoint *placement.Endpoint, answer *upstream.Answer) {
	load, reported, err := e.ports.Callers.ParseReportedLoad(answer.Header)
	if err != nil {
		e.counters.implausibleLoads.Inc(1)
		if endpoint.LogFault(now) {
			e.log.Warn().Err(err).Str("endpoint", endpoint.ID).Msg("endpoint's reported load is used in part or not at all")
		}
	}
	if reported {
		endpoint.SetReportedLoad(now, load)
	}
}
