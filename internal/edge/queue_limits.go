package edge

import (
	"time"

	"lovagescale/internal/placement"
)

// utilizationLimits returns the utilizations up to which an endpoint of the request's region
// may take the request.
func (e *Edge) utilizationLimits(now time.Time, q *request) placement.Limits {
	runs := e.usualRuns(q)
	limits := placement.LimitsFor(placement.RequestProfile{
		Objective: q.route.Objective,
		Timeout:   timeoutOf(q),
		TimeLeft:  q.deadline.Sub(now),
		Run:       runs.Warm,
		MeanRun:   runs.Mean,
	})
	limits.Usual = e.limitForReturns(now, q, q.limitByShare(limits.Usual))
	limits.Sustained = e.limitForReturns(now, q, q.limitByShare(limits.Sustained))
	return limits
}

// usualRuns returns the times of runs in this instance's own region, which do not include the
// way to another region. Before the first run there, all runs count as equally long.
func (e *Edge) usualRuns(q *request) placement.Expectation {
	runs, known := e.runTimes.Expect(placement.Serving{Upstream: q.upstream, Region: e.settings.Region}, q.route.Name)
	if !known {
		serviceTime := e.stats.ServiceTime(q.upstream)
		return placement.Expectation{Warm: serviceTime, First: serviceTime, Mean: serviceTime}
	}
	return runs
}
