package placement

import (
	"math"
	"time"
)

// Parameters of LimitsFor. Queues are in mean runs per slot, which is the time for which
// the last request in the queue waits, divided by the mean run.
const (
	// acceptedQueue is the queue that a request may join even if it is then expected to end
	// after its objective. A caller that is refused instead comes back after up to a third
	// of its time: it is late for certain and may be refused again.
	acceptedQueue = 1.5
	// maxQueue bounds the queue however long the objective is. Endpoints refuse requests
	// beyond a few runs for each slot.
	maxQueue = 3
	// minQueue is the queue that remains if hardly any time is left: the known number of
	// requests in flight is old and often too high.
	minQueue = 0.05
	// maxTimeFraction is the part of the time left to the caller within which the request is
	// expected to end. The rest is for first runs and runs of a heavy tail ahead of it.
	maxTimeFraction = 0.5
	// maxSlotTimeFraction is the part of the time left to the caller within which a request
	// with a SlotTime is expected to end. It is larger than maxTimeFraction because SlotTime
	// includes first runs.
	maxSlotTimeFraction = 0.9
	// returnFraction is the part of its timeout after which a refused caller comes back at
	// the latest.
	returnFraction = 1.0 / 3
)

// RequestProfile holds the time that a request has and the times that are expected for it.
// The times of runs do not include waiting.
type RequestProfile struct {
	// Objective is the time within which an answer has its full value, 0 if there is none.
	Objective time.Duration
	// Timeout is how long the caller waits in all, TimeLeft the time until its deadline.
	Timeout, TimeLeft time.Duration
	// Run is the usual run of the request, MeanRun the mean over all runs of its kind, which
	// are those that it waits for.
	Run, MeanRun time.Duration
	// SlotTime is the time for which such requests usually occupy a slot, first runs and
	// those that end at their deadline included, or 0 if Run says enough of it.
	SlotTime time.Duration
}

// Limits are the utilizations up to which an endpoint takes a request. Utilization is the
// number of in-flight requests divided by the number of slots; above 1 requests queue.
type Limits struct {
	// Usual counts while the queue at the endpoint is a passing one, Sustained once the
	// endpoint has had no free slot for longer than SustainedAfter.
	Usual, Sustained float64
	SustainedAfter   time.Duration
}

// LimitsFor returns the limits of a request.
//
// The caller's choice is not between an answer within the objective and none, but between an
// answer now, perhaps late, and a refusal, after which the answer is late for certain. The
// request therefore joins a queue that lets it end within its objective, or one of up to
// acceptedQueue, but only if it is expected to end well within the time that the caller has
// left.
//
// While more is asked for than an endpoint can run, its queue is always as long as it may
// become, and all its answers are late if that is too long for the objective. A queue that
// lasts longer than refused callers stay away is such a queue. Then only requests that are
// expected to end within their objective join it, and it is no longer than acceptedQueue.
//
// The times of runs must be the same for the callers of all regions. With the way to the
// endpoint in them, callers near the endpoints would fill queues that those of other regions
// do not accept, so that the latter were refused first.
func LimitsFor(profile RequestProfile) Limits {
	run, mean := profile.Run.Seconds(), math.Max(profile.MeanRun.Seconds(), 1e-3)
	withinObjective := (profile.Objective.Seconds() - run) / mean
	withinTime := (maxTimeFraction*profile.TimeLeft.Seconds() - run) / mean
	if profile.SlotTime > 0 {
		withinTime = math.Min(withinTime, (maxSlotTimeFraction*profile.TimeLeft.Seconds()-profile.SlotTime.Seconds())/mean)
	}
	return Limits{
		Usual:          queueUtilization(math.Min(math.Max(withinObjective, acceptedQueue), withinTime)),
		Sustained:      queueUtilization(math.Min(math.Min(withinObjective, acceptedQueue), withinTime)),
		SustainedAfter: time.Duration(returnFraction * float64(profile.Timeout)),
	}
}

// queueUtilization returns the utilization at which the queue has the given length, within
// the bounds of queues.
func queueUtilization(queue float64) float64 {
	return 1 + math.Min(math.Max(queue, minQueue), maxQueue)
}
