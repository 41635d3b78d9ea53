package model

import (
	"math"
	"time"

	"lovagescale/internal/placement"
)

// limits returns the utilizations up to which an endpoint takes the request.
func (s *simulation) limits(i *instance, q *request) placement.Limits {
	if s.policy.UnlimitedWait {
		return placement.Limits{Usual: math.Inf(1)}
	}
	if s.policy.WithinObjectiveOnly {
		return placement.Limits{Usual: utilizationWithinObjective(s.deployment.LatencyObjective.Seconds(), i.meanResponseTime, i.meanServiceTime)}
	}
	serviceTime := time.Duration(i.meanServiceTime * float64(time.Second))
	runs, known := i.runTimes.Expect(placement.Serving{Upstream: upstreamName, Region: regionName(i.region)}, routeName)
	if !known {
		runs = placement.Expectation{Warm: serviceTime, Mean: serviceTime}
	}
	return placement.LimitsFor(placement.RequestProfile{Objective: s.deployment.LatencyObjective, Timeout: s.deployment.Deadline,
		TimeLeft: q.arrivedAt + s.deployment.Deadline - s.now, Run: runs.Warm, MeanRun: runs.Mean})
}

// utilizationWithinObjective is a rule that refuses every request that is not expected to end
// within 0.85 of its objective, with the response time that includes the wait of others. It
// accepts 0.05 to 1.2 service times of queue, and three quarters of them for requests of
// medium urgency.
func utilizationWithinObjective(objective, responseTime, serviceTime float64) float64 {
	wait := 0.75 * (0.85*objective - responseTime) / math.Max(serviceTime, 1e-3)
	return 1 + math.Min(math.Max(wait, 0.05), 1.2)
}
