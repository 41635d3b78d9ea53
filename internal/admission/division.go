package admission

import (
	"math"
	"time"

	"lovagescale/internal/fleet"
)

// division is what the last Update found for an upstream.
type division struct {
	upstream string
	scarce   bool
	until    time.Time
	shares   Shares
	weights  Weights
	// others is the demand and use on the other instances.
	others fleet.SlotSums
	// capacity, demand and refused are those of the whole fleet, in slots.
	capacity, demand, refused float64
}

// newDivision divides the capacity of an upstream, if it is scarce. The capacity is what is in
// use: slots that are free count for nobody, and requests beyond the shares may use them.
func newDivision(upstream string, own, others fleet.SlotSums, weights Weights) division {
	d := division{upstream: upstream, others: others, weights: weights}
	for _, sums := range []fleet.SlotSums{own, others} {
		for key, use := range sums {
			if key.Upstream != upstream {
				continue
			}
			d.capacity += use.Used
			d.refused += use.Refused
			d.demand += use.Rest
			for _, slots := range use.Workspaces {
				d.demand += slots
			}
		}
	}
	// Where nothing is in use, endpoints are missing and there is nothing to divide.
	d.scarce = d.capacity > idleDemand && d.refused > scarceFraction*(d.capacity+d.refused)
	if d.scarce {
		d.shares = Divide(d.capacity, d.demands(own))
	}
	return d
}

// demands returns the demands on the upstream by class and workspace. The workspaces that are
// not listed count together with the weight that the listed ones leave.
func (d *division) demands(own fleet.SlotSums) []Demand {
	var demands []Demand
	for _, class := range d.classes(own) {
		ownUse, othersUse := useOf(own, d.upstream, class), useOf(d.others, d.upstream, class)
		listed := 0.0
		add := func(workspace string, slots float64) {
			weight := d.weights.of(workspace)
			listed += weight
			demands = append(demands, Demand{Workspace: workspace, Class: class, Slots: slots, Weight: weight})
		}
		for workspace, slots := range ownUse.Workspaces {
			add(workspace, slots+othersUse.Workspaces[workspace])
		}
		for workspace, slots := range othersUse.Workspaces {
			if _, counted := ownUse.Workspaces[workspace]; !counted {
				add(workspace, slots)
			}
		}
		if rest := ownUse.Rest + othersUse.Rest; rest > 0 {
			demands = append(demands, Demand{Class: class, Slots: rest, Weight: math.Max(d.weights.Total-listed, d.weights.Default)})
		}
	}
	return demands
}

// classes returns the classes of the upstream's requests.
func (d *division) classes(own fleet.SlotSums) []int {
	var classes []int
	for key := range own {
		if key.Upstream == d.upstream {
			classes = append(classes, key.Class)
		}
	}
	for key := range d.others {
		if _, counted := own[key]; key.Upstream == d.upstream && !counted {
			classes = append(classes, key.Class)
		}
	}
	return classes
}

// useOf returns the demand and use of a class, which is empty if there is none.
func useOf(sums fleet.SlotSums, upstream string, class int) fleet.SlotUse {
	if use, found := sums[fleet.SlotKey{Upstream: upstream, Class: class}]; found {
		return *use
	}
	return fleet.SlotUse{}
}

// quota returns the quota of a flow. own is its present demand at this instance, so that a
// jump counts before it has been reported.
//
// A workspace is limited only as far as it would get more than its share first come, first
// served, where all get the same fraction of their demand. Workspaces that are alike are
// therefore not limited at all, and the endpoints' queues refuse what is too much.
func (d *division) quota(key flowKey, own float64) quota {
	if !d.scarce || key.workspace == "" {
		return quota{}
	}
	others := useOf(d.others, d.upstream, key.class).Workspaces[key.workspace]
	demand := others + own
	share := d.shares.Limit(key.class, d.weights.of(key.workspace), demand)
	if math.IsInf(share, 1) {
		return quota{}
	}
	limit := share / math.Min(d.capacity/math.Max(d.demand, idleDemand), 1)
	fraction := 1.0
	if demand > limit {
		fraction = limit / demand
	}
	return quota{limited: true, until: d.until, fraction: fraction, perSecond: math.Max(limit-fraction*others, 0), demand: demand, share: share}
}
