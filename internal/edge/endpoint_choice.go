package edge

import (
	"math/rand/v2"
	"time"

	"lovagescale/internal/fleet"
	"lovagescale/internal/placement"
	"lovagescale/internal/upstream"
)

// choice returns the request for an endpoint that was not attempted yet.
func (e *Edge) choice(now time.Time, q *request, attempts []attempt) placement.Request {
	want := placement.Request{
		Upstream: q.upstream, Region: q.region, Local: q.region == e.settings.Region,
		AffinityKey: q.affinityKey,
	}
	limits := e.utilizationLimits(now, q)
	want.MaxUtilization, want.SustainedUtilization, want.SustainedAfter = limits.Usual, limits.Sustained, limits.SustainedAfter
	for _, a := range attempts {
		want.Tried = append(want.Tried, a.endpoint)
	}
	if q.affinityKey != 0 {
		want.FirstRunLikely = e.firstRunLikely(q)
		serving := placement.Serving{Upstream: q.upstream, Region: q.region}
		if len(attempts) == 0 {
			e.objects.Record(serving, q.affinityKey)
		}
		want.Preferred, want.Random = e.objects.Preferred(serving), rand.Float64()
		want.Expected, _ = e.runTimes.Expect(serving, q.route.Name)
		want.TimeLeft = q.deadline.Sub(now)
	}
	return want
}

// expectedCompletion returns the time after which a request is expected to end at the
// endpoint that was chosen for it, or 0 if it concerns no object or nothing is known.
func (e *Edge) expectedCompletion(now time.Time, q *request, endpoint *placement.Endpoint) time.Duration {
	if q.affinityKey == 0 {
		return 0
	}
	expected, known := e.runTimes.Expect(placement.Serving{Upstream: q.upstream, Region: endpoint.Region}, q.route.Name)
	if !known {
		return 0
	}
	return endpoint.ExpectedCompletion(now, expected)
}

// recordCompletion records how long a request for an object took, and whether that was a
// first run.
func (e *Edge) recordCompletion(q *request, endpoint *placement.Endpoint, expected, took time.Duration, load placement.ReportedLoad) {
	if q.affinityKey == 0 {
		return
	}
	serving := placement.Serving{Upstream: q.upstream, Region: endpoint.Region}
	run := "warm"
	if e.runTimes.Observe(serving, q.route.Name, took, load) {
		run = "first"
	}
	e.counters.countSeries("edge.runs.route", q.route.Name, run)
	if expected > 0 {
		e.counters.completionRatio.Update(int64(100 * took / expected))
	}
}

// updatePreferred decides anew how many preferred endpoints objects have.
func (s *state) updatePreferred(now time.Time) {
	objects := s.edge.objects
	objects.Tick(now)
	own := objects.Estimates()
	s.edge.table.Load().Regions(func(serving placement.Serving, endpoints int, uneven bool) {
		estimate := max(own[serving], float64(s.peerActivity.Objects[[2]string{serving.Upstream, serving.Region}]))
		if change := objects.Update(now, serving, estimate, endpoints, uneven); change != nil {
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

// applyReportedLoad applies the load that an endpoint reports in its answer, and returns it.
func (e *Edge) applyReportedLoad(now time.Time, endpoint *placement.Endpoint, answer *upstream.Answer) placement.ReportedLoad {
	load, reported, err := e.ports.Callers.ParseReportedLoad(answer.Header)
	if err != nil {
		e.counters.implausibleLoads.Inc(1)
		if endpoint.LogFault(now) {
			e.log.Warn().Err(err).Str("endpoint", endpoint.ID).Msg("endpoint's reported load is used in part or not at all")
		}
	}
	if reported {
		return endpoint.SetReportedLoad(now, load)
	}
	return load
}

// endpointSpeeds returns the speeds of endpoints that other instances must learn from this
// one.
func endpointSpeeds(now time.Time, endpoints map[string]*placement.Endpoint) []fleet.EndpointSpeed {
	var speeds []fleet.EndpointSpeed
	for id, endpoint := range endpoints {
		if speed, age, ok := endpoint.SpeedToReport(now); ok {
			speeds = append(speeds, fleet.EndpointSpeed{Endpoint: fleet.KeyOf(id), Percent: uint16(speed), AgeMillis: uint16(age.Milliseconds())})
		}
	}
	return speeds
}

// applySpeeds applies speeds that other instances reported; their ages are as of the given
// time.
func (s *state) applySpeeds(at time.Time, speeds []fleet.EndpointSpeed) {
	table := s.edge.table.Load()
	for _, speed := range speeds {
		if endpoint := table.EndpointByHash(uint32(speed.Endpoint)); endpoint != nil {
			endpoint.SetPeerSpeed(at.Add(-time.Duration(speed.AgeMillis)*time.Millisecond), int(speed.Percent))
		}
	}
}
