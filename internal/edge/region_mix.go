package edge

import (
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"lovagescale/internal/placement"
	"lovagescale/internal/refusal"
	"lovagescale/internal/regionmix"
	"lovagescale/internal/upstream"
)

// recordRegionMix counts a request that has ended in the region that was chosen for it.
func (e *Edge) recordRegionMix(q *request, attempts []attempt, answer *upstream.Answer, refused *refusal.Refusal) {
	if q.region == "" {
		return
	}
	result := regionmix.Result{Outcome: regionOutcome(q, attempts, answer, refused)}
	for _, a := range attempts {
		result.Queued = a.queued
		result.AtEndpoints += a.took
	}
	e.regionMix.Record(regionmix.Flow{Upstream: q.upstream, Region: q.region, Pinned: q.pinned}, result)
}

// regionOutcome returns what became of a request in its region.
func regionOutcome(q *request, attempts []attempt, answer *upstream.Answer, refused *refusal.Refusal) regionmix.Outcome {
	switch {
	case refused == nil && answer.Status < http.StatusInternalServerError:
		return regionmix.Answered
	case refused != nil && refused.Kind == refusal.DeadlineExceeded:
		return regionmix.Expired
	case anyMayHaveRun(attempts):
		return regionmix.Failed
	}
	var noRoom *placement.NoRoomError
	switch {
	case !errors.As(q.cause, &noRoom):
		return regionmix.NotAdmitted
	case noRoom.Usable == 0:
		return regionmix.NoPermit
	}
	return regionmix.NoRoom
}

// upstreamPlan is what this instance believes of an upstream as of the last tick. All figures
// are in slots, by region.
type upstreamPlan struct {
	demand, pinned, capacity, available, utilization, plan map[string]float64
	serviceTime                                            time.Duration
}

// regionMixLog logs the region mix of each window.
type regionMixLog struct {
	endsAt time.Time
	plans  map[string]upstreamPlan
}

func (l *regionMixLog) setPlan(upstream string, plan upstreamPlan) {
	if l.plans == nil {
		l.plans = make(map[string]upstreamPlan)
	}
	l.plans[upstream] = plan
}

// logRegionMix logs, at the end of each window, a line for each flow of requests and one for
// each upstream that had requests.
func (s *state) logRegionMix(now time.Time) {
	l := &s.regionMixLog
	if now.Before(l.endsAt) {
		return
	}
	l.endsAt = now.Add(ShiftWindow)
	counts, leftOut := s.edge.regionMix.EndWindow()
	shares := s.edge.balancer.Shares()
	logged := ""
	for _, c := range counts {
		s.logFlow(c)
		if c.Flow.Upstream != logged {
			logged = c.Flow.Upstream
			logPlan(s.edge.log.Info().Str("upstream", logged), l.plans[logged], shares[logged])
		}
	}
	if leftOut > 0 {
		s.edge.log.Warn().Int("requests", leftOut).Msg("requests are missing in the region mix of this window")
	}
	clear(l.plans)
}

func (s *state) logFlow(c regionmix.Counts) {
	event := s.edge.log.Info().Str("upstream", c.Flow.Upstream).Str("region", c.Flow.Region).Bool("pinned", c.Flow.Pinned).
		Int("meant", c.Meant()).Int("ran", c.Ran())
	for outcome, n := range c.Outcomes {
		if n > 0 {
			event = event.Int(regionmix.Outcome(outcome).String(), n)
		}
	}
	event.Int("queued", c.Queued).Int("queued_expired", c.QueuedExpired).Dur("at_endpoints", c.AtEndpoints).Msg("region mix")
}

func logPlan(event *zerolog.Event, p upstreamPlan, shares map[string]float64) {
	regions := zerolog.Dict()
	for region, slots := range p.capacity {
		regions = regions.Dict(region, zerolog.Dict().Float64("capacity", slots).Float64("available", p.available[region]).
			Float64("utilization", p.utilization[region]).Float64("demand", p.demand[region]).Float64("pinned", p.pinned[region]).
			Float64("plan", p.plan[region]).Float64("share", shares[region]))
	}
	event.Dur("service_time", p.serviceTime).Dict("regions", regions).Msg("region plan")
}
