package membership

import (
	"slices"
	"time"

	"lovagescale/internal/instancelist"
)

// Member is one incarnation of an entry instance.
type Member struct {
	Instance string `msgpack:"i" json:"instance"`
	// Incarnation identifies one run of the instance's process. Idempotency keys
	// name it as their owner.
	Incarnation string `msgpack:"n" json:"incarnation"`
	Zone        string `msgpack:"z" json:"availability_zone"`
	Address     string `msgpack:"a" json:"address"`
	Link        string `msgpack:"l" json:"link"`
	// State is Live or Leaving. An incarnation never returns from Leaving to Live.
	State instancelist.State `msgpack:"s" json:"state"`
	// Counter orders the records of one incarnation. Only the incarnation itself
	// raises it.
	Counter uint64 `msgpack:"c,omitempty" json:"counter"`
	// Suspected is set while the member is silent: its siblings suspect it, its
	// zone's summary omits it, or its whole availability zone is silent. A
	// suspected member is still a member.
	Suspected bool `msgpack:"u,omitempty" json:"suspected,omitempty"`
}

// Usable reports whether other instances may send new work to the member.
func (m *Member) Usable() bool { return m.State == instancelist.Live && !m.Suspected }

// View is an immutable snapshot of the members, ordered by instance.
type View struct {
	Self    Member   `json:"self"`
	Members []Member `json:"members"`
	// ConfirmedUntil is the time until which the siblings rely on this incarnation.
	// An instance that takes over from a dead sibling must first wait for one
	// heartbeat interval and for the requests that the dead sibling had in flight.
	// The zero time means that the incarnation has no siblings.
	ConfirmedUntil time.Time `json:"confirmed_until"`
	// Delegates are the incarnations that represent the local zone to other zones.
	Delegates []string `json:"delegates"`
	// SilentZones are the other availability zones whose summaries have not
	// advanced within the silence limit.
	SilentZones []string `json:"silent_zones"`
}

// InZone returns the members of a zone, ordered by instance.
func (v *View) InZone(zone string) []Member {
	return slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return m.Zone != zone })
}

// ByIncarnation returns the member with the given incarnation, if there is one.
func (v *View) ByIncarnation(incarnation string) (Member, bool) {
	for _, member := range v.Members {
		if member.Incarnation == incarnation {
			return member, true
		}
	}
	return Member{}, false
}
