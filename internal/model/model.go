// Package model plays load patterns against policies of placement, without network
// and faster than real time. Endpoints have slots, a queue and a memory of objects,
// whose runs are shorter; instances choose by the product's own package placement
// from reports that are late; callers have objectives, deadlines and one retry.
//
// Its times are simulated and its chances come from a seed, so that a run repeats.
// It leaves out quotas, retries of instances and the processor time of instances.
package model

import (
	"math"
	"time"
)

// Site is the modelled deployment. Times and rates are those of one region.
type Site struct {
	// Endpoints is the number of endpoints in each region.
	Endpoints []int
	Slots     int
	// Memory is the number of objects that an endpoint knows.
	Memory int
	// Instances is the number of instances in each region.
	Instances int
	// Rate is the requests per second that arrive in each region.
	Rate float64
	// Objects is the number of objects of each region's callers.
	Objects int
	// Work is the mean run of an unknown object, KnownPart the part of it that a
	// known one takes.
	Work      time.Duration
	KnownPart float64
	Objective time.Duration
	Deadline  time.Duration
	// Crossing is the time from one region to another and back.
	Crossing time.Duration
	// ReportEvery is how old the news of other instances may be.
	ReportEvery time.Duration
}

// DefaultSite resembles a file service of 20 endpoints in three uneven regions.
func DefaultSite() Site {
	return Site{
		Endpoints: []int{2, 8, 10}, Slots: 9, Memory: 67, Instances: 3, Rate: 150, Objects: 113,
		Work: 530 * time.Millisecond, KnownPart: 0.3, Objective: 430 * time.Millisecond, Deadline: 2500 * time.Millisecond,
		Crossing: 110 * time.Millisecond, ReportEvery: 250 * time.Millisecond,
	}
}

// Pattern changes the load or the endpoints over time.
type Pattern struct {
	Name string
	// Load returns the factor on a region's arrivals.
	Load func(at time.Duration, region int) float64
	// Slow returns the factor on an endpoint's runs.
	Slow func(at time.Duration, endpoint int) float64
	// Refuses returns the share of requests that an endpoint refuses.
	Refuses func(at time.Duration, endpoint int) float64
	// Down reports whether an endpoint answers nothing.
	Down func(at time.Duration, region, endpoint int) bool
}

// Policy is a way to choose endpoints.
type Policy struct {
	Name string
	// NoObjects ignores what requests concern.
	NoObjects bool
	// LocalOnly keeps requests in their region.
	LocalOnly bool
	// Queue accepts any wait: first come, first served.
	Queue bool
	// FixedRetry tells refused callers the same time.
	FixedRetry bool
}

// Policies are the product's policy and its simple baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "product"},
		{Name: "no-affinity", NoObjects: true},
		{Name: "local-only", LocalOnly: true},
		{Name: "first-come", Queue: true},
		{Name: "fixed-retry", FixedRetry: true},
	}
}

// Outcome is what callers got.
type Outcome struct {
	Pattern, Policy                   string
	Asked, InObjective, Late, Refused int
	// Known is the share of runs of an object that the endpoint knew, Crossed the
	// share of requests that ran in another region.
	Known, Crossed float64
	// WorstRegion is the lowest share within the objective of a region, WorstWindow
	// that of 2 s.
	WorstRegion, WorstWindow float64
}

// Share returns the part of the requests that were answered within the objective.
func (o Outcome) Share() float64 { return float64(o.InObjective) / math.Max(float64(o.Asked), 1) }
