package allowance

import (
	"math"
	"sync"
	"time"
)

// DemandMeter measures the demand of workspaces on this instance, including refused
// requests. It is safe for concurrent use.
type DemandMeter struct {
	mu     sync.Mutex
	meters map[string]*RateMeter
}

// NewDemandMeter returns a meter without any demand.
func NewDemandMeter() *DemandMeter { return &DemandMeter{meters: make(map[string]*RateMeter)} }

// Count counts a request of a workspace.
func (d *DemandMeter) Count(workspace string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	meter, found := d.meters[workspace]
	if !found {
		meter = &RateMeter{}
		d.meters[workspace] = meter
	}
	meter.Count()
}

// demandAveragingTime is the time constant of the moving average of a workspace's demand.
// The shares of quotas follow the demand; with a shorter time they would follow single
// requests.
const demandAveragingTime = time.Second

// idleRate is the demand, in requests per second, below which a workspace counts as idle.
const idleRate = 1e-3

// Tick ends a measuring period and forgets idle workspaces.
func (d *DemandMeter) Tick(elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, meter := range d.meters {
		meter.tick(elapsed, demandAveragingTime)
		if meter.Rate() < idleRate {
			delete(d.meters, name)
		}
	}
}

// Rate returns the demand of a workspace, in requests per second.
func (d *DemandMeter) Rate(workspace string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if meter, found := d.meters[workspace]; found {
		return meter.Rate()
	}
	return 0
}

// Rates returns the demand of the workspaces, in requests per second.
func (d *DemandMeter) Rates() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	rates := make(map[string]float64, len(d.meters))
	for name, meter := range d.meters {
		rates[name] = meter.Rate()
	}
	return rates
}

// RateMeter measures the rate of events as a moving average over periods.
type RateMeter struct {
	count float64
	rate  float64
}

// meterAveragingTime is the time constant of the moving average of a rate.
const meterAveragingTime = 500 * time.Millisecond

// Count counts one event.
func (m *RateMeter) Count() { m.Add(1) }

// Add counts an amount.
func (m *RateMeter) Add(amount float64) { m.count += amount }

// Tick ends a measuring period.
func (m *RateMeter) Tick(elapsed time.Duration) { m.tick(elapsed, meterAveragingTime) }

func (m *RateMeter) tick(elapsed, averagingTime time.Duration) {
	if elapsed <= 0 {
		return
	}
	m.rate += (1 - math.Exp(-elapsed.Seconds()/averagingTime.Seconds())) * (m.count/elapsed.Seconds() - m.rate)
	m.count = 0
}

// Rate returns the events, or the sum of their amounts, per second.
func (m *RateMeter) Rate() float64 { return m.rate }
