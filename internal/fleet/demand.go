package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// WorkspaceDemand is the arrival rate of a workspace's requests, in requests per second.
type WorkspaceDemand struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack  struct{} `msgpack:",as_array"`
	Workspace string
	Rate      float32
}

// Totals is the demand of each workspace on all instances, as a delegate sends it to the
// members of its region. Its size does not grow with the number of regions.
type Totals struct {
	Workspaces []WorkspaceTotal `msgpack:"w,omitempty"`
	// Incomplete is set if a region that has instances has not reported its demand yet.
	Incomplete bool `msgpack:"b,omitempty"`
	// Stale is set if part of the demand was reported before its instances became silent.
	Stale bool `msgpack:"o,omitempty"`
	// AgeMillis is the age of the oldest report in the totals, stale ones excepted.
	AgeMillis int64 `msgpack:"a,omitempty"`
	// SlotDemand is the demand on slots. Its rows refer to Workspaces. Delegates of earlier
	// builds omit it.
	SlotDemand []SlotDemand `msgpack:"s,omitempty"`
}

// WorkspaceTotal is the demand of a workspace on the member's zone, on the member's whole
// region and on all other regions, in requests per second.
type WorkspaceTotal struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack     struct{} `msgpack:",as_array"`
	Workspace    string
	Zone         float32
	Region       float32
	OtherRegions float32
}

// regionDemand is the demand on another region and the time at which a delegate of that
// region aggregated it.
type regionDemand struct {
	demands []WorkspaceDemand
	slots   []SlotDemand
	stale   bool
	madeAt  time.Time
}

// peerDemand is the demand on all instances but this one, as far as this one knows it.
type peerDemand struct {
	region, zone, otherRegions workspaceRates
	incomplete, stale          bool
	// oldestAt is the time of the oldest report in the sums, stale ones excepted.
	oldestAt time.Time
}

// newPeerDemand returns an empty demand as of now.
func newPeerDemand(now time.Time) peerDemand {
	return peerDemand{region: make(workspaceRates), zone: make(workspaceRates), otherRegions: make(workspaceRates), oldestAt: now}
}

// includeTime records that the sums contain a report made at the given time. A report
// older than SilentAfter marks them as stale and does not count for their age.
func (d *peerDemand) includeTime(now, madeAt time.Time) {
	if now.Sub(madeAt) > SilentAfter {
		d.stale = true
	} else if madeAt.Before(d.oldestAt) {
		d.oldestAt = madeAt
	}
}

// includeFreshness records that the sums contain those of other, with their staleness and
// age.
func (d *peerDemand) includeFreshness(now time.Time, other *peerDemand) {
	d.stale = d.stale || other.stale
	d.includeTime(now, other.oldestAt)
}

// workspaceRates are requests per second, by workspace.
type workspaceRates map[string]float64

func (r workspaceRates) add(demands []WorkspaceDemand) {
	for _, d := range demands {
		r[d.Workspace] += float64(d.Rate)
	}
}

// subtract removes the demands from the sums. The sums were rounded to float32 on the
// wire, therefore a remainder of at most minRate is dropped.
func (r workspaceRates) subtract(demands []WorkspaceDemand) {
	for _, d := range demands {
		if remaining := r[d.Workspace] - float64(d.Rate); remaining > minRate {
			r[d.Workspace] = remaining
		} else {
			delete(r, d.Workspace)
		}
	}
}

// minRate is the rate, in requests per second, up to which a difference of two sums is
// treated as a rounding error.
const minRate = 1e-3

// demands returns the rates ordered by workspace.
func (r workspaceRates) demands() []WorkspaceDemand {
	demands := make([]WorkspaceDemand, 0, len(r))
	for workspace, rate := range r {
		demands = append(demands, WorkspaceDemand{Workspace: workspace, Rate: float32(rate)})
	}
	slices.SortFunc(demands, func(a, b WorkspaceDemand) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return demands
}

// ApplyRegionDemand stores the demand on another region that came in an exchange between
// delegates. It ignores demand that is older than the stored one.
func (v *View) ApplyRegionDemand(now time.Time, digest Digest) {
	madeAt := now.Add(-time.Duration(digest.AgeMillis) * time.Millisecond)
	if previous, found := v.regionDemands[digest.Region]; found && madeAt.Before(previous.madeAt) {
		return
	}
	v.regionDemands[digest.Region] = regionDemand{demands: digest.Activity.WorkspaceDemand, slots: digest.Activity.SlotDemand, stale: digest.DemandStale, madeAt: madeAt}
}

// ApplyTotals stores the totals that a delegate sent; own is the demand on this instance,
// which they include.
//
// Stale or incomplete totals replace better ones at once: when a network partition has
// just begun, quota shares computed from the demand before the partition would grow on
// both sides of it.
func (v *View) ApplyTotals(now time.Time, totals Totals, own []WorkspaceDemand) {
	received := newPeerDemand(now.Add(-time.Duration(totals.AgeMillis) * time.Millisecond))
	received.incomplete, received.stale = totals.Incomplete, totals.Stale
	for _, row := range totals.Workspaces {
		received.zone[row.Workspace] = float64(row.Zone)
		received.region[row.Workspace] = float64(row.Region)
		received.otherRegions[row.Workspace] = float64(row.OtherRegions)
	}
	received.zone.subtract(own)
	received.region.subtract(own)
	v.delegateDemand = &received
}

// Totals returns the totals for a member of the given zone of this region; own is the
// demand on this instance.
func (v *View) Totals(now time.Time, zone string, own []WorkspaceDemand) Totals {
	demand := v.peerDemand(now, zone)
	demand.region.add(own)
	if zone == v.self.Member.Zone {
		demand.zone.add(own)
	}
	totals := Totals{Incomplete: demand.incomplete, Stale: demand.stale, AgeMillis: now.Sub(demand.oldestAt).Milliseconds()}
	workspaces := make(workspaceRates)
	for _, rates := range []workspaceRates{demand.region, demand.otherRegions} {
		for workspace := range rates {
			workspaces[workspace] = 0
		}
	}
	for _, row := range workspaces.demands() {
		totals.Workspaces = append(totals.Workspaces, WorkspaceTotal{
			Workspace:    row.Workspace,
			Zone:         roundRate(demand.zone[row.Workspace]),
			Region:       roundRate(demand.region[row.Workspace]),
			OtherRegions: roundRate(demand.otherRegions[row.Workspace]),
		})
	}
	return totals
}

// roundRate rounds a rate to 8 significant binary digits, an error of at most 0.2%. The
// other bytes of the number are then 0 and compress well.
func roundRate[T float32 | float64](rate T) float32 {
	const droppedBits = 16
	bits := math.Float32bits(float32(rate)) + 1<<(droppedBits-1)
	return math.Float32frombits(bits >> droppedBits << droppedBits)
}

// peerDemand returns the demand on all other instances, with that on the given zone of
// this region counted separately. A delegate sums up the reports that it received and the
// demand that the delegates of other regions sent; other instances use the totals of a
// delegate.
func (v *View) peerDemand(now time.Time, zone string) peerDemand {
	delegate := v.IsDelegate(now)
	sum := newPeerDemand(now)
	if !delegate && v.delegateDemand != nil {
		sum.region, sum.zone = maps.Clone(v.delegateDemand.region), maps.Clone(v.delegateDemand.zone)
		sum.includeFreshness(now, v.delegateDemand)
	} else {
		v.addRegionDemand(now, zone, &sum)
		sum.incomplete = v.delegateDemand == nil && len(v.peers) > 0 && (!delegate || v.awaitsFirstReport())
	}
	v.addOtherRegionsDemand(now, delegate, &sum)
	return sum
}

// addRegionDemand adds the reported demand of this region's other instances to sum.
func (v *View) addRegionDemand(now time.Time, zone string, sum *peerDemand) {
	for _, p := range v.peers {
		if p.status.Member.Region != v.self.Member.Region {
			continue
		}
		sum.stale = sum.stale || p.demandStale(now)
		if p.reportedWithin(now, SilentAfter) && p.status.State != Leaving {
			sum.includeTime(now, p.reportedAt)
		}
		sum.region.add(p.activity.WorkspaceDemand)
		if p.status.Member.Zone == zone {
			sum.zone.add(p.activity.WorkspaceDemand)
		}
	}
}

// addOtherRegionsDemand adds the demand on the other regions to sum. A delegate that
// still lacks the demand of a region goes on using the totals that it received from the
// previous delegate.
func (v *View) addOtherRegionsDemand(now time.Time, delegate bool, sum *peerDemand) {
	missing := v.missesRegionDemand()
	if v.delegateDemand != nil && (!delegate || missing) && v.hasMembersInOtherRegions() {
		sum.otherRegions = maps.Clone(v.delegateDemand.otherRegions)
		sum.incomplete = sum.incomplete || v.delegateDemand.incomplete
		sum.includeFreshness(now, v.delegateDemand)
		return
	}
	sum.incomplete = sum.incomplete || missing
	for region, received := range v.regionDemands {
		if v.hasMembersIn(region) {
			sum.otherRegions.add(received.demands)
			sum.stale = sum.stale || received.stale
			sum.includeTime(now, received.madeAt)
		}
	}
}

// missesRegionDemand reports whether the demand of another region that has instances has
// not been received yet.
func (v *View) missesRegionDemand() bool {
	for _, p := range v.peers {
		region := p.status.Member.Region
		if _, found := v.regionDemands[region]; !found && region != v.self.Member.Region {
			return true
		}
	}
	return false
}

// awaitsFirstReport reports whether other instances of this region are known but none of
// them has sent a report to this instance.
func (v *View) awaitsFirstReport() bool {
	known := false
	for _, p := range v.peers {
		if p.status.Member.Region != v.self.Member.Region {
			continue
		}
		if !p.reportedAt.IsZero() {
			return false
		}
		known = true
	}
	return known
}

// hasMembersInOtherRegions reports whether an instance of another region is known.
func (v *View) hasMembersInOtherRegions() bool {
	return v.countMembers(func(m Member) bool { return m.Region != v.self.Member.Region }) > 0
}
