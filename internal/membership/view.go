package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovagescale/internal/instancelist"
)

// buildView builds the view from the table of the local zone, the summaries of
// the other zones and the platform's list.
func (c *Core) buildView() *View {
	byInstance := make(map[string]Member)
	for _, r := range c.table.records {
		if r.Status == Dead {
			continue
		}
		member := r.Member
		member.Suspected = r.Status == Suspect
		byInstance[member.Instance] = c.applyListState(member)
	}
	var silent []string
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		z := c.zones[name]
		if z.silent {
			silent = append(silent, name)
		}
		for _, member := range z.members() {
			byInstance[member.Instance] = c.applyListState(member)
		}
	}
	view := &View{
		Self:           c.applyListState(c.self),
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

// applyListState marks the member as leaving if the platform's list announces or
// has announced that it leaves.
func (c *Core) applyListState(member Member) Member {
	if c.announcedLeaving[member.Incarnation] || c.listed[member.Instance].State == instancelist.Leaving {
		member.State = instancelist.Leaving
	}
	return member
}

// confirmedUntil returns the earliest time at which a sibling could declare this
// incarnation dead, plus one heartbeat interval. The additional interval lets this
// core declare a dead sibling dead, and so stop counting it, before the sibling's
// missing replies end the confirmation.
func (c *Core) confirmedUntil() time.Time {
	var earliest time.Time
	for _, s := range c.siblings {
		if s.record.Status == Dead {
			continue
		}
		if earliest.IsZero() || s.ackedSentAt.Before(earliest) {
			earliest = s.ackedSentAt
		}
	}
	if earliest.IsZero() {
		return earliest
	}
	timeout := c.options.SuspectAfter + c.deadAfter(c.self.Instance)
	return earliest.Add(timeout + c.options.HeartbeatInterval)
}
