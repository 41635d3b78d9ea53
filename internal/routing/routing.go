// Package routing chooses the endpoint that runs a call and keeps the slots of
// endpoints.
//
// A Table is built whole from a configuration and swapped for readers. Pools
// and their counts outlive a table as long as their endpoint stays listed.
// Among endpoints with a free slot the choice is the better of two drawn at
// random, by requests in flight. A call that finds no free slot is refused at
// once as "not-run".
package routing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/membership"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// retryNoCapacity tells callers when a slot may be free again.
const retryNoCapacity = time.Second

// endpoint is one upstream endpoint as this instance uses it.
type endpoint struct {
	address  string
	slots    int64
	inFlight atomic.Int64
	draining atomic.Bool
	pool     *upstream.Pool
}

// acquire takes a slot if one is free.
func (e *endpoint) acquire() bool {
	if e.inFlight.Add(1) > e.slots {
		e.inFlight.Add(-1)
		return false
	}
	return true
}

func (e *endpoint) release() { e.inFlight.Add(-1) }

// table holds the endpoints by service.
type table struct {
	revision uint64
	services map[string][]*endpoint
}

// Router is the stage that runs calls on endpoints of its zone.
type Router struct {
	instance string
	zone     string

	mu       sync.Mutex // held while a table is built
	view     *membership.View
	current  atomic.Pointer[table]
	siblings atomic.Pointer[owners]
	random   *rand.Rand
	randomMu sync.Mutex
}

// New returns a router of the instance that uses endpoints of zone only.
func New(instance, zone string, random *rand.Rand) *Router {
	router := &Router{instance: instance, zone: zone, random: random}
	router.current.Store(&table{services: make(map[string][]*endpoint)})
	router.siblings.Store(&owners{})
	return router
}

// Apply builds the table of a configuration and swaps it in.
func (r *Router) Apply(c *configuration.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.current.Load()
	next := &table{revision: c.Revision, services: make(map[string][]*endpoint, len(c.Services))}
	for name, service := range c.Services {
		known := make(map[string]*endpoint)
		for _, e := range previous.services[name] {
			known[e.address] = e
		}
		for _, address := range service.Endpoints[r.zone] {
			next.services[name] = append(next.services[name], keepOrCreate(known, address, service))
			delete(known, address)
		}
		for _, removed := range known {
			removed.draining.Store(true)
			removed.pool.Close()
		}
	}
	r.current.Store(next)
	r.rankOwners()
}

func keepOrCreate(known map[string]*endpoint, address string, service configuration.Service) *endpoint {
	e, found := known[address]
	if found && e.slots == int64(service.Slots) {
		return e
	}
	return &endpoint{
		address: address,
		slots:   int64(service.Slots),
		pool:    upstream.NewPool(address, service.Slots),
	}
}

// Serve implements call.Stage.
func (r *Router) Serve(ctx context.Context, c *call.Call) (*call.Result, error) {
	chosen := r.choose(c.Service)
	if chosen == nil {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun,
			fmt.Sprintf("service %q has no free endpoint", c.Service)).After(retryNoCapacity)
	}
	defer chosen.release()
	request := c.Request
	request.ID = c.ID
	request.Fresh = c.Kind == configuration.Action
	answer, err := chosen.pool.Exchange(ctx, &request)
	if err != nil {
		return nil, refuse(ctx, err)
	}
	if answer.Draining() {
		chosen.draining.Store(true)
	}
	return &call.Result{Answer: answer, Endpoint: chosen.address, Instance: r.instance, Zone: r.zone}, nil
}

// refuse turns a failed exchange into the answer that is true of it.
func refuse(ctx context.Context, err error) *refusal.Refusal {
	outcome := refusal.Unknown
	var exchange *upstream.ExchangeError
	if errors.As(err, &exchange) && !exchange.MayHaveRun() {
		outcome = refusal.NotRun
	}
	if ctx.Err() != nil {
		return refusal.New(http.StatusGatewayTimeout, refusal.DeadlineExceeded, outcome, "deadline has passed")
	}
	if outcome == refusal.NotRun {
		return refusal.New(http.StatusServiceUnavailable, refusal.UpstreamUnreachable, outcome,
			"upstream cannot be reached").After(retryNoCapacity)
	}
	return refusal.New(http.StatusBadGateway, refusal.UpstreamFailed, outcome, "upstream gave no whole answer")
}

// choose returns an endpoint with its slot taken, or nil.
func (r *Router) choose(service string) *endpoint {
	endpoints := r.current.Load().services[service]
	if len(endpoints) == 0 {
		return nil
	}
	first, second := r.draw(len(endpoints))
	a, b := endpoints[first], endpoints[second]
	if b.inFlight.Load() < a.inFlight.Load() {
		a, b = b, a
	}
	if usable(a) {
		return a
	}
	if a != b && usable(b) {
		return b
	}
	for i := range endpoints {
		if e := endpoints[(first+i)%len(endpoints)]; usable(e) {
			return e
		}
	}
	return nil
}

// usable takes a slot of e if it may get new work.
func usable(e *endpoint) bool {
	return !e.draining.Load() && e.acquire()
}

func (r *Router) draw(n int) (first, second int) {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return r.random.IntN(n), r.random.IntN(n)
}

// EndpointState is one endpoint in a state dump.
type EndpointState struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Slots    int64  `json:"slots"`
	InFlight int64  `json:"in_flight"`
	Draining bool   `json:"draining"`
}

// State returns the endpoints for a state dump.
func (r *Router) State() []EndpointState {
	states := []EndpointState{}
	for service, endpoints := range r.current.Load().services {
		for _, e := range endpoints {
			states = append(states, EndpointState{
				Service:  service,
				Address:  e.address,
				Slots:    e.slots,
				InFlight: e.inFlight.Load(),
				Draining: e.draining.Load(),
			})
		}
	}
	return states
}
