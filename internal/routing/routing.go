// Package routing runs calls on the upstream endpoints of an availability zone.
//
// A table of endpoints is built whole from a configuration and swapped for
// readers; endpoints and their counts outlive a table while they have requests
// in flight. Only endpoints that this instance owns (package ownership) get
// requests, and never more than their slots. A slot is freed when its exchange
// has ended, and CancelLinger later when the request was cancelled, since the
// upstream may still work on it.
//
// The choice is the better of two endpoints drawn at random, by requests in
// flight times recent latency. A cold endpoint opens its slots one by one. One
// that stands out by latency or failures is ejected for a while, at most
// EjectShare of them; one that refuses connections rests. Reports of health and
// load multiply the score and never empty the set. One that says it drains
// gets no new work.
//
// When no slot is free, a workspace below its fair share waits for at most
// QueueWait and the others are refused at once (package fairness). Lookups are
// tried again and hedged within a budget that is a share of first tries, and
// not hedged above HedgeBelow of the slots. An action is tried again only when
// the upstream cannot have begun it. A request that cost two endpoints their
// connection is quarantined (package quarantine).
//
// How it fails: endpoints whose owner is silent have no user (see package
// ownership). With all owned endpoints slow, none stands out and all are used.
package routing

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/configuration"
	"lovagescale/internal/membership"
	"lovagescale/internal/quarantine"
)

// service is the zone's endpoints of one service with what they share.
type service struct {
	name      string
	endpoints []*endpoint
	*shared
}

// shared outlives tables.
type shared struct {
	budget   *budget
	gate     *gate
	latency  atomic.Int64 // recent latency of lookups in nanoseconds
	reviewMu sync.Mutex
}

// table holds the services that the zone has endpoints of.
type table struct {
	revision uint64
	services map[string]*service
}

// Router is the stage that runs calls on endpoints of its zone.
type Router struct {
	instance string
	zone     string
	options  Options
	metrics  *instruments

	mu       sync.Mutex // held while a table is built
	view     *membership.View
	known    map[string]*endpoint // by key, also those with requests in flight only
	shares   map[string]*shared
	current  atomic.Pointer[table]
	siblings atomic.Pointer[owners]

	// rights is nil before ownership is in force.
	rights   atomic.Pointer[rights]
	random   *rand.Rand
	randomMu sync.Mutex

	quarantineMu sync.Mutex
	quarantine   *quarantine.Table
	struck       atomic.Int64 // records in quarantine
	tell         func(quarantine.Strike)

	workspaces workspaceStats
}

// Right is the right to use one endpoint.
type Right struct {
	// Key names the endpoint.
	Key string
	// Of divides its slots; 1 gives them all.
	Of int
	// First adds the remainder of the division.
	First bool
}

// rights says which endpoints this instance owns.
type rights struct {
	held   map[string]Right
	expiry time.Time
}

// New returns a router of the instance that uses endpoints of zone only, with
// default options.
func New(instance, zone string, random *rand.Rand) *Router {
	return NewWithOptions(instance, zone, random, metrics.NewRegistry(), Options{})
}

// NewWithOptions returns a router of the instance that uses endpoints of zone
// only.
func NewWithOptions(instance, zone string, random *rand.Rand, registry metrics.Registry, options Options) *Router {
	options.fill()
	router := &Router{
		instance:   instance,
		zone:       zone,
		options:    options,
		metrics:    newInstruments(registry),
		known:      make(map[string]*endpoint),
		shares:     make(map[string]*shared),
		random:     random,
		quarantine: quarantine.NewTable(options.Quarantine),
	}
	router.workspaces.init()
	router.current.Store(&table{services: make(map[string]*service)})
	router.siblings.Store(&owners{})
	return router
}

// Apply builds the table of a configuration and swaps it in.
func (r *Router) Apply(c *configuration.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := &table{revision: c.Revision, services: make(map[string]*service, len(c.Services))}
	listed := make(map[string]bool)
	for name, configured := range c.Services {
		s := &service{name: name, shared: r.shareOf(name)}
		for _, address := range configured.Endpoints[r.zone] {
			listed[keyOf(name, address)] = true
			s.endpoints = append(s.endpoints, r.keepOrCreate(address, configured))
		}
		next.services[name] = s
	}
	for key, e := range r.known {
		if listed[key] {
			continue
		}
		e.removed.Store(true)
		e.pool.Close()
		if e.inFlight.Load() == 0 {
			delete(r.known, key)
		}
	}
	r.current.Store(next)
	r.rankOwners()
}

func (r *Router) shareOf(name string) *shared {
	s, found := r.shares[name]
	if !found {
		s = &shared{budget: newBudget(r.options.RetryShare), gate: newGate(r.options.QueueLength)}
		r.shares[name] = s
	}
	return s
}

func (r *Router) keepOrCreate(address string, configured configuration.Service) *endpoint {
	key := keyOf(configured.Name, address)
	e, found := r.known[key]
	if found {
		e.update(configured)
		return e
	}
	e = newEndpoint(address, configured)
	right := Right{Key: key, Of: 1}
	if current := r.rights.Load(); current != nil {
		right = current.held[key]
	}
	e.setRight(right)
	r.known[key] = e
	return e
}

// SetOwned says which endpoints this instance may use until expiry. A router
// that was never told uses all of its zone.
func (r *Router) SetOwned(held []Right, expiry time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	owned := make(map[string]Right, len(held))
	for _, right := range held {
		owned[right.Key] = right
	}
	r.rights.Store(&rights{held: owned, expiry: expiry})
	for key, e := range r.known {
		e.setRight(owned[key])
	}
}

// permitted reports whether the rights of this instance have not expired.
func (r *Router) permitted() bool {
	current := r.rights.Load()
	return current == nil || r.options.Now().Before(current.expiry)
}

// InFlight returns the requests that this instance has in flight at the
// endpoint with the key.
func (r *Router) InFlight(key string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, found := r.known[key]; found {
		return e.inFlight.Load()
	}
	return 0
}

// Endpoints returns the keys of the zone's endpoints with the service's
// timeout.
func Endpoints(c *configuration.Configuration, zone string) map[string]time.Duration {
	bounds := make(map[string]time.Duration)
	for name, configured := range c.Services {
		for _, address := range configured.Endpoints[zone] {
			bounds[keyOf(name, address)] = configured.Timeout
		}
	}
	return bounds
}

// EndpointState is one endpoint in a state dump.
type EndpointState struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int64  `json:"slots"`
	// MaxInFlight is the part of the slots that this instance may use.
	MaxInFlight   int64   `json:"max_in_flight"`
	InFlight      int64   `json:"in_flight"`
	Connections   int     `json:"connections"`
	Owned         bool    `json:"owned"`
	Draining      bool    `json:"draining"`
	Ejected       bool    `json:"ejected"`
	Down          bool    `json:"down"`
	LatencyMillis float64 `json:"latency_ms"`
	Answers       int     `json:"answers_since_cold"`
	Distrust      float64 `json:"distrust"`
}

// State returns the endpoints for a state dump, in order.
func (r *Router) State() []EndpointState {
	states := []EndpointState{}
	now := r.options.Now()
	services := r.current.Load().services
	for name, s := range services {
		for _, e := range s.endpoints {
			states = append(states, e.state(name, now))
		}
	}
	slices.SortFunc(states, func(a, b EndpointState) int {
		return strings.Compare(keyOf(a.Service, a.Address), keyOf(b.Service, b.Address))
	})
	return states
}

func (e *endpoint) state(service string, now time.Time) EndpointState {
	h := e.look()
	return EndpointState{
		Service:       service,
		Address:       e.address,
		Slots:         e.slots.Load(),
		MaxInFlight:   e.limit(),
		InFlight:      e.inFlight.Load(),
		Connections:   e.pool.Open(),
		Owned:         e.owned.Load(),
		Draining:      now.Before(h.drainingUntil) || now.Before(h.reportedUntil),
		Ejected:       now.Before(h.ejectedUntil),
		Down:          now.Before(h.downUntil),
		LatencyMillis: float64(h.latency) / float64(time.Millisecond),
		Answers:       h.samples,
		Distrust:      max(h.distrust, 1),
	}
}
