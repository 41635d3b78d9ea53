package fleet

import (
	"cmp"
	"slices"
	"time"

	"lovagescale/internal/steering"
)

// SetCapacity sets what this instance has for callers.
func (v *View) SetCapacity(capacity steering.Capacity) {
	if capacity.IsKnown() {
		v.self.Capacity = &capacity
	}
}

// AcceptingMembers returns the instances that accept callers, which may include this one,
// ordered by name.
func (v *View) AcceptingMembers(now time.Time) []Member {
	return membersOf(v.acceptingStatuses(now))
}

// acceptingStatuses returns the statuses of the instances that accept callers, ordered by
// name.
func (v *View) acceptingStatuses(now time.Time) []Status {
	var statuses []Status
	if v.self.State == Ready {
		statuses = append(statuses, v.self)
	}
	for _, p := range v.peers {
		if p.status.State == Ready && p.isLive(now) {
			statuses = append(statuses, p.status)
		}
	}
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.Member.Instance, b.Member.Instance) })
	return statuses
}

// CallerAddresses returns the addresses to which a caller of the region may connect, at
// most limit. They are those of the region's instances that accept callers, or of all
// instances if the region has none. Instances that reach no endpoint are left out if others
// remain, and so are small instances if the large ones suffice, see package steering.
func (v *View) CallerAddresses(now time.Time, region string, limit int) []string {
	accepting := v.acceptingStatuses(now)
	local := slices.DeleteFunc(slices.Clone(accepting), func(s Status) bool { return s.Member.Region != region })
	if len(local) == 0 {
		local = accepting
	}
	addresses := []string{}
	for _, status := range namedByLookups(preferReaching(local)) {
		addresses = append(addresses, status.Member.Callers)
	}
	return addresses[:min(len(addresses), limit)]
}

// preferReaching returns the members that reach endpoints, or all if none does.
func preferReaching(statuses []Status) []Status {
	reaching := slices.DeleteFunc(slices.Clone(statuses), func(s Status) bool { return s.NoEndpoint })
	if len(reaching) == 0 {
		return statuses
	}
	return reaching
}
