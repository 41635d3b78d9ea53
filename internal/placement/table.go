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
	// Overfull is the load that is accepted above an endpoint's slots, as a share
	// of the slots.
	Overfull float64
	// Tried are the endpoints that the request was sent to.
	Tried []*Endpoint
}

// spill is the load, as a share of the slots, from which an object goes to its
// next endpoint. Waiting for a little is shorter than a run of an object that the
// endpoint does not know.
const spill = 1.2

// Choose returns an endpoint and counts the request on it, or false when none
// in the region has room. End must be called for the endpoint.
func (t *Table) Choose(now time.Time, ask Ask) (*Endpoint, bool) {
	endpoints := t.upstreams[ask.Upstream][ask.Region]
	c := newChooser(now, ask)
	for _, e := range endpoints {
		c.consider(e)
	}
	best := c.best()
	if best == nil {
		return nil, false
	}
	best.begin(now)
	return best, true
}

// End takes the result of a request at an endpoint of Choose.
func (t *Table) End(now time.Time, e *Endpoint, result Result, pace float64) {
	e.end(now, result, pace)
}

// chooser compares the endpoints for one request.
type chooser struct {
	now time.Time
	ask Ask
	// object is the endpoint with the highest rank for the object among those
	// below the bound.
	object     *Endpoint
	objectRank uint64
	// least is the endpoint with the lowest load by slot that has room.
	least     *Endpoint
	leastFill float64
	// poor is the like of least among the endpoints that are left alone.
	poor     *Endpoint
	poorFill float64
}

func newChooser(now time.Time, ask Ask) *chooser {
	return &chooser{now: now, ask: ask, leastFill: math.Inf(1), poorFill: math.Inf(1)}
}

func (c *chooser) consider(e *Endpoint) {
	fill := float64(e.load(c.now)) / float64(e.Slots)
	if fill >= 1+c.ask.Overfull || c.tried(e) {
		return
	}
	fit, cold := e.condition(c.now)
	if fit == down || (cold && (!c.ask.AtHome || !e.takeCold(c.now))) {
		return
	}
	if fit == poor {
		if fill < c.poorFill {
			c.poor, c.poorFill = e, fill
		}
		return
	}
	if fill < c.leastFill {
		c.least, c.leastFill = e, fill
	}
	if c.ask.Object == 0 || fill >= spill {
		return
	}
	if rank := mix(c.ask.Object, e.seed); c.object == nil || rank > c.objectRank {
		c.object, c.objectRank = e, rank
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

func (c *chooser) best() *Endpoint {
	for _, e := range []*Endpoint{c.object, c.least, c.poor} {
		if e != nil {
			return e
		}
	}
	return nil
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
