package routing

import (
	"sync"
	"sync/atomic"

	"lovagescale/internal/configuration"
	"lovagescale/internal/upstream"
)

// endpoint is one upstream endpoint as this instance uses it. Its counts
// outlive a table as long as it has requests in flight.
type endpoint struct {
	key      string // service and address
	address  string
	slots    atomic.Int64
	inFlight atomic.Int64
	// owned is true while this instance may use the endpoint; part is then the
	// part of its slots.
	owned atomic.Bool
	part  atomic.Pointer[Right]
	// removed is true when the configuration no longer lists it.
	removed atomic.Bool
	// struck is true while a request that cost another endpoint its connection
	// is in flight.
	struck atomic.Bool
	pool   *upstream.Pool

	mu     sync.Mutex
	health health
}

// keyOf names an endpoint of a service.
func keyOf(service, address string) string { return service + " " + address }

func newEndpoint(address string, service configuration.Service) *endpoint {
	e := &endpoint{
		key:     keyOf(service.Name, address),
		address: address,
		pool:    upstream.NewPool(address, service.Slots, service.Connections),
	}
	e.slots.Store(int64(service.Slots))
	return e
}

// update takes changed limits of the configuration.
func (e *endpoint) update(service configuration.Service) {
	e.slots.Store(int64(service.Slots))
	e.pool.SetLimits(service.Slots, service.Connections)
	e.removed.Store(false)
}

// acquire takes a slot below limit, if this instance may use the endpoint. It
// counts first and checks the right after, so that whoever takes the right
// away sees the count.
func (e *endpoint) acquire(limit int64, permitted func() bool) bool {
	if e.inFlight.Add(1) > min(limit, e.limit()) || e.removed.Load() || !e.owned.Load() || !permitted() {
		e.inFlight.Add(-1)
		return false
	}
	return true
}

// limit is the number of slots that this instance may use.
func (e *endpoint) limit() int64 {
	right := e.part.Load()
	if right == nil || right.Of == 0 {
		return 0
	}
	slots := e.slots.Load()
	limit := slots / int64(right.Of)
	if right.First {
		limit += slots % int64(right.Of)
	}
	return limit
}

// setRight gives or takes the right to use the endpoint; the zero Right takes
// it.
func (e *endpoint) setRight(right Right) {
	owned := right.Of > 0
	e.part.Store(&right)
	if e.owned.Swap(owned) == owned {
		return
	}
	e.pool.Retire(!owned)
	e.change(func(h *health) { h.cool() })
}

// look returns a copy of the endpoint's health.
func (e *endpoint) look() health {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.health
}

// change updates the endpoint's health.
func (e *endpoint) change(step func(h *health)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	step(&e.health)
}
