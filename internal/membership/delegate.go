package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// delegatesPerZone is the number of members of a zone that speak to others.
const delegatesPerZone = 2

// delegates chooses the delegates of a zone by rendezvous hashing among its
// usable members, or among all when none is usable.
func delegates(members []Member) []Member {
	candidates := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.Usable() })
	if len(candidates) == 0 {
		candidates = slices.Clone(members)
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(a.Incarnation), xxhash.Sum64String(b.Incarnation)),
			cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return candidates[:min(len(candidates), delegatesPerZone)]
}

// isReady reports whether this core knows its zone: every listed sibling, or all
// that it heard in the time after which the others would be suspected.
func (c *Core) isReady(now time.Time) bool {
	if now.Sub(c.startedAt) > c.options.SuspectAfter {
		return true
	}
	known := map[string]bool{c.self.Instance: true}
	for _, s := range c.siblings {
		known[s.record.Member.Instance] = true
	}
	for _, instance := range c.list {
		if instance.Zone == c.self.Zone && !known[instance.ID] {
			return false
		}
	}
	return len(c.list) > 0
}

// isDelegate reports whether this core speaks to other zones.
func (c *Core) isDelegate() bool {
	return c.ready && slices.ContainsFunc(c.table.delegates, func(m Member) bool { return m.Incarnation == c.self.Incarnation })
}

// isFirstDelegate reports whether this core takes other zones' summaries from
// the sibling.
func (c *Core) isFirstDelegate(incarnation string) bool {
	return !c.isDelegate() && c.table.delegates[0].Incarnation == incarnation
}
