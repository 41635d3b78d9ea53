// Package membership knows the entry instances: who they are, where they
// listen and whether they take new work.
package membership

import (
	"slices"

	"lovagescale/internal/platform"
)

// Member is one incarnation of an entry instance.
type Member struct {
	Instance string `msgpack:"i" json:"instance"`
	// Incarnation names one run of the instance's process. It is the owner in
	// idempotency keys.
	Incarnation string         `msgpack:"n" json:"incarnation"`
	Zone        string         `msgpack:"z" json:"availability_zone"`
	Address     string         `msgpack:"a" json:"address"`
	Link        string         `msgpack:"l" json:"link"`
	State       platform.State `msgpack:"s" json:"state"`
}

// View is an immutable set of members, ordered by instance.
type View struct {
	Self    Member   `json:"self"`
	Members []Member `json:"members"`
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
