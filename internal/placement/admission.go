package placement

import (
	"math"
	"time"
)

// Parameters of MaxUtilization.
const (
	// objectiveFraction is the fraction of the objective within which an admitted request
	// should be answered.
	objectiveFraction = 0.85
	// minQueueWait and maxQueueWait bound the accepted queueing time, in service times.
	minQueueWait = 0.05
	maxQueueWait = 1.2
	// minUrgencyFactor is the fraction of the accepted queueing time that is left to the
	// least urgent requests.
	minUrgencyFactor = 0.5
)

// RequestProfile holds the latency objective of a request and the times that are expected
// for it.
type RequestProfile struct {
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	// ResponseTime is the recent response time of such requests.
	ResponseTime time.Duration
	// ServiceTime is the time that an endpoint takes to process a request.
	ServiceTime time.Duration
	// Urgency is between 0 for the least urgent requests and 1 for the most urgent ones.
	Urgency float64
}

// MaxUtilization returns the utilization up to which an endpoint may take the request.
// Utilization is the number of in-flight requests divided by the number of slots; above 1
// requests queue. A request that queues should still be answered within its objective,
// and less urgent requests leave room for more urgent ones.
func MaxUtilization(profile RequestProfile) float64 {
	remaining := objectiveFraction*profile.Objective.Seconds() - profile.ResponseTime.Seconds()
	wait := remaining / math.Max(profile.ServiceTime.Seconds(), 1e-3)
	wait *= minUrgencyFactor + (1-minUrgencyFactor)*profile.Urgency
	return 1 + math.Min(math.Max(wait, minQueueWait), maxQueueWait)
}
