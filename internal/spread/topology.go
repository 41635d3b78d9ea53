package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/membership"
)

// Numbers of chosen members.
const (
	watchersPerRegion = 2
	delegatesPerZone  = 2
)

// choose returns the members with the highest rendezvous scores for a duty.
func choose(members []membership.Member, duty string, n int) []membership.Member {
	score := func(m membership.Member) uint64 { return xxhash.Sum64String(duty + "\x00" + m.Instance) }
	chosen := slices.Clone(members)
	slices.SortFunc(chosen, func(a, b membership.Member) int {
		if order := cmp.Compare(score(b), score(a)); order != 0 {
			return order
		}
		return cmp.Compare(a.Instance, b.Instance)
	})
	return chosen[:min(n, len(chosen))]
}

// regionOf returns a zone's region. Before a first configuration each zone
// counts as a region of its own.
func (c *Core) regionOf(zone string) string {
	if c.current != nil {
		if region := c.current.RegionOf(zone); region != "" {
			return "region " + region
		}
	}
	return "zone " + zone
}

// live returns the live members, this one included, that keep accepts.
func (c *Core) live(keep func(membership.Member) bool) []membership.Member {
	var found []membership.Member
	if keep(c.self) {
		found = append(found, c.self)
	}
	for _, member := range c.members {
		if member.Usable() && keep(member) {
			found = append(found, member)
		}
	}
	return found
}

// Watching reports whether this instance is to watch the store: it is chosen
// in its region, or has no configuration yet.
func (c *Core) Watching() bool {
	if c.current == nil {
		return true
	}
	region := c.regionOf(c.self.Zone)
	candidates := c.live(func(m membership.Member) bool { return c.regionOf(m.Zone) == region })
	if free := c.withoutDelegates(candidates); len(free) >= watchersPerRegion {
		candidates = free
	}
	return c.rank(choose(candidates, "watch "+region, watchersPerRegion)) >= 0
}

// withoutDelegates leaves out those that serve their siblings already.
func (c *Core) withoutDelegates(members []membership.Member) []membership.Member {
	busy := make(map[string]bool)
	seen := make(map[string]bool)
	for _, member := range members {
		if seen[member.Zone] {
			continue
		}
		seen[member.Zone] = true
		for _, delegate := range c.delegates(member.Zone) {
			busy[delegate.Instance] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return busy[m.Instance] })
}

// rank returns the place of this instance among members, or -1.
func (c *Core) rank(members []membership.Member) int {
	return slices.IndexFunc(members, func(m membership.Member) bool { return m.Instance == c.self.Instance })
}

func (c *Core) delegates(zone string) []membership.Member {
	return choose(c.live(func(m membership.Member) bool { return m.Zone == zone }), "delegate "+zone, delegatesPerZone)
}

// audience returns whom to tell of news that came from a member of a zone, or
// from the store (""): a watcher tells the delegates of its region's zones, a
// delegate the other delegates and its share of the siblings, any other
// instance its delegates if the news came from outside its zone.
func (c *Core) audience(from string) []membership.Member {
	told := make(map[string]membership.Member)
	add := func(members []membership.Member) {
		for _, member := range members {
			if member.Instance != c.self.Instance {
				told[member.Instance] = member
			}
		}
	}
	if from == "" {
		for _, zone := range c.zonesOfRegion() {
			add(c.delegates(zone))
		}
	}
	own := c.delegates(c.self.Zone)
	if rank := c.rank(own); rank >= 0 {
		add(own)
		add(c.live(func(m membership.Member) bool {
			return m.Zone == c.self.Zone && xxhash.Sum64String(m.Instance)%uint64(len(own)) == uint64(rank)
		}))
	} else if from != c.self.Zone {
		add(own)
	}
	members := make([]membership.Member, 0, len(told))
	for _, member := range c.members {
		if found, chosen := told[member.Instance]; chosen {
			members = append(members, found)
		}
	}
	return members
}

func (c *Core) zonesOfRegion() []string {
	region := c.regionOf(c.self.Zone)
	var zones []string
	for _, member := range c.members {
		if c.regionOf(member.Zone) == region && !slices.Contains(zones, member.Zone) {
			zones = append(zones, member.Zone)
		}
	}
	return zones
}

// memberOf returns a listed member by its instance.
func (c *Core) memberOf(instance string) (membership.Member, bool) {
	for _, member := range c.members {
		if member.Instance == instance {
			return member, true
		}
	}
	return membership.Member{}, false
}
