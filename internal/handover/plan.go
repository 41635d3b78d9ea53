package handover

import (
	"lovagescale/internal/configuration"
	"lovagescale/internal/membership"
)

// distance is how far from this entry a call is handed over.
type distance int

// The distances, in the order in which they are tried.
const (
	toSibling distance = iota
	toSameRegion
	toOtherRegion
	distanceCount
)

// maxEntriesPerDistance limits the entries that are asked at each distance.
const maxEntriesPerDistance = 2

// candidate is an entry that may take a call.
type candidate struct {
	member   membership.Member
	distance distance
}

// memberIndex holds the usable members of each zone, without this entry.
type memberIndex struct {
	view   *membership.View
	byZone map[string][]membership.Member
}

// newMemberIndex returns the index of a view.
func newMemberIndex(view *membership.View) *memberIndex {
	m := &memberIndex{view: view, byZone: make(map[string][]membership.Member)}
	for _, member := range view.Members {
		if member.Usable() && member.Incarnation != view.Self.Incarnation {
			m.byZone[member.Zone] = append(m.byZone[member.Zone], member)
		}
	}
	return m
}

// isCurrent reports whether the index is that of the view's members. It compares
// the identity of the slices of members instead of their elements.
func (m *memberIndex) isCurrent(view *membership.View) bool {
	old, latest := m.view.Members, view.Members
	return len(old) == len(latest) && len(old) > 0 && &old[0] == &latest[0]
}

// planner chooses the entries that are asked to take one call.
type planner struct {
	zone          string
	configuration *configuration.Configuration
	index         *memberIndex
	// owners are the siblings that own endpoints of the service.
	owners []membership.Member
	// inCooldown reports whether an entry is not to be asked now.
	inCooldown func(membership.Member) bool
	// randIntN returns a random number below n.
	randIntN func(n int) int
}

// plan returns the entries to ask, in order. A call that was handed over before
// goes only to siblings.
func (p *planner) plan(service string, hops int) []candidate {
	candidates := p.pickEntries(toSibling, p.usableOwners())
	if hops > 0 || p.configuration == nil {
		return candidates
	}
	sameRegion, otherRegions := p.otherZones(service)
	candidates = append(candidates, p.pickZones(toSameRegion, sameRegion)...)
	return append(candidates, p.pickZones(toOtherRegion, otherRegions)...)
}

// usableOwners returns the owners that are usable members of this zone.
func (p *planner) usableOwners() []membership.Member {
	var usable []membership.Member
	for _, owner := range p.owners {
		for _, sibling := range p.index.byZone[p.zone] {
			if sibling.Incarnation == owner.Incarnation {
				usable = append(usable, sibling)
			}
		}
	}
	return usable
}

// otherZones returns the other zones that have endpoints of the service and usable
// entries, separately for this entry's region and for other regions.
func (p *planner) otherZones(service string) (sameRegion, otherRegions []string) {
	region := p.configuration.RegionOf(p.zone)
	for zone, endpoints := range p.configuration.Services[service].Endpoints {
		switch {
		case zone == p.zone || len(endpoints) == 0 || len(p.index.byZone[zone]) == 0:
		case p.configuration.RegionOf(zone) == region:
			sameRegion = append(sameRegion, zone)
		default:
			otherRegions = append(otherRegions, zone)
		}
	}
	return sameRegion, otherRegions
}

// pickEntries returns up to maxEntriesPerDistance entries of the list that are not in
// cooldown, starting at a random position.
func (p *planner) pickEntries(d distance, members []membership.Member) []candidate {
	var candidates []candidate
	if len(members) == 0 {
		return nil
	}
	first := p.randIntN(len(members))
	for i := range members {
		member := members[(first+i)%len(members)]
		if len(candidates) < maxEntriesPerDistance && !p.inCooldown(member) {
			candidates = append(candidates, candidate{member: member, distance: d})
		}
	}
	return candidates
}

// pickZones chooses zones at random and returns one entry of each, up to
// maxEntriesPerDistance.
func (p *planner) pickZones(d distance, zones []string) []candidate {
	var candidates []candidate
	for len(zones) > 0 && len(candidates) < maxEntriesPerDistance {
		i := p.randIntN(len(zones))
		picked := p.pickEntries(d, p.index.byZone[zones[i]])
		zones[i] = zones[len(zones)-1]
		zones = zones[:len(zones)-1]
		candidates = append(candidates, picked[:min(len(picked), 1)]...)
	}
	return candidates
}
