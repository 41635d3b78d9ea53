// Package admission divides the slots of an upstream among workspaces and classes of
// requests while they are scarce. A class is a rank of urgency, see catalog.Rank.
//
// Divide is the pure core: every instance calls it with the demand and use of the whole
// fleet and gets the same shares. Gate compares each request with the share of its workspace.
// A request beyond the share is not refused outright: it may only use a slot that is free,
// so that no slot stays idle because of a share.
//
// Failure modes: without figures of the other instances, or with figures older than
// ShareLifetime, requests are served first come, first served. Instances that report nothing
// are left out of both the demand and the use that is divided.
package admission

import (
	"cmp"
	"math"
	"slices"
)

// minServed is the fraction of a class or workspace that is within its share, relative to
// that of all requests. No class and no workspace may be served less than a quarter as often
// as all requests; the rest is a margin for what queues refuse.
const minServed = 0.35

// Demand is the demand of a workspace for requests of one class, in slots.
type Demand struct {
	Workspace string
	// Class is 0 for the most urgent requests and greater for less urgent ones.
	Class int
	Slots float64
	// Weight is the workspace's part of a scarce upstream relative to that of others. It must
	// be above 0.
	Weight float64
}

// Shares are the shares of an upstream's capacity.
type Shares struct {
	// floor is the fraction of its demand that each workspace gets at least.
	floor float64
	// levels is the share of each class in slots per unit of weight.
	levels map[int]float64
}

// Divide divides the capacity, in slots. Classes get it in the order of their urgency, after
// each of them has got its minimum. Within a class, workspaces are served by max-min fairness:
// demand below the level times the weight is served in full, and what is left goes to the
// others.
func Divide(capacity float64, demands []Demand) Shares {
	total := 0.0
	byClass := make(map[int][]Demand)
	for _, d := range demands {
		total += d.Slots
		byClass[d.Class] = append(byClass[d.Class], d)
	}
	if total <= capacity || total <= 0 {
		return Shares{floor: 1}
	}
	shares := Shares{floor: minServed * math.Max(capacity, 0) / total, levels: make(map[int]float64)}
	remaining := math.Max(capacity, 0) - shares.floor*total
	classes := make([]int, 0, len(byClass))
	for class := range byClass {
		classes = append(classes, class)
	}
	slices.SortFunc(classes, cmp.Compare[int])
	for _, class := range classes {
		needed := sumSlots(byClass[class])
		extra := math.Min((1-shares.floor)*needed, remaining)
		remaining -= extra
		shares.levels[class] = shares.fill(byClass[class], shares.floor*needed+extra)
	}
	return shares
}

func sumSlots(demands []Demand) float64 {
	sum := 0.0
	for _, d := range demands {
		sum += d.Slots
	}
	return sum
}

// levelSteps is the number of bisections that find a level. The error is then far below the
// rounding of the reported demand.
const levelSteps = 50

// fill returns the level at which the shares of the demands add up to the capacity, or
// infinity if all demand fits.
func (s Shares) fill(demands []Demand, capacity float64) float64 {
	highest := 0.0
	for _, d := range demands {
		highest = math.Max(highest, d.Slots/d.Weight)
	}
	if sumSlots(demands) <= capacity*(1+1e-9) {
		return math.Inf(1)
	}
	low, high := 0.0, highest
	for range levelSteps {
		level := (low + high) / 2
		used := 0.0
		for _, d := range demands {
			used += math.Min(d.Slots, s.limit(level, d.Weight, d.Slots))
		}
		if used > capacity {
			high = level
		} else {
			low = level
		}
	}
	return low
}

func (s Shares) limit(level, weight, slots float64) float64 {
	return math.Max(level*weight, s.floor*slots)
}

// Limit returns the slots up to which a workspace's requests of a class are within its share.
// slots is their demand. It is infinite if the capacity suffices for the class.
func (s Shares) Limit(class int, weight, slots float64) float64 {
	level, found := s.levels[class]
	if !found {
		return math.Inf(1)
	}
	return s.limit(level, weight, slots)
}
