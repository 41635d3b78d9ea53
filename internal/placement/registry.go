package placement

import (
	"time"

	"lovagescale/internal/namedlimit"
	"lovagescale/internal/upstream"
)

// PoolFactory returns the connection pool of an endpoint.
type PoolFactory func(record Record) *upstream.Pool

// Registry is the set of registered endpoints. Only the control loop uses it.
type Registry struct {
	// zoneRegions is the region of each zone.
	zoneRegions map[string]string
	newPool     PoolFactory
	endpoints   map[string]*Endpoint
	// latest are the last known runs of endpoints, including removed ones.
	latest    map[string]lastRun
	evacuated map[string]bool
}

// lastRun is the last known run of an endpoint.
type lastRun struct {
	Record
	// departure is what was known of the run's leaving when its endpoint was removed or
	// replaced.
	departure departure
	// limit is the limit that the run named then.
	limit namedlimit.Limit
	// removed is set once the endpoint's entry is gone, or another instance knew it to be
	// draining or gone.
	removed bool
}

// maxLatest is the number of runs above which those of removed endpoints are dropped.
const maxLatest = 20000

// NewRegistry returns an empty registry. zoneRegions is the region of each zone.
func NewRegistry(zoneRegions map[string]string, newPool PoolFactory) *Registry {
	return &Registry{
		zoneRegions: zoneRegions,
		newPool:     newPool,
		endpoints:   make(map[string]*Endpoint),
		latest:      make(map[string]lastRun),
		evacuated:   make(map[string]bool),
	}
}

// ColdPolicy says how this instance treats a cold endpoint.
type ColdPolicy struct {
	// Duration is how long an endpoint stays cold.
	Duration time.Duration
	// Interval is the time between two requests of this instance to the endpoint. If it is
	// 0, this instance sends none.
	Interval time.Duration
}

// Register applies the record of an endpoint and reports whether it did. An endpoint that
// was restarted under its identifier replaces the previous one. A record that was written
// before one that is known already is ignored.
func (r *Registry) Register(now time.Time, record Record, policy ColdPolicy) bool {
	latest, seen := r.latest[record.ID]
	if seen && record.olderThan(latest.Record) {
		return false
	}
	known, found := r.endpoints[record.ID]
	if !found || !known.sameLifetime(record) {
		r.Remove(record.ID)
		known = newEndpoint(record, r.zoneRegions[record.Zone], r.newPool(record))
		if seen && latest.StartMillis == record.StartMillis {
			known.restore(r.latest[record.ID])
		}
		r.endpoints[record.ID] = known
	}
	r.storeLatest(lastRun{Record: record, departure: known.knownDeparture(), removed: false})
	if record.ColdLeft > 0 {
		known.SetCold(now, now.Add(record.ColdLeft), policy.Interval)
	}
	return true
}

// storeLatest stores the last run. If there are more than maxLatest, it drops those of
// removed endpoints.
func (r *Registry) storeLatest(record lastRun) {
	r.latest[record.ID] = record
	if len(r.latest) <= maxLatest {
		return
	}
	for id := range r.latest {
		if _, registered := r.endpoints[id]; !registered && id != record.ID {
			delete(r.latest, id)
		}
	}
}

// Remove removes an endpoint.
func (r *Registry) Remove(id string) {
	known, found := r.endpoints[id]
	if !found {
		return
	}
	known.Pool.SetRetired(true)
	delete(r.endpoints, id)
	last := r.latest[id]
	last.departure, last.limit, last.removed = known.knownDeparture(), known.limitState(), true
	r.latest[id] = last
}

// RegisterCopy applies the record of an endpoint as Register does, but the record is from a
// copy from which the store came back. It may be older than what is known: an endpoint that
// was removed stays removed until it writes a later record.
func (r *Registry) RegisterCopy(now time.Time, record Record, policy ColdPolicy) bool {
	if latest, seen := r.latest[record.ID]; seen && latest.removed && !latest.olderThan(record) {
		return false
	}
	return r.Register(now, record, policy)
}

// Depart applies what another instance knows of an endpoint that is draining or gone: the
// endpoint and start, and the sequence of its last record. The endpoint is removed unless
// a later record of it is known.
func (r *Registry) Depart(id string, startMillis int64, sequence uint64) {
	last := Record{ID: id, StartMillis: startMillis, Sequence: sequence}
	if latest, seen := r.latest[id]; seen && last.olderThan(latest.Record) {
		return
	}
	r.Remove(id)
	run := lastRun{Record: last, removed: true}
	if known := r.latest[id]; known.StartMillis == startMillis {
		run.departure, run.limit = known.departure, known.limit
	}
	r.storeLatest(run)
}

// Departed reports whether the endpoint is known to be draining or gone according to a
// record at least as late as the given one, and returns that record.
func (r *Registry) Departed(id string, startMillis int64, sequence uint64) (Record, bool) {
	latest, seen := r.latest[id]
	stated := Record{ID: id, StartMillis: startMillis, Sequence: sequence}
	if !seen || latest.olderThan(stated) || (!latest.removed && !latest.Draining) {
		return Record{}, false
	}
	return latest.Record, true
}

// SetLeaving records that another instance heard from a run of an endpoint that it is
// leaving. Another run of the endpoint is not affected.
func (r *Registry) SetLeaving(id string, startMillis int64) {
	if known, found := r.endpoints[id]; found && known.StartMillis == startMillis {
		known.raiseDeparture(leavingByReport)
		known.Pool.SetRetired(true)
	}
}

// ApplyLimitNews applies what another instance knows of the limit of a run of an endpoint.
func (r *Registry) ApplyLimitNews(now time.Time, id string, startMillis int64, news namedlimit.News) namedlimit.Change {
	known, found := r.endpoints[id]
	if !found || known.StartMillis != startMillis {
		return namedlimit.Unchanged
	}
	return known.applyLimitNews(now, news)
}

// Evacuate stops sending requests to the endpoints of a zone.
func (r *Registry) Evacuate(zone string) { r.evacuated[zone] = true }

// Restore ends the evacuation of a zone. Its endpoints count as cold at first.
func (r *Registry) Restore(now time.Time, zone string, policy func(*Endpoint) ColdPolicy) {
	if !r.evacuated[zone] {
		return
	}
	delete(r.evacuated, zone)
	for _, e := range r.endpoints {
		if e.Zone == zone {
			coldPolicy := policy(e)
			e.SetCold(now, now.Add(coldPolicy.Duration), coldPolicy.Interval)
		}
	}
}

// Evacuated returns the evacuated zones.
func (r *Registry) Evacuated() []string {
	zones := []string{}
	for zone := range r.evacuated {
		zones = append(zones, zone)
	}
	return zones
}

// Table returns a snapshot for the goroutines that serve requests.
func (r *Registry) Table() *Table {
	t := NewTable()
	for id, e := range r.endpoints {
		t.byID[id] = e
		t.byHash[uint32(e.hash)] = e
		if r.latest[id].Draining || r.evacuated[e.Zone] {
			continue
		}
		regions, found := t.upstreams[e.Upstream]
		if !found {
			regions = make(map[string][]*Endpoint)
			t.upstreams[e.Upstream] = regions
		}
		regions[e.Region] = append(regions[e.Region], e)
	}
	return t
}
