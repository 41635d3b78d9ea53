package routing

import (
	"context"
	"time"
)

// probeTimeout bounds one probe.
const probeTimeout = 500 * time.Millisecond

// Probe asks owned endpoints for their reports until ctx ends, one after
// another, so that each is asked once in ProbeInterval.
func (r *Router) Probe(ctx context.Context) {
	for ctx.Err() == nil {
		endpoints := r.probed()
		pause := r.options.ProbeInterval / time.Duration(max(len(endpoints), 1))
		for _, e := range endpoints {
			r.probe(ctx, e)
			if !sleep(ctx, pause) {
				return
			}
		}
		if len(endpoints) == 0 && !sleep(ctx, pause) {
			return
		}
	}
}

func (r *Router) probed() []*endpoint {
	var owned []*endpoint
	for _, s := range r.current.Load().services {
		for _, e := range s.endpoints {
			if e.owned.Load() {
				owned = append(owned, e)
			}
		}
	}
	return owned
}

func (r *Router) probe(ctx context.Context, e *endpoint) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	inFlight := e.inFlight.Load()
	report, err := e.pool.Probe(ctx)
	if err != nil {
		return // traffic finds out by itself
	}
	now := r.options.Now()
	e.change(func(h *health) { h.report(now, report, inFlight, e.slots.Load(), r.options.DrainHold) })
}

// sleep waits and reports whether ctx is still alive.
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
