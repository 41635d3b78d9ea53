package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// delegatesPerZone is the number of members that represent a zone to other zones.
const delegatesPerZone = 2

// chooseDelegates chooses the delegates of a zone by rendezvous hashing among its
// usable members, or among all its members if none is usable.
func chooseDelegates(members []Member) []Member {
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

// isReady reports whether this core knows its zone well enough to be a delegate.
// That is the case once it knows every listed sibling, or after SuspectAfter, when a
// sibling that it has not heard by then would be suspected anyway.
func (c *Core) isReady(now time.Time) bool {
	if now.Sub(c.startedAt) > c.options.SuspectAfter {
		return true
	}
	known := map[string]bool{c.self.Instance: true}
	for _, s := range c.siblings {
		known[s.record.Member.Instance] = true
	}
	for _, instance := range c.listed {
		if instance.Zone == c.self.Zone && !known[instance.ID] {
			return false
		}
	}
	return len(c.listed) > 0
}

// isDelegate reports whether this core represents the local zone to other zones.
func (c *Core) isDelegate() bool {
	return c.ready && slices.ContainsFunc(c.table.delegates, func(m Member) bool { return m.Incarnation == c.self.Incarnation })
}

// takesSummariesFrom reports whether this core receives the summaries of other zones
// from the sibling, which is the case if the sibling is the first delegate and this
// core is not a delegate.
func (c *Core) takesSummariesFrom(incarnation string) bool {
	return !c.isDelegate() && c.table.delegates[0].Incarnation == incarnation
}
