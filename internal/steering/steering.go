// Package steering decides which instances lookups name to callers. Instances differ in
// the bandwidth of their link and in their processor share. Callers choose among the named
// addresses at random, so that an instance with a slow link would get as many callers as
// one with a fast link, and their answers, its reports and its quota tokens would wait
// behind large answers on that link.
//
// Failure modes: if too few large instances are left, or only those of one zone, all instances are
// named. An instance
// whose capacity is not known is always named, as is each one where all are alike.
package steering

// Capacity is what an instance has for callers. The zero value stands for unknown.
type Capacity struct {
	// LinkMbps is the bandwidth of its link in Mbit/s.
	LinkMbps float32 `msgpack:"l,omitempty"`
	// Cores is its processor share in cores.
	Cores float32 `msgpack:"c,omitempty"`
}

// IsKnown reports whether the instance stated its capacity.
func (c Capacity) IsKnown() bool { return c.LinkMbps > 0 && c.Cores > 0 }

const (
	// minRelativeCapacity is the capacity, relative to the largest instance, from which an
	// instance counts as large.
	minRelativeCapacity = 0.5
	// minLargeInstances is the number of large instances below which all are named, so that
	// a caller finds another one when its instance fails.
	minLargeInstances = 2
	// minLargeFraction is the fraction of the capacity of all instances that the large ones
	// must have if only they are named.
	minLargeFraction = 0.5
)

// Instance is what the choice depends on.
type Instance struct {
	Zone     string
	Capacity Capacity
}

// Select returns the items that lookups name, in their order. instanceOf returns an item's
// instance.
func Select[T any](items []T, instanceOf func(T) Instance) []T {
	largest := largestOf(items, instanceOf)
	var selected []T
	zones, largeZones := make(map[string]bool), make(map[string]bool)
	large, largeSum, sum := 0, 0.0, 0.0
	for _, item := range items {
		instance := instanceOf(item)
		capacity := instance.Capacity
		zones[instance.Zone] = true
		if !capacity.IsKnown() {
			selected = append(selected, item)
			continue
		}
		relative := capacity.relativeTo(largest)
		sum += relative
		if relative >= minRelativeCapacity {
			selected = append(selected, item)
			large++
			largeSum += relative
			largeZones[instance.Zone] = true
		}
	}
	oneZone := len(zones) > 1 && len(largeZones) < 2 // callers would know no instance if it fails
	if large < minLargeInstances || oneZone || largeSum < minLargeFraction*sum {
		return items
	}
	return selected
}

// largestOf returns the largest link and the largest processor share of all items, which
// may be those of different instances.
func largestOf[T any](items []T, instanceOf func(T) Instance) Capacity {
	var largest Capacity
	for _, item := range items {
		capacity := instanceOf(item).Capacity
		largest.LinkMbps = max(largest.LinkMbps, capacity.LinkMbps)
		largest.Cores = max(largest.Cores, capacity.Cores)
	}
	return largest
}

// relativeTo returns the smaller of the fractions of the largest link and of the largest
// processor share.
func (c Capacity) relativeTo(largest Capacity) float64 {
	return min(float64(c.LinkMbps/largest.LinkMbps), float64(c.Cores/largest.Cores))
}
