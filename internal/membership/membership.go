package membership

import (
	"slices"
	"time"

	"lovagescale/internal/instancelist"
)

// Member is one incarnation of an entry instance.
type Member struct {
	Instance string `msgpack:"i" json:"instance"`
	// Incarnation names one run of the instance's process. It is the owner in
	// idempotency keys.
	Incarnation string `msgpack:"n" json:"incarnation"`
	Zone        string `msgpack:"z" json:"availability_zone"`
	Address     string `msgpack:"a" json:"address"`
	Link        string `msgpack:"l" json:"link"`
	// State is Live or Leaving. An incarnation never returns from Leaving.
	State instancelist.State `msgpack:"s" json:"state"`
	// Counter orders what is said of one incarnation. Only the incarnation
	// itself raises it.
	Counter uint64 `msgpack:"c,omitempty" json:"counter"`
	// Suspected is set while the member is silent: its siblings suspect it, or
	// its whole availability zone is not heard. It is still a member.
	Suspected bool `msgpack:"u,omitempty" json:"suspected,omitempty"`
}

// Usable reports whether the member may get new work from others.
func (m *Member) Usable() bool { return m.State == instancelist.Live && !m.Suspected }

// View is an immutable set of members, ordered by instance.
type View struct {
	Self    Member   `json:"self"`
	Members []Member `json:"members"`
	// ConfirmedUntil is the time until which the siblings count on this
	// incarnation. One that takes over from a dead sibling must wait one
	// heartbeat interval, and what the dead one had in flight, before it acts.
	// The zero time means that the incarnation has no siblings.
	ConfirmedUntil time.Time `json:"confirmed_until"`
	// Delegates are the incarnations of the own zone that speak to other zones.
	Delegates []string `json:"delegates"`
	// SilentZones are the availability zones that are not heard.
	SilentZones []string `json:"silent_zones"`
}

// InZone returns the members of a zone, in order.
func (v *View) InZone(zone string) []Member {
	return slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return m.Zone != zone })
}

// ByIncarnation returns the member with the incarnation.
func (v *View) ByIncarnation(incarnation string) (Member, bool) {
	for _, member := range v.Members {
		if member.Incarnation == incarnation {
			return member, true
		}
	}
	return Member{}, false
}
