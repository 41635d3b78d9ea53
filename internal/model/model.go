// Package model simulates load patterns against placement policies, without a network and
// faster than real time. Endpoints have slots, a queue and a cache of objects; requests for
// a cached object take less time. Instances choose endpoints with the product's own package
// placement, from reports that are up to one interval old. Callers have a latency objective,
// a deadline and one retry.
//
// Times are simulated and random numbers come from a seed, so that simulations of the
// product's policy are repeatable; those of the policy no-affinity vary slightly between
// runs. The model leaves out quotas, retries by instances and the processor time of
// instances.
package model

import (
	"math"
	"time"
)

// Deployment describes the simulated deployment. The regions differ only in their number of
// endpoints.
type Deployment struct {
	// Endpoints is the number of endpoints in each region.
	Endpoints []int
	// Slots is the number of requests that an endpoint processes at once.
	Slots int
	// CacheSize is the number of objects that an endpoint keeps in its cache.
	CacheSize int
	// Instances is the number of instances in each region.
	Instances int
	// ArrivalRate is the number of requests per second that arrive in each region.
	ArrivalRate float64
	// Objects is the number of different objects that the callers of each region request.
	Objects int
	// MeanServiceTime is the mean service time for an object that is not cached. For a
	// cached object it is multiplied by CachedFactor.
	MeanServiceTime  time.Duration
	CachedFactor     float64
	LatencyObjective time.Duration
	Deadline         time.Duration
	// CrossRegionRTT is the round-trip time between two regions.
	CrossRegionRTT time.Duration
	// ReportInterval is the time between two exchanges of reports among the instances, and so
	// the maximum age of a report.
	ReportInterval time.Duration
}

// DefaultDeployment resembles a file service of 20 endpoints in three regions of uneven size.
func DefaultDeployment() Deployment {
	return Deployment{
		Endpoints: []int{2, 8, 10}, Slots: 9, CacheSize: 67, Instances: 3, ArrivalRate: 150, Objects: 113,
		MeanServiceTime: 530 * time.Millisecond, CachedFactor: 0.3, LatencyObjective: 430 * time.Millisecond, Deadline: 2500 * time.Millisecond,
		CrossRegionRTT: 110 * time.Millisecond, ReportInterval: 250 * time.Millisecond,
	}
}

// Pattern changes the load or the endpoints over time.
type Pattern struct {
	Name string
	// LoadFactor returns the factor on a region's arrival rate.
	LoadFactor func(at time.Duration, region int) float64
	// SlowdownFactor returns the factor on an endpoint's service time.
	SlowdownFactor func(at time.Duration, endpoint int) float64
	// RefusalShare returns the share of requests that an endpoint refuses.
	RefusalShare func(at time.Duration, endpoint int) float64
	// ImpatientShare returns the share of callers that retry at once and more often.
	ImpatientShare func(at time.Duration) float64
	// Down reports whether an endpoint does not answer at all.
	Down func(at time.Duration, region, endpoint int) bool
}

// Policy is a way to choose endpoints.
type Policy struct {
	Name string
	// IgnoreAffinity chooses endpoints without regard to the object that a request concerns.
	IgnoreAffinity bool
	// LocalOnly keeps requests in the region where they arrive.
	LocalOnly bool
	// UnlimitedWait accepts requests however long the queue is: first come, first served.
	UnlimitedWait bool
	// WithinObjectiveOnly refuses requests that are not expected to end within the objective.
	WithinObjectiveOnly bool
	// FixedRetryDelay gives all refused callers the same retry delay, without jitter.
	FixedRetryDelay bool
}

// Policies returns the product's policy and the baselines that it is compared with.
func Policies() []Policy {
	return []Policy{
		{Name: "product"},
		{Name: "no-affinity", IgnoreAffinity: true},
		{Name: "local-only", LocalOnly: true},
		{Name: "first-come", UnlimitedWait: true},
		{Name: "within-objective", WithinObjectiveOnly: true},
		{Name: "fixed-retry", FixedRetryDelay: true},
	}
}

// Outcome is the result of a simulation as callers see it. Asked counts the requests that
// arrived, InObjective those answered within the latency objective, Late those answered
// later, and Refused those that got no answer, by refusal or at the deadline.
type Outcome struct {
	Pattern, Policy                   string
	Asked, InObjective, Late, Refused int
	// Known is the share of runs whose object was in the endpoint's cache. Crossed is the
	// number of attempts sent to another region, as a share of the requests.
	Known, Crossed float64
	// WorstRegion is the lowest share of requests within the objective of any region,
	// WorstWindow that of any window of 2 s.
	WorstRegion, WorstWindow float64
}

// Value returns the mean value of a request to its caller: 1 for an answer within the
// objective, late for a later one.
func (o Outcome) Value(late float64) float64 {
	return (float64(o.InObjective) + late*float64(o.Late)) / math.Max(float64(o.Asked), 1)
}

// InObjectiveShare returns the share of requests that were answered within the objective.
func (o Outcome) InObjectiveShare() float64 {
	return float64(o.InObjective) / math.Max(float64(o.Asked), 1)
}
