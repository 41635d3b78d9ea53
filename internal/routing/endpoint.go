package routing

import (
	"sync"
	"sync/atomic"

	"lovagescale/internal/configuration"
	"lovagescale/internal/upstream"
)

// endpoint is the state that this instance keeps for one upstream endpoint. An endpoint
// with requests in flight is kept when a new table no longer lists it, so that its counts
// are still right if a later table lists it again.
type endpoint struct {
	key      string // service and address
	address  string
	slots    atomic.Int64 // all slots, of which right may give a part
	inFlight atomic.Int64
	// owned is true while this instance may use the endpoint. right then says which
	// part of the slots it may use.
	owned atomic.Bool
	right atomic.Pointer[Right]
	// removed is true while the configuration does not list the endpoint.
	removed atomic.Bool
	// strikeInFlight is true while a request with a strike is in flight here.
	strikeInFlight atomic.Bool
	pool           *upstream.Pool

	mu     sync.Mutex
	health health
}

// endpointKey returns the key of a service's endpoint, by which all instances of the zone
// agree on its owner.
func endpointKey(service, address string) string { return service + " " + address }

func newEndpoint(address string, service configuration.Service) *endpoint {
	e := &endpoint{
		key:     endpointKey(service.Name, address),
		address: address,
		pool:    upstream.NewPool(address, service.Slots, service.Connections),
	}
	e.slots.Store(int64(service.Slots))
	return e
}

// reconfigure applies the limits of a configuration that lists the endpoint.
func (e *endpoint) reconfigure(service configuration.Service) {
	e.slots.Store(int64(service.Slots))
	e.pool.SetLimits(service.Slots, service.Connections)
	e.removed.Store(false)
}

// acquireSlot takes a slot if fewer slots are in use than limit and slotLimit, and this
// instance may use the endpoint. It increments the count before it checks the right, so
// that a goroutine that revokes the right and then reads the count sees the request.
func (e *endpoint) acquireSlot(limit int64, rightsValid func() bool) bool {
	if e.inFlight.Add(1) > min(limit, e.slotLimit()) || e.removed.Load() || !e.owned.Load() || !rightsValid() {
		e.inFlight.Add(-1)
		return false
	}
	return true
}

// slotLimit returns the number of slots that this instance may use.
func (e *endpoint) slotLimit() int64 {
	right := e.right.Load()
	if right == nil || right.SlotDivisor == 0 {
		return 0
	}
	slots := e.slots.Load()
	limit := slots / int64(right.SlotDivisor)
	if right.TakesRemainder {
		limit += slots % int64(right.SlotDivisor)
	}
	return limit
}

// setRight grants or revokes the right to use the endpoint; the zero Right revokes it.
// Either change marks the endpoint cold.
func (e *endpoint) setRight(right Right) {
	owned := right.SlotDivisor > 0
	e.right.Store(&right)
	if e.owned.Swap(owned) == owned {
		return
	}
	e.pool.SetRetired(!owned)
	e.updateHealth(func(h *health) { h.markCold() })
}

// healthSnapshot returns a copy of the endpoint's health.
func (e *endpoint) healthSnapshot() health {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.health
}

// updateHealth calls update with the endpoint's health, under its lock.
func (e *endpoint) updateHealth(update func(h *health)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	update(&e.health)
}
