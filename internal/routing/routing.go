// Package routing runs calls on the upstream endpoints of an availability zone.
//
// Each configuration is compiled into a new table of endpoints, which replaces the old one
// atomically. An endpoint with requests in flight is kept with its counts when a new table
// no longer lists it. Only endpoints that this instance owns (package ownership) get
// requests, and never more at a time than their slots. A slot is released when its exchange
// ends. If the request was cancelled it is released CancelLinger later, since the upstream
// may still work on the request.
//
// An endpoint is selected by power of two choices: of two endpoints drawn at random, the
// one with the lower product of requests in flight and average latency. An endpoint's own
// reports of its health and load raise that product, but never exclude all endpoints. An
// endpoint is cold when it is new, was down or has just become owned by this instance: it
// starts with one slot and gets one more after each RampRequests answers (slow start). An
// endpoint whose latency or failures make it an outlier is ejected for a while, with at most
// EjectShare of the endpoints ejected at the same time. One that refuses or drops
// connections is down for a short time. One that announces in an answer that it is draining
// gets no new requests.
//
// When no slot is free, a workspace below its fair share waits for at most QueueWait and
// the others are refused at once (package fairness). Retries and hedges draw on one budget
// that is a share of first attempts. Lookups are not hedged while more than HedgeBelow of
// the slots are in use. An action is never hedged, and is retried only if no upstream can
// have begun it. A request during which endpoints dropped the connection twice is
// quarantined (package quarantine).
//
// Failure modes: endpoints whose owner is silent are used by no instance (see package
// ownership). If all owned endpoints are slow, none is an outlier and all stay in use.
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

// service holds the endpoints that one service has in the zone, and the state that they
// share.
type service struct {
	name      string
	endpoints []*endpoint
	*serviceState
}

// serviceState is the state of a service that is kept when the table is replaced.
type serviceState struct {
	retryBudget    *retryBudget
	slotQueue      *slotQueue
	averageLatency atomic.Int64 // moving average over answers, in nanoseconds
	ejectionMu     sync.Mutex   // serializes ejections, so that EjectShare holds
}

// table holds the services of one configuration with their endpoints in the zone. It is
// not modified after it is published.
type table struct {
	revision uint64
	services map[string]*service
}

// Router is the call.Stage that runs calls on the endpoints of its zone.
type Router struct {
	instance string
	zone     string
	options  Options
	metrics  *routerMetrics

	// mu guards view, endpoints and serviceStates, and serializes the updates of table,
	// owners and rights.
	mu   sync.Mutex
	view *membership.View
	// endpoints holds by key the endpoints that the table lists, and those that it no
	// longer lists but that had requests in flight when it was built.
	endpoints     map[string]*endpoint
	serviceStates map[string]*serviceState
	table         atomic.Pointer[table]
	owners        atomic.Pointer[ownersByService]

	// rights is nil until SetRights is called.
	rights   atomic.Pointer[heldRights]
	random   *rand.Rand
	randomMu sync.Mutex

	quarantineMu      sync.Mutex
	quarantine        *quarantine.Table
	quarantineRecords atomic.Int64 // quarantine.Len(), readable without the lock
	announceStrike    func(quarantine.Strike)

	workspaceStats workspaceStats
}

// Right is the right to use one endpoint, or a part of its slots while other instances may
// hold the endpoint as well. The zero Right gives none.
type Right struct {
	// Key is the key of the endpoint.
	Key string
	// SlotDivisor is the number that the endpoint's slots are divided by; 1 gives all.
	SlotDivisor int
	// TakesRemainder adds the remainder of the division to this instance's slots.
	TakesRemainder bool
}

// heldRights holds the rights of this instance and the time at which all of them expire.
type heldRights struct {
	byKey  map[string]Right
	expiry time.Time
}

// New returns a router for the instance that uses only endpoints of the zone, with default
// options and a metrics registry of its own.
func New(instance, zone string, random *rand.Rand) *Router {
	return NewWithOptions(instance, zone, random, metrics.NewRegistry(), Options{})
}

// NewWithOptions returns a router for the instance that uses only endpoints of the zone.
func NewWithOptions(instance, zone string, random *rand.Rand, registry metrics.Registry, options Options) *Router {
	options.setDefaults()
	router := &Router{
		instance:      instance,
		zone:          zone,
		options:       options,
		metrics:       newRouterMetrics(registry),
		endpoints:     make(map[string]*endpoint),
		serviceStates: make(map[string]*serviceState),
		random:        random,
		quarantine:    quarantine.NewTable(options.Quarantine),
	}
	router.workspaceStats.init()
	router.table.Store(&table{services: make(map[string]*service)})
	router.owners.Store(&ownersByService{})
	return router
}

// ApplyConfiguration builds a table from the configuration and replaces the current one.
func (r *Router) ApplyConfiguration(c *configuration.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	newTable := &table{revision: c.Revision, services: make(map[string]*service, len(c.Services))}
	listed := make(map[string]bool)
	for name, configuredService := range c.Services {
		s := &service{name: name, serviceState: r.serviceStateFor(name)}
		for _, address := range configuredService.Endpoints[r.zone] {
			listed[endpointKey(name, address)] = true
			s.endpoints = append(s.endpoints, r.endpointFor(address, configuredService))
		}
		newTable.services[name] = s
	}
	for key, e := range r.endpoints {
		if listed[key] {
			continue
		}
		e.removed.Store(true)
		e.pool.Close()
		if e.inFlight.Load() == 0 {
			delete(r.endpoints, key)
		}
	}
	r.table.Store(newTable)
	r.updateOwners()
}

func (r *Router) serviceStateFor(name string) *serviceState {
	s, found := r.serviceStates[name]
	if !found {
		s = &serviceState{retryBudget: newRetryBudget(r.options.RetryShare), slotQueue: newSlotQueue(r.options.QueueLength)}
		r.serviceStates[name] = s
	}
	return s
}

// endpointFor returns the endpoint with the limits of the configured service. A new
// endpoint gets the right that this instance holds to it, or a right to all its slots if
// SetRights has not been called.
func (r *Router) endpointFor(address string, configuredService configuration.Service) *endpoint {
	key := endpointKey(configuredService.Name, address)
	e, found := r.endpoints[key]
	if found {
		e.reconfigure(configuredService)
		return e
	}
	e = newEndpoint(address, configuredService)
	right := Right{Key: key, SlotDivisor: 1}
	if current := r.rights.Load(); current != nil {
		right = current.byKey[key]
	}
	e.setRight(right)
	r.endpoints[key] = e
	return e
}

// SetRights replaces the rights of this instance, which are valid until expiry. Before the
// first call the router uses all endpoints of its zone.
func (r *Router) SetRights(rights []Right, expiry time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rightsByKey := make(map[string]Right, len(rights))
	for _, right := range rights {
		rightsByKey[right.Key] = right
	}
	r.rights.Store(&heldRights{byKey: rightsByKey, expiry: expiry})
	for key, e := range r.endpoints {
		e.setRight(rightsByKey[key])
	}
}

// rightsValid reports whether the rights of this instance have not expired. It is true
// until SetRights is called.
func (r *Router) rightsValid() bool {
	current := r.rights.Load()
	return current == nil || r.options.Now().Before(current.expiry)
}

// InFlight returns the number of requests that this instance has in flight at the endpoint
// with the key.
func (r *Router) InFlight(key string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, found := r.endpoints[key]; found {
		return e.inFlight.Load()
	}
	return 0
}

// EndpointTimeouts maps the key of each endpoint in the zone to the timeout of its service.
func EndpointTimeouts(c *configuration.Configuration, zone string) map[string]time.Duration {
	timeouts := make(map[string]time.Duration)
	for name, configuredService := range c.Services {
		for _, address := range configuredService.Endpoints[zone] {
			timeouts[endpointKey(name, address)] = configuredService.Timeout
		}
	}
	return timeouts
}

// EndpointState describes one endpoint in a state dump.
type EndpointState struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int64  `json:"slots"`
	// MaxInFlight is the number of slots that this instance may use.
	MaxInFlight   int64   `json:"max_in_flight"`
	InFlight      int64   `json:"in_flight"`
	Connections   int     `json:"connections"`
	Owned         bool    `json:"owned"`
	Draining      bool    `json:"draining"`
	Ejected       bool    `json:"ejected"`
	Down          bool    `json:"down"`
	LatencyMillis float64 `json:"latency_ms"`
	Answers       int     `json:"answers_since_cold"`
	ScoreFactor   float64 `json:"distrust"`
}

// EndpointStates returns the endpoints for a state dump, ordered by service and address.
func (r *Router) EndpointStates() []EndpointState {
	states := []EndpointState{}
	now := r.options.Now()
	services := r.table.Load().services
	for name, s := range services {
		for _, e := range s.endpoints {
			states = append(states, e.state(name, now))
		}
	}
	slices.SortFunc(states, func(a, b EndpointState) int {
		return strings.Compare(endpointKey(a.Service, a.Address), endpointKey(b.Service, b.Address))
	})
	return states
}

func (e *endpoint) state(service string, now time.Time) EndpointState {
	h := e.healthSnapshot()
	return EndpointState{
		Service:       service,
		Address:       e.address,
		Slots:         e.slots.Load(),
		MaxInFlight:   e.slotLimit(),
		InFlight:      e.inFlight.Load(),
		Connections:   e.pool.OpenConnections(),
		Owned:         e.owned.Load(),
		Draining:      now.Before(h.drainingUntil) || now.Before(h.reportedDrainingUntil),
		Ejected:       now.Before(h.ejectedUntil),
		Down:          now.Before(h.downUntil),
		LatencyMillis: float64(h.averageLatency) / float64(time.Millisecond),
		Answers:       h.answers,
		ScoreFactor:   max(h.scoreFactor, 1),
	}
}
