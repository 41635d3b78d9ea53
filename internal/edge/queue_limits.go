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
		SlotTime:  e.pinnedSlotTime(q),
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

// pinnedSlotTime returns how long requests that must run in the request's region usually occupy
// a slot there, or 0 if the request may run anywhere.
func (e *Edge) pinnedSlotTime(q *request) time.Duration {
	if !q.pinned {
		return 0
	}
	return e.stats.PinnedSlotTime(q.upstream, q.region)
}

// minFirstRunSlotTime is the slot time, relative to the upstream's service time, from which
// requests mostly are the first ones for their object.
const minFirstRunSlotTime = 1.5

// firstRunLikely reports whether requests like this one mostly are the first ones for their
// object, wherever they run.
func (e *Edge) firstRunLikely(q *request) bool {
	return e.pinnedSlotTime(q).Seconds() > minFirstRunSlotTime*e.stats.ServiceTime(q.upstream).Seconds()
}
