package handover

import (
	"lovagescale/internal/configuration"
	"lovagescale/internal/membership"
)

// distance is how far a call is handed.
type distance int

// The distances, in the order in which they are tried.
const (
	toSibling distance = iota
	toRegion
	toElsewhere
	distances
)

// triesPerDistance bounds the entries that are asked at each distance.
const triesPerDistance = 2

// target is an entry that may take a call.
type target struct {
	member   membership.Member
	distance distance
}

// directory holds the usable members of each zone.
type directory struct {
	view  *membership.View
	zones map[string][]membership.Member
}

// newDirectory indexes a view.
func newDirectory(view *membership.View) *directory {
	d := &directory{view: view, zones: make(map[string][]membership.Member)}
	for _, member := range view.Members {
		if member.Usable() && member.Incarnation != view.Self.Incarnation {
			d.zones[member.Zone] = append(d.zones[member.Zone], member)
		}
	}
	return d
}

// sameMembers reports whether the directory is that of the view's members.
func (d *directory) sameMembers(view *membership.View) bool {
	old, latest := d.view.Members, view.Members
	return len(old) == len(latest) && len(old) > 0 && &old[0] == &latest[0]
}

// planner chooses the entries to ask for one call.
type planner struct {
	zone          string
	configuration *configuration.Configuration
	directory     *directory
	// owners are the siblings that own endpoints of the service.
	owners []membership.Member
	// skip reports that an entry is not worth asking now.
	skip func(membership.Member) bool
	// draw returns a random number below n.
	draw func(n int) int
}

// plan returns the entries to ask in order. A call that was handed over already
// goes no further than the siblings.
func (p *planner) plan(service string, hops int) []target {
	targets := p.pick(toSibling, p.siblings())
	if hops > 0 || p.configuration == nil {
		return targets
	}
	near, far := p.zones(service)
	targets = append(targets, p.pickZones(toRegion, near)...)
	return append(targets, p.pickZones(toElsewhere, far)...)
}

// siblings returns the owners that are usable.
func (p *planner) siblings() []membership.Member {
	var usable []membership.Member
	for _, owner := range p.owners {
		for _, sibling := range p.directory.zones[p.zone] {
			if sibling.Incarnation == owner.Incarnation {
				usable = append(usable, sibling)
			}
		}
	}
	return usable
}

// zones returns the other zones that have endpoints of the service and usable
// entries, those of the own region first.
func (p *planner) zones(service string) (near, far []string) {
	region := p.configuration.RegionOf(p.zone)
	for zone, endpoints := range p.configuration.Services[service].Endpoints {
		switch {
		case zone == p.zone || len(endpoints) == 0 || len(p.directory.zones[zone]) == 0:
		case p.configuration.RegionOf(zone) == region:
			near = append(near, zone)
		default:
			far = append(far, zone)
		}
	}
	return near, far
}

// pick draws entries of one list.
func (p *planner) pick(d distance, members []membership.Member) []target {
	var targets []target
	if len(members) == 0 {
		return nil
	}
	first := p.draw(len(members))
	for i := range members {
		member := members[(first+i)%len(members)]
		if len(targets) < triesPerDistance && !p.skip(member) {
			targets = append(targets, target{member: member, distance: d})
		}
	}
	return targets
}

// pickZones draws zones and one entry of each.
func (p *planner) pickZones(d distance, zones []string) []target {
	var targets []target
	for len(zones) > 0 && len(targets) < triesPerDistance {
		at := p.draw(len(zones))
		one := p.pick(d, p.directory.zones[zones[at]])
		zones[at] = zones[len(zones)-1]
		zones = zones[:len(zones)-1]
		targets = append(targets, one[:min(len(one), 1)]...)
	}
	return targets
}
