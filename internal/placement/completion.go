package placement

import (
	"math"
	"time"

	"lovagescale/internal/monotonic"
)

const (
	// waitWeight is the weight of the requests ahead in the comparison of two endpoints. A
	// request waits only if all slots are taken, but the known number is old, so that each
	// request ahead makes it more likely that they are.
	waitWeight = 1.5
	// completionScale is the difference of expected completion, as a multiple of the mean
	// run, from which the earlier of two endpoints takes all requests, see
	// utilizationScale. A smaller one reacts more to speeds, a larger one less to old
	// reports.
	completionScale = 0.8
)

// expectedWait returns the time in seconds for which a request waits behind the given
// number of requests. A slot becomes free whenever a run of a mean length has passed in all
// slots together.
func expectedWait(ahead, slots int64, mean time.Duration) float64 {
	return math.Max(float64(ahead-slots+1), 0) / float64(slots) * mean.Seconds()
}

// ExpectedCompletion returns the time after which the request that was counted last is
// expected to end at the endpoint, if the endpoint has run a request for its object
// recently.
func (e *Endpoint) ExpectedCompletion(now time.Time, expected Expectation) time.Duration {
	ahead := max(e.inFlight.Load()+e.countOthers(monotonic.Nanos(now))-1, 0)
	return toDuration((expectedWait(ahead, e.slots, expected.Mean) + expected.Warm.Seconds()) * e.SpeedFactor(now))
}

// tooLate reports whether the request would wait at a candidate and is expected to end after
// its deadline. Where a slot is free it is not refused, since without any run it would
// never be learned that the runs have become shorter.
func (s *selection) tooLate(c *candidate) bool {
	if s.request.TimeLeft <= 0 || c.utilization < 1 {
		return false
	}
	slots := c.endpoint.slots
	wait := expectedWait(int64(math.Round(c.utilization*float64(slots))), slots, s.request.Expected.Mean)
	completion := (wait + s.request.Expected.Warm.Seconds()) * c.endpoint.speed.factor(s.nowNano/1e6)
	return completion > s.request.TimeLeft.Seconds()
}

// relativeCompletion returns the time in seconds by which two preferred endpoints are
// compared. Both have run the object recently, and the way to both is equally long, because
// they are in the same region.
func (s *selection) relativeCompletion(c *candidate) float64 {
	wait := waitWeight * c.utilization * s.request.Expected.Mean.Seconds()
	return (wait + s.request.Expected.Warm.Seconds()) * c.endpoint.speed.factor(s.nowNano/1e6)
}

// advantage returns by how much a candidate is to be preferred to another one: from 1 on it
// takes all requests, from -1 on none. Before the first run the utilizations are compared.
func (s *selection) advantage(c, other *candidate) float64 {
	if s.request.Expected.Mean <= 0 {
		return (other.utilization - c.utilization) / utilizationScale
	}
	scale := completionScale * s.request.Expected.Mean.Seconds()
	return (s.relativeCompletion(other) - s.relativeCompletion(c)) / scale
}
