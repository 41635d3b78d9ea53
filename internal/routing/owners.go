package routing

import (
	"slices"

	"lovagescale/internal/membership"
	"lovagescale/internal/ownership"
)

// ownersByService maps the name of a service to the live siblings that are preferred
// owners of its endpoints.
type ownersByService map[string][]membership.Member

// ApplyView replaces the membership view.
func (r *Router) ApplyView(view *membership.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = view
	r.updateOwners()
}

// Owners returns the live members of the zone that rendezvous hashing prefers as owners of
// the service's endpoints, without this instance, ordered by instance. The caller must not
// modify the slice.
func (r *Router) Owners(service string) []membership.Member {
	return (*r.owners.Load())[service]
}

// updateOwners recomputes the owners from the table and the view. The caller holds r.mu.
func (r *Router) updateOwners() {
	updated := make(ownersByService)
	if r.view != nil {
		live := liveMembers(r.view, r.zone)
		for name, s := range r.table.Load().services {
			updated[name] = siblingOwners(s.endpoints, live, r.instance)
		}
	}
	r.owners.Store(&updated)
}

func liveMembers(view *membership.View, zone string) []membership.Member {
	return slices.DeleteFunc(view.InZone(zone), func(m membership.Member) bool { return !m.Usable() })
}

func siblingOwners(endpoints []*endpoint, live []membership.Member, self string) []membership.Member {
	instances := make([]string, 0, len(live))
	for _, member := range live {
		instances = append(instances, member.Instance)
	}
	owningInstances := make(map[string]bool)
	for _, e := range endpoints {
		owningInstances[ownership.Preferred(e.key, instances)] = true
	}
	var siblings []membership.Member
	for _, member := range live {
		if member.Instance != self && owningInstances[member.Instance] {
			siblings = append(siblings, member)
		}
	}
	return siblings
}
