package edge

import (
	"maps"
	"slices"
	"time"

	"lovagescale/internal/fleet"
)

// pinnedUseLifetime is how long a region counts as used after the last request that had to
// run there. Such requests are few at each instance. Without the loads of the region's
// endpoints between two of them, they would be sent to endpoints whose slots are taken.
const pinnedUseLifetime = 15 * time.Second

// regionsInUse returns the other regions to which this instance sends requests, and of whose
// endpoints it therefore needs the loads.
func (s *state) regionsInUse(now time.Time) []string {
	inUse := make(map[string]bool)
	for _, shares := range s.edge.balancer.Shares() {
		for region, share := range shares {
			inUse[region] = inUse[region] || share > 0
		}
	}
	for _, endpoint := range s.edge.table.Load().Endpoints() {
		inUse[endpoint.Region] = inUse[endpoint.Region] || endpoint.InFlight() > 0
	}
	maps.DeleteFunc(s.pinnedUse, func(_ string, usedAt time.Time) bool { return now.Sub(usedAt) > pinnedUseLifetime })
	for region := range s.pinnedUse {
		inUse[region] = true
	}
	var regions []string
	for region, used := range inUse {
		if used && region != s.edge.settings.Region {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions
}

// otherRegions returns all regions but this instance's own.
func (e *Edge) otherRegions() []string {
	return slices.DeleteFunc(slices.Clone(e.regions), func(region string) bool { return region == e.settings.Region })
}

// recordPinnedUse notes in which regions requests had to run; demand is that of this
// instance.
func (s *state) recordPinnedUse(now time.Time, demand []fleet.UpstreamDemand) {
	for _, d := range demand {
		if d.Region != "" {
			s.pinnedUse[d.Region] = now
		}
	}
}
