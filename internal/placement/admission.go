package placement

import (
	"math"
	"time"
)

// Constants of admission.
const (
	// objectivePart is the part of the objective by which an admitted request
	// should be answered.
	objectivePart = 0.85
	// minWait and maxWait bound the wait that is accepted, in service times.
	minWait = 0.05
	maxWait = 1.2
	// patience is the part of the accepted wait that the least urgent requests keep.
	patience = 0.5
)

// Expectation is what is expected of a request.
type Expectation struct {
	// Objective is the time within which an answer earns its full worth.
	Objective time.Duration
	// Took is what answers to such requests took lately.
	Took time.Duration
	// Service is what a request takes at an endpoint.
	Service time.Duration
	// Urgency is 1 for the most urgent requests and 0 for the least.
	Urgency float64
}

// MaxFill returns the load, as a multiple of its slots, up to which an endpoint may
// take the request: a request that waits should still be answered within its
// objective, and less urgent ones leave room to the others.
func MaxFill(x Expectation) float64 {
	left := objectivePart*x.Objective.Seconds() - x.Took.Seconds()
	wait := left / math.Max(x.Service.Seconds(), 1e-3)
	wait *= patience + (1-patience)*x.Urgency
	return 1 + math.Min(math.Max(wait, minWait), maxWait)
}
