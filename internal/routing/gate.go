package routing

import (
	"context"
	"sync"
	"time"

	"lovagescale/internal/fairness"
)

// gate divides the slots of one service between workspaces.
type gate struct {
	mu    sync.Mutex
	queue *fairness.Queue
}

func newGate(limit int) *gate { return &gate{queue: fairness.NewQueue(limit)} }

func (g *gate) mayTake(workspace string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.MayAcquire(workspace)
}

func (g *gate) took(workspace string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.RecordAcquire(workspace)
}

func (g *gate) left(workspace string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.RecordRelease(workspace)
}

func (g *gate) ask(workspace string, slots int) (*fairness.Waiter, fairness.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Enqueue(workspace, slots)
}

// forget gives up a place in the queue. A waiter that was woken passes its turn
// on.
func (g *gate) forget(ticket *fairness.Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-ticket.Ready:
		g.queue.WakeNext()
	default:
		g.queue.Remove(ticket)
	}
}

// enter takes a slot for the workspace, waiting for one if it is below its
// share. It returns nil when there is none.
func (r *Router) enter(ctx context.Context, workspace string, d *demand) *endpoint {
	g := d.service.gate
	if g.mayTake(workspace) {
		if e := r.choose(d); e != nil {
			g.took(workspace)
			return e
		}
	}
	e := r.await(ctx, workspace, d)
	if e != nil {
		g.took(workspace)
	}
	return e
}

// await waits in the queue for at most QueueWait.
func (r *Router) await(ctx context.Context, workspace string, d *demand) *endpoint {
	slots := d.service.ownedSlots()
	if r.options.QueueWait < 0 || slots == 0 {
		return nil
	}
	limit := time.NewTimer(r.options.QueueWait)
	defer limit.Stop()
	for {
		ticket, verdict := d.service.gate.ask(workspace, slots)
		if verdict != fairness.Wait {
			return nil
		}
		r.metrics.waited.Inc(1)
		if e := r.choose(d); e != nil { // a slot may have been freed meanwhile
			d.service.gate.forget(ticket)
			return e
		}
		select {
		case <-ticket.Ready:
			if e := r.choose(d); e != nil {
				return e
			}
		case <-limit.C:
			d.service.gate.forget(ticket)
			return nil
		case <-ctx.Done():
			d.service.gate.forget(ticket)
			return nil
		}
	}
}

// ownedSlots counts the slots that this instance owns.
func (s *service) ownedSlots() int {
	slots := 0
	for _, e := range s.endpoints {
		if e.owned.Load() && !e.removed.Load() {
			slots += int(e.limit())
		}
	}
	return slots
}

// inUse returns the share of the owned slots that are in use.
func (s *service) inUse() float64 {
	slots, used := int64(0), int64(0)
	for _, e := range s.endpoints {
		if e.owned.Load() && !e.removed.Load() {
			slots += e.limit()
			used += e.inFlight.Load()
		}
	}
	if slots == 0 {
		return 1
	}
	return float64(used) / float64(slots)
}
