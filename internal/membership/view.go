package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovagescale/internal/instancelist"
)

func (c *Core) buildView() *View {
	byInstance := make(map[string]Member)
	for _, r := range c.table.records {
		if r.Status == Dead {
			continue
		}
		member := r.Member
		member.Suspected = r.Status == Suspect
		byInstance[member.Instance] = c.overlay(member)
	}
	var silent []string
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		z := c.zones[name]
		if z.silent {
			silent = append(silent, name)
		}
		for _, member := range z.members() {
			byInstance[member.Instance] = c.overlay(member)
		}
	}
	view := &View{
		Self:           c.overlay(c.self),
		Members:        slices.Collect(maps.Values(byInstance)),
		ConfirmedUntil: c.confirmedUntil(),
		SilentZones:    silent,
	}
	slices.SortFunc(view.Members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, m := range c.table.delegates {
		view.Delegates = append(view.Delegates, m.Incarnation)
	}
	return view
}

// overlay adds what the platform's list announces of a member.
func (c *Core) overlay(member Member) Member {
	if c.left[member.Incarnation] || c.list[member.Instance].State == instancelist.Leaving {
		member.State = instancelist.Leaving
	}
	return member
}

// confirmedUntil is the earliest time at which a sibling could declare this
// incarnation dead, and one heartbeat interval more, so that a sibling's own
// death is known before it stops confirming.
func (c *Core) confirmedUntil() time.Time {
	var earliest time.Time
	for _, s := range c.siblings {
		if s.record.Status == Dead {
			continue
		}
		if earliest.IsZero() || s.confirmedAt.Before(earliest) {
			earliest = s.confirmedAt
		}
	}
	if earliest.IsZero() {
		return earliest
	}
	patience := c.options.SuspectAfter + c.deadAfter(c.self.Instance)
	return earliest.Add(patience + c.options.HeartbeatInterval)
}
