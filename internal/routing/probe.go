package routing

import (
	"context"
	"time"
)

const probeTimeout = 500 * time.Millisecond

// RunProbes probes the owned endpoints one after another until ctx ends and applies their
// reports. The probes are spread evenly over time, so that each endpoint is probed about
// once per ProbeInterval.
func (r *Router) RunProbes(ctx context.Context) {
	for ctx.Err() == nil {
		endpoints := r.ownedEndpoints()
		pause := r.options.ProbeInterval / time.Duration(max(len(endpoints), 1))
		for _, e := range endpoints {
			r.probeEndpoint(ctx, e)
			if !sleep(ctx, pause) {
				return
			}
		}
		if len(endpoints) == 0 && !sleep(ctx, pause) {
			return
		}
	}
}

func (r *Router) ownedEndpoints() []*endpoint {
	var owned []*endpoint
	for _, s := range r.table.Load().services {
		for _, e := range s.endpoints {
			if e.owned.Load() {
				owned = append(owned, e)
			}
		}
	}
	return owned
}

func (r *Router) probeEndpoint(ctx context.Context, e *endpoint) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	inFlight := e.inFlight.Load()
	report, err := e.pool.Probe(ctx)
	if err != nil {
		return // attempts detect an endpoint that fails
	}
	now := r.options.Now()
	e.updateHealth(func(h *health) { h.applyReport(now, report, inFlight, e.slots.Load(), r.options.DrainHold) })
}

// sleep waits for the duration of pause. It returns false if ctx ended first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
