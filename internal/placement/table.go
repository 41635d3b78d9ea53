// Package placement decides where a request runs: the region by shares that
// move slowly, and in it the endpoint that handled the request's object lately,
// within bounds on the load of each endpoint.
//
// Endpoints register themselves. The control loop keeps a Registry of them and
// publishes an immutable Table; goroutines that serve requests choose from the
// Table and count their requests on its endpoints.
//
// The load of an endpoint is what this instance has under way there and what
// the other instances last told. An endpoint that is slow, fails often or
// answers nothing is left alone for a while; a cold one gets spaced requests
// from the instances of its region only.
//
// How it fails: without news of other instances the load is underestimated and
// endpoints queue or refuse, which their refusals show. When no endpoint of a
// region may be used, its share goes to the other regions at once.
package placement

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table is the endpoints that may get requests, by upstream and region. It is
// immutable but for the state of its endpoints.
type Table struct {
	upstreams map[string]map[string][]*Endpoint
	all       map[string]*Endpoint
}

// NewTable returns a table without endpoints.
func NewTable() *Table {
	return &Table{upstreams: make(map[string]map[string][]*Endpoint), all: make(map[string]*Endpoint)}
}

// Endpoint returns an endpoint by its identifier, or nil.
func (t *Table) Endpoint(id string) *Endpoint { return t.all[id] }

// Endpoints returns all endpoints that are registered, leaving ones included.
func (t *Table) Endpoints() map[string]*Endpoint { return t.all }

// Capacity returns the slots of the upstream's endpoints that are not down, by
// region.
func (t *Table) Capacity(now time.Time, upstream string) map[string]float64 {
	slots := make(map[string]float64)
	for region, endpoints := range t.upstreams[upstream] {
		for _, e := range endpoints {
			if fit, cold := e.condition(now); fit == sound && !cold {
				slots[region] += float64(e.Slots)
			}
		}
	}
	return slots
}

// Fill returns the load of the upstream's endpoints as a multiple of their slots, by
// region.
func (t *Table) Fill(now time.Time, upstream string) map[string]float64 {
	fill := make(map[string]float64)
	for region, endpoints := range t.upstreams[upstream] {
		fill[region] = meanFill(now, endpoints)
	}
	return fill
}

// Upstreams returns the names of the upstreams that have endpoints.
func (t *Table) Upstreams() []string {
	names := make([]string, 0, len(t.upstreams))
	for name := range t.upstreams {
		names = append(names, name)
	}
	return names
}

// Ask is a request that needs an endpoint.
type Ask struct {
	Upstream string
	// Region is where the request is to run.
	Region string
	// AtHome says that Region is this instance's own, which may use cold
	// endpoints.
	AtHome bool
	// Object is what the request concerns; 0 is nothing.
	Object uint64
	// MaxFill is the load, as a multiple of the slots, below which the object's
	// own endpoint takes the request.
	MaxFill float64
	// Tried are the endpoints that the request was sent to.
	Tried []*Endpoint
}

// CrowdedFill is the mean load of a region, as a multiple of its slots, from which
// no request goes to another endpoint than the object's own: what long runs of
// unknown objects take would be missing to all others, who would then spill too.
const CrowdedFill = 0.6

// SpillFill is the load, as a multiple of the slots, below which another endpoint
// than the object's own takes a request. The other one does not know the object
// and needs several times as long, which only pays where there is room.
const SpillFill = 0.75

// NoRoomError reports that no endpoint of a region takes a request.
type NoRoomError struct {
	Upstream string
	Region   string
	// Registered is the endpoints of the region, Usable those of them that may get
	// requests now, and Cold those that must wait for a turn.
	Registered, Usable, Cold int
	// OwnFill is the load of the object's endpoint as a multiple of its slots, and
	// MaxFill the load that was allowed.
	OwnFill, MaxFill float64
}

// Error implements the error interface.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("upstream %q has no room in region %q: %d of %d endpoints are usable, %d wait for a turn; the object's one is filled to %.2f of %.2f",
		e.Upstream, e.Region, e.Usable, e.Registered, e.Cold, e.OwnFill, e.MaxFill)
}

// Choose returns an endpoint and counts the request on it, or a *NoRoomError.
// End must be called for the endpoint.
func (t *Table) Choose(now time.Time, ask Ask) (*Endpoint, error) {
	endpoints := t.upstreams[ask.Upstream][ask.Region]
	c := chooser{now: now, ask: ask, least: lowest{fill: math.Inf(1)}}
	c.poorAllowed = mostArePoor(now, endpoints)
	c.crowded = meanFill(now, endpoints) >= CrowdedFill
	for _, e := range endpoints {
		c.consider(e)
	}
	best, cold := c.best()
	if best == nil || (cold && !best.takeCold(now)) {
		return nil, &NoRoomError{Upstream: ask.Upstream, Region: ask.Region, Registered: len(endpoints),
			Usable: c.usable, Cold: c.waiting, OwnFill: c.own.fill, MaxFill: ask.MaxFill}
	}
	best.begin(now)
	return best, nil
}

// End takes the result of a request at an endpoint of Choose.
func (t *Table) End(now time.Time, e *Endpoint, result Result, pace float64) {
	e.end(now, result, pace)
}

// meanFill returns the load of the endpoints as a multiple of their slots.
func meanFill(now time.Time, endpoints []*Endpoint) float64 {
	load, slots := 0, 0
	for _, e := range endpoints {
		load += e.load(now)
		slots += e.Slots
	}
	return float64(load) / math.Max(float64(slots), 1)
}

// mostArePoor reports whether more endpoints are poor than sound. Then the cause
// is common to them, and going by turns would only cost their knowledge of
// objects.
func mostArePoor(now time.Time, endpoints []*Endpoint) bool {
	counts := make([]int, sound+1)
	for _, e := range endpoints {
		fit, _ := e.condition(now)
		counts[fit]++
	}
	return counts[poor] > counts[sound]
}

// ranked is the endpoint with the highest rank for the object so far.
type ranked struct {
	endpoint *Endpoint
	rank     uint64
	fill     float64
	cold     bool
}

func (r *ranked) take(e *Endpoint, rank uint64, fill float64, cold bool) {
	if r.endpoint == nil || rank > r.rank {
		*r = ranked{e, rank, fill, cold}
	}
}

// lowest is the endpoint with the lowest load by slot so far.
type lowest struct {
	endpoint *Endpoint
	fill     float64
	cold     bool
}

// chooser compares the endpoints for one request.
type chooser struct {
	now time.Time
	ask Ask
	// poorAllowed treats poor endpoints like sound ones.
	poorAllowed bool
	// crowded keeps requests at their object's endpoint.
	crowded bool
	// own is the object's endpoint, spill its first one below SpillFill.
	own   ranked
	spill ranked
	least lowest
	// usable counts the endpoints that were compared, waiting the cold ones that
	// had no turn.
	usable  int
	waiting int
}

func (c *chooser) consider(e *Endpoint) {
	fit, cold := e.condition(c.now)
	if fit == down || (fit == poor && !c.poorAllowed) || c.tried(e) {
		return
	}
	if cold && (!c.ask.AtHome || !e.coldTurn(c.now)) {
		c.waiting++
		return
	}
	c.usable++
	fill := float64(e.load(c.now)) / float64(e.Slots)
	if fill < c.least.fill {
		c.least = lowest{e, fill, cold}
	}
	if c.ask.Object == 0 {
		return
	}
	rank := mix(c.ask.Object, e.seed)
	c.own.take(e, rank, fill, cold)
	if fill < SpillFill && !c.crowded {
		c.spill.take(e, rank, fill, cold)
	}
}

func (c *chooser) tried(e *Endpoint) bool {
	for _, tried := range c.ask.Tried {
		if tried == e {
			return true
		}
	}
	return false
}

// best returns the endpoint for the request and whether it is cold.
func (c *chooser) best() (*Endpoint, bool) {
	if c.own.endpoint != nil && c.own.fill < c.ask.MaxFill {
		return c.own.endpoint, c.own.cold
	}
	if c.ask.Object != 0 {
		return c.spill.endpoint, c.spill.cold
	}
	if c.least.fill < math.Max(c.ask.MaxFill, 1) {
		return c.least.endpoint, c.least.cold
	}
	return nil, false
}

// Object returns the identity of an object's name on an upstream.
func Object(upstream, route, name string) uint64 {
	if name == "" {
		return 0
	}
	return hashText(upstream+"\x00"+route+"\x00"+name) | 1
}

func hashText(text string) uint64 { return xxhash.Sum64String(text) }

// mix returns the rank of an endpoint for an object; it is the finalizer of
// MurmurHash3 over both.
func mix(object, endpoint uint64) uint64 {
	h := object ^ (endpoint * 0x9e3779b97f4a7c15)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
