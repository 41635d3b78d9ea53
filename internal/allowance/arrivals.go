package allowance

import (
	"math"
	"sync"
	"time"
)

// Arrivals measures the demand of workspaces on this instance, refused requests
// included. It is safe for concurrent use.
type Arrivals struct {
	mu     sync.Mutex
	meters map[string]*Meter
}

// NewArrivals returns a measure of nothing.
func NewArrivals() *Arrivals { return &Arrivals{meters: make(map[string]*Meter)} }

// Count counts a request of a workspace.
func (a *Arrivals) Count(workspace string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	meter, found := a.meters[workspace]
	if !found {
		meter = &Meter{}
		a.meters[workspace] = meter
	}
	meter.Count()
}

// demandMemory is the time over which the demand of workspaces is averaged: the
// shares of quotas follow it, and over less they would follow single requests.
const demandMemory = time.Second

// forgetBelow is the demand, in requests per second, of a workspace that counts as
// idle.
const forgetBelow = 1e-3

// Tick ends a period of measuring; idle workspaces are forgotten.
func (a *Arrivals) Tick(elapsed time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, meter := range a.meters {
		meter.tick(elapsed, demandMemory)
		if meter.Rate() < forgetBelow {
			delete(a.meters, name)
		}
	}
}

// Rates returns the demand of the workspaces, in requests per second.
func (a *Arrivals) Rates() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	rates := make(map[string]float64, len(a.meters))
	for name, meter := range a.meters {
		rates[name] = meter.Rate()
	}
	return rates
}

// Meter measures a rate over periods.
type Meter struct {
	count float64
	rate  float64
}

// meterMemory is the time over which a rate is averaged.
const meterMemory = 500 * time.Millisecond

// Count counts one event.
func (m *Meter) Count() { m.Add(1) }

// Add counts an amount.
func (m *Meter) Add(amount float64) { m.count += amount }

// Tick ends a period.
func (m *Meter) Tick(elapsed time.Duration) { m.tick(elapsed, meterMemory) }

func (m *Meter) tick(elapsed, memory time.Duration) {
	if elapsed <= 0 {
		return
	}
	m.rate += (1 - math.Exp(-elapsed.Seconds()/memory.Seconds())) * (m.count/elapsed.Seconds() - m.rate)
	m.count = 0
}

// Rate returns events, or their amounts, per second.
func (m *Meter) Rate() float64 { return m.rate }
