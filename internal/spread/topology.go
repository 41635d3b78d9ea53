package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/membership"
)

// Numbers of members selected for each role.
const (
	watchersPerRegion = 2
	delegatesPerZone  = 2
)

// selectByRendezvous returns the count members with the highest rendezvous scores for the
// role, best first.
func selectByRendezvous(members []membership.Member, role string, count int) []membership.Member {
	score := func(m membership.Member) uint64 { return xxhash.Sum64String(role + "\x00" + m.Instance) }
	chosen := slices.Clone(members)
	slices.SortFunc(chosen, func(a, b membership.Member) int {
		if order := cmp.Compare(score(b), score(a)); order != 0 {
			return order
		}
		return cmp.Compare(a.Instance, b.Instance)
	})
	return chosen[:min(count, len(chosen))]
}

// regionOf returns an identifier of the zone's region. A zone without a known region, as
// every zone before the first configuration, counts as a region of its own.
func (c *Core) regionOf(zone string) string {
	if c.active != nil {
		if region := c.active.RegionOf(zone); region != "" {
			return "region " + region
		}
	}
	return "zone " + zone
}

// liveMembers returns the members that are live and not suspected, and this instance, as far
// as matches accepts them.
func (c *Core) liveMembers(matches func(membership.Member) bool) []membership.Member {
	var live []membership.Member
	if matches(c.self) {
		live = append(live, c.self)
	}
	for _, member := range c.members {
		if member.Usable() && matches(member) {
			live = append(live, member)
		}
	}
	return live
}

// Watching reports whether this instance must watch the store: it does if it is selected as
// a watcher of its region or has no configuration yet. Delegates, which already serve their
// siblings, are candidates only if fewer than watchersPerRegion other instances are live.
func (c *Core) Watching() bool {
	if c.active == nil {
		return true
	}
	region := c.regionOf(c.self.Zone)
	candidates := c.liveMembers(func(m membership.Member) bool { return c.regionOf(m.Zone) == region })
	if nonDelegates := c.withoutDelegates(candidates); len(nonDelegates) >= watchersPerRegion {
		candidates = nonDelegates
	}
	return c.indexOfSelf(selectByRendezvous(candidates, "watch "+region, watchersPerRegion)) >= 0
}

// withoutDelegates returns the members that are not delegates of their zones.
func (c *Core) withoutDelegates(members []membership.Member) []membership.Member {
	isDelegate := make(map[string]bool)
	seenZones := make(map[string]bool)
	for _, member := range members {
		if seenZones[member.Zone] {
			continue
		}
		seenZones[member.Zone] = true
		for _, delegate := range c.delegatesOf(member.Zone) {
			isDelegate[delegate.Instance] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return isDelegate[m.Instance] })
}

// indexOfSelf returns the index of this instance in members, or -1.
func (c *Core) indexOfSelf(members []membership.Member) int {
	return slices.IndexFunc(members, func(m membership.Member) bool { return m.Instance == c.self.Instance })
}

// delegatesOf returns the delegates of a zone. They are selected by instance and can differ
// from the delegates of package membership, which are selected by incarnation.
func (c *Core) delegatesOf(zone string) []membership.Member {
	return selectByRendezvous(c.liveMembers(func(m membership.Member) bool { return m.Zone == zone }), "delegate "+zone, delegatesPerZone)
}

// notificationTargets returns the members to notify of a change. Parameter originZone is the
// zone of the member that a revision was pulled from, or "" for a revision that was read from
// the store and for a withdrawal. The targets are:
//   - without an origin zone, the delegates of all zones of the region;
//   - for a delegate, also the other delegate of its zone and its share of the siblings;
//   - for any other instance, also the delegates of its zone, if the change came from outside
//     the zone.
func (c *Core) notificationTargets(originZone string) []membership.Member {
	targets := make(map[string]membership.Member)
	add := func(members []membership.Member) {
		for _, member := range members {
			if member.Instance != c.self.Instance {
				targets[member.Instance] = member
			}
		}
	}
	if originZone == "" {
		for _, zone := range c.zonesOfOwnRegion() {
			add(c.delegatesOf(zone))
		}
	}
	ownDelegates := c.delegatesOf(c.self.Zone)
	if rank := c.indexOfSelf(ownDelegates); rank >= 0 {
		add(ownDelegates)
		add(c.liveMembers(func(m membership.Member) bool {
			return m.Zone == c.self.Zone && xxhash.Sum64String(m.Instance)%uint64(len(ownDelegates)) == uint64(rank)
		}))
	} else if originZone != c.self.Zone {
		add(ownDelegates)
	}
	members := make([]membership.Member, 0, len(targets))
	for _, member := range c.members {
		if found, chosen := targets[member.Instance]; chosen {
			members = append(members, found)
		}
	}
	return members
}

// zonesOfOwnRegion returns the zones of this instance's region that have other members.
func (c *Core) zonesOfOwnRegion() []string {
	region := c.regionOf(c.self.Zone)
	var zones []string
	for _, member := range c.members {
		if c.regionOf(member.Zone) == region && !slices.Contains(zones, member.Zone) {
			zones = append(zones, member.Zone)
		}
	}
	return zones
}

// memberByInstance returns the other member with the given instance, if it is listed.
func (c *Core) memberByInstance(instance string) (membership.Member, bool) {
	for _, member := range c.members {
		if member.Instance == instance {
			return member, true
		}
	}
	return membership.Member{}, false
}
