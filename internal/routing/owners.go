package routing

import (
	"slices"

	"lovagescale/internal/membership"
	"lovagescale/internal/ownership"
)

// owners maps a service to the live siblings that own endpoints of it.
type owners map[string][]membership.Member

// ApplyView puts a view of the members in force.
func (r *Router) ApplyView(view *membership.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = view
	r.rankOwners()
}

// Owners returns the live siblings in the zone that rendezvous hashing makes
// owners of endpoints of the service, in order of instance, without this
// instance. The slice must not be changed.
func (r *Router) Owners(service string) []membership.Member {
	return (*r.siblings.Load())[service]
}

// rankOwners must be called with the lock held.
func (r *Router) rankOwners() {
	ranked := make(owners)
	if r.view != nil {
		live := liveIn(r.view, r.zone)
		for name, s := range r.current.Load().services {
			ranked[name] = ownersOf(s.endpoints, live, r.instance)
		}
	}
	r.siblings.Store(&ranked)
}

// liveIn returns the live members of the zone.
func liveIn(view *membership.View, zone string) []membership.Member {
	return slices.DeleteFunc(view.InZone(zone), func(m membership.Member) bool { return !m.Usable() })
}

func ownersOf(endpoints []*endpoint, live []membership.Member, self string) []membership.Member {
	instances := make([]string, 0, len(live))
	for _, member := range live {
		instances = append(instances, member.Instance)
	}
	owning := make(map[string]bool)
	for _, e := range endpoints {
		owning[ownership.Preferred(e.key, instances)] = true
	}
	var siblings []membership.Member
	for _, member := range live {
		if member.Instance != self && owning[member.Instance] {
			siblings = append(siblings, member)
		}
	}
	return siblings
}
