package placement

import (
	"time"

	"lovagescale/internal/upstream"
)

// PoolFactory returns the connections to an endpoint.
type PoolFactory func(record Record) *upstream.Pool

// Registry is the set of registered endpoints. It belongs to the control loop.
type Registry struct {
	zones     map[string]string
	pools     PoolFactory
	endpoints map[string]*Endpoint
	// latest are the last records, those of removed endpoints included.
	latest    map[string]Record
	evacuated map[string]bool
}

// maxLatest bounds the records that are remembered.
const maxLatest = 20000

// NewRegistry returns a registry; zones gives the region of each zone.
func NewRegistry(zones map[string]string, pools PoolFactory) *Registry {
	return &Registry{
		zones:     zones,
		pools:     pools,
		endpoints: make(map[string]*Endpoint),
		latest:    make(map[string]Record),
		evacuated: make(map[string]bool),
	}
}

// Cold is how an upstream's cold endpoints are treated by this instance.
type Cold struct {
	// Time is how long an endpoint stays cold after its start.
	Time time.Duration
	// Interval is the time between this instance's requests to it.
	Interval time.Duration
}

// Register takes an endpoint's record and reports whether it is news. An endpoint
// that started again under its identifier is a new one; a record that was written
// before one that is known, but came later, says nothing.
func (r *Registry) Register(now time.Time, record Record, cold Cold) bool {
	if latest, seen := r.latest[record.ID]; seen && record.older(latest) {
		return false
	}
	r.remember(record)
	known, found := r.endpoints[record.ID]
	if !found || !known.sameLifetime(record) {
		if found {
			known.Pool.Retire(true)
		}
		known = newEndpoint(record, r.zones[record.Zone], r.pools(record))
		r.endpoints[record.ID] = known
	}
	if record.ColdLeft > 0 {
		known.Chill(now, now.Add(record.ColdLeft), cold.Interval)
	}
	return true
}

// remember keeps the record; when there are too many, those of removed endpoints
// are dropped.
func (r *Registry) remember(record Record) {
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

// Remove forgets an endpoint.
func (r *Registry) Remove(id string) {
	known, found := r.endpoints[id]
	if !found {
		return
	}
	known.Pool.Retire(true)
	delete(r.endpoints, id)
}

// Evacuate says that a zone's endpoints are to get nothing.
func (r *Registry) Evacuate(zone string) { r.evacuated[zone] = true }

// Restore ends a zone's evacuation; its endpoints count as cold.
func (r *Registry) Restore(now time.Time, zone string, cold func(upstream string) Cold) {
	if !r.evacuated[zone] {
		return
	}
	delete(r.evacuated, zone)
	for _, e := range r.endpoints {
		if e.Zone == zone {
			c := cold(e.Upstream)
			e.Chill(now, now.Add(c.Time), c.Interval)
		}
	}
}

// Evacuated returns the zones whose endpoints get nothing.
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
		t.all[id] = e
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
