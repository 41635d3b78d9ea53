package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Demand is the arrival of requests of a workspace, per second.
type Demand struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack  struct{} `msgpack:",as_array"`
	Workspace string
	Rate      float32
}

// Totals is the demand of workspaces on all instances, as a delegate knows it: what
// a member of its region needs, which does not grow with the regions.
type Totals struct {
	Rows []Total `msgpack:"w,omitempty"`
	// Blind says that a region with instances has told nothing yet, Stale that part of
	// the demand is from before its instances fell silent.
	Blind bool `msgpack:"b,omitempty"`
	Stale bool `msgpack:"o,omitempty"`
	// AgeMillis is how old the oldest news is that the rows hold, but for stale ones.
	AgeMillis int64 `msgpack:"a,omitempty"`
}

// Total is the demand of a workspace on the member's zone, on its whole region and on
// all other regions, per second.
type Total struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack  struct{} `msgpack:",as_array"`
	Workspace string
	Zone      float32
	Region    float32
	Abroad    float32
}

// toldDemand is the demand on another region and when it was summed up there.
type toldDemand struct {
	rows  []Demand
	stale bool
	at    time.Time
}

// demandView is the demand as this instance knows it, without its own.
type demandView struct {
	region, zone, abroad rates
	blind, stale         bool
	// at is when the oldest news in it was made, but for stale ones.
	at time.Time
}

// newDemandView returns a view of nothing, as of a time.
func newDemandView(at time.Time) demandView {
	return demandView{region: make(rates), zone: make(rates), abroad: make(rates), at: at}
}

// from notes that the view holds news of a time; those of instances that have fallen
// silent make it stale instead.
func (v *demandView) from(now, at time.Time) {
	if now.Sub(at) > SilentAfter {
		v.stale = true
	} else if at.Before(v.at) {
		v.at = at
	}
}

// take notes that the view holds what another one holds.
func (v *demandView) take(now time.Time, other *demandView) {
	v.stale = v.stale || other.stale
	v.from(now, other.at)
}

// rates are requests per second by workspace.
type rates map[string]float64

func (r rates) add(rows []Demand) {
	for _, d := range rows {
		r[d.Workspace] += float64(d.Rate)
	}
}

// take takes rows out. What is left of sums that were rounded on the way is none.
func (r rates) take(rows []Demand) {
	for _, d := range rows {
		if left := r[d.Workspace] - float64(d.Rate); left > rounding {
			r[d.Workspace] = left
		} else {
			delete(r, d.Workspace)
		}
	}
}

// rounding is the demand, in requests per second, below which a difference of sums
// counts as none.
const rounding = 1e-3

// rows returns the rates ordered by workspace.
func (r rates) rows() []Demand {
	rows := make([]Demand, 0, len(r))
	for workspace, rate := range r {
		rows = append(rows, Demand{Workspace: workspace, Rate: float32(rate)})
	}
	slices.SortFunc(rows, func(a, b Demand) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return rows
}

// Demanded takes the demand on another region, from an exchange of delegates.
func (c *Core) Demanded(now time.Time, digest Digest) {
	at := now.Add(-time.Duration(digest.AgeMillis) * time.Millisecond)
	if last, found := c.demands[digest.Region]; found && at.Before(last.at) {
		return
	}
	c.demands[digest.Region] = toldDemand{rows: digest.Activity.Demand, stale: digest.Stale, at: at}
}

// Totaled takes the totals that a delegate told; own is this instance's part of them.
// Stale or blind ones replace better ones at once: in a partition that has just begun,
// demand from before it would let shares grow on both sides.
func (c *Core) Totaled(now time.Time, totals Totals, own []Demand) {
	told := newDemandView(now.Add(-time.Duration(totals.AgeMillis) * time.Millisecond))
	told.blind, told.stale = totals.Blind, totals.Stale
	for _, row := range totals.Rows {
		told.zone[row.Workspace] = float64(row.Zone)
		told.region[row.Workspace] = float64(row.Region)
		told.abroad[row.Workspace] = float64(row.Abroad)
	}
	told.zone.take(own)
	told.region.take(own)
	c.told = &told
}

// Totals returns the totals for a member of a zone of this region. own is this
// instance's part.
func (c *Core) Totals(now time.Time, zone string, own []Demand) Totals {
	view := c.viewed(now, zone)
	view.region.add(own)
	if zone == c.self.Member.Zone {
		view.zone.add(own)
	}
	totals := Totals{Blind: view.blind, Stale: view.stale, AgeMillis: now.Sub(view.at).Milliseconds()}
	all := make(rates)
	for _, part := range []rates{view.region, view.abroad} {
		for workspace := range part {
			all[workspace] = 0
		}
	}
	for _, row := range all.rows() {
		totals.Rows = append(totals.Rows, Total{
			Workspace: row.Workspace,
			Zone:      float32(view.zone[row.Workspace]),
			Region:    float32(view.region[row.Workspace]),
			Abroad:    float32(view.abroad[row.Workspace]),
		})
	}
	return totals
}

// viewed returns the demand on all other instances, a zone of this region apart: a
// delegate sums up the reports to it and what other regions' delegates told, the
// others have it from a delegate.
func (c *Core) viewed(now time.Time, zone string) demandView {
	delegate := c.IsDelegate(now)
	view := newDemandView(now)
	if !delegate && c.told != nil {
		view.region, view.zone = maps.Clone(c.told.region), maps.Clone(c.told.zone)
		view.take(now, c.told)
	} else {
		c.sumRegion(now, zone, &view)
		view.blind = c.told == nil && len(c.peers) > 0 && (!delegate || c.unreported())
	}
	c.sumAbroad(now, delegate, &view)
	return view
}

// sumRegion adds the reports of this region to a view.
func (c *Core) sumRegion(now time.Time, zone string, view *demandView) {
	for _, p := range c.peers {
		if p.status.Member.Region != c.self.Member.Region {
			continue
		}
		view.stale = view.stale || p.stale(now)
		if p.reports(now, SilentAfter) && p.status.State != Leaving {
			view.from(now, p.reportedAt)
		}
		view.region.add(p.activity.Demand)
		if p.status.Member.Zone == zone {
			view.zone.add(p.activity.Demand)
		}
	}
}

// sumAbroad adds the demand on the other regions to a view. A delegate that has not
// heard all of them goes on with what its predecessor told.
func (c *Core) sumAbroad(now time.Time, delegate bool, view *demandView) {
	unheard := c.unheard()
	if c.told != nil && (!delegate || unheard) && c.knowsAbroad() {
		view.abroad = maps.Clone(c.told.abroad)
		view.blind = view.blind || c.told.blind
		view.take(now, c.told)
		return
	}
	view.blind = view.blind || unheard
	for region, told := range c.demands {
		if c.knows(region) {
			view.abroad.add(told.rows)
			view.stale = view.stale || told.stale
			view.from(now, told.at)
		}
	}
}

// unheard reports whether another region has instances and has told no demand.
func (c *Core) unheard() bool {
	for _, p := range c.peers {
		region := p.status.Member.Region
		if _, told := c.demands[region]; !told && region != c.self.Member.Region {
			return true
		}
	}
	return false
}

// unreported reports whether other instances of this region are known and none has
// reported here.
func (c *Core) unreported() bool {
	known := false
	for _, p := range c.peers {
		if p.status.Member.Region != c.self.Member.Region {
			continue
		}
		if !p.reportedAt.IsZero() {
			return false
		}
		known = true
	}
	return known
}

// knowsAbroad reports whether an instance of another region is known.
func (c *Core) knowsAbroad() bool {
	return c.known(func(m Member) bool { return m.Region != c.self.Member.Region }) > 0
}
