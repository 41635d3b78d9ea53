package routing

import (
	"context"
	"sync"
	"time"

	"lovagescale/internal/fairness"
)

// slotQueue divides the slots of one service between workspaces. It makes a
// fairness.Queue safe for concurrent use.
type slotQueue struct {
	mu    sync.Mutex
	queue *fairness.Queue
}

func newSlotQueue(maxWaiters int) *slotQueue { return &slotQueue{queue: fairness.NewQueue(maxWaiters)} }

func (q *slotQueue) mayAcquire(workspace string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.MayAcquire(workspace)
}

func (q *slotQueue) recordAcquire(workspace string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.RecordAcquire(workspace)
}

func (q *slotQueue) recordRelease(workspace string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.RecordRelease(workspace)
}

func (q *slotQueue) enqueue(workspace string, slots int) (*fairness.Waiter, fairness.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Enqueue(workspace, slots)
}

// remove takes a waiter that gives up out of the queue. If the waiter has already been
// woken, the next one is woken in its place.
func (q *slotQueue) remove(waiter *fairness.Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-waiter.Ready:
		q.queue.WakeNext()
	default:
		q.queue.Remove(waiter)
	}
}

// acquireForWorkspace takes a slot of an endpoint for the workspace and returns the
// endpoint. If no slot is free, a workspace below its fair share waits for one. It returns
// nil if the workspace gets no slot.
func (r *Router) acquireForWorkspace(ctx context.Context, workspace string, criteria *selectionCriteria) *endpoint {
	q := criteria.service.slotQueue
	if q.mayAcquire(workspace) {
		if e := r.acquireEndpoint(criteria); e != nil {
			q.recordAcquire(workspace)
			return e
		}
	}
	e := r.waitForSlot(ctx, workspace, criteria)
	if e != nil {
		q.recordAcquire(workspace)
	}
	return e
}

// waitForSlot waits in the queue for a slot, for at most QueueWait. It returns nil at once
// if the workspace may not wait.
func (r *Router) waitForSlot(ctx context.Context, workspace string, criteria *selectionCriteria) *endpoint {
	slots := criteria.service.usableSlots()
	if r.options.QueueWait < 0 || slots == 0 {
		return nil
	}
	timeout := time.NewTimer(r.options.QueueWait)
	defer timeout.Stop()
	for {
		waiter, decision := criteria.service.slotQueue.enqueue(workspace, slots)
		if decision != fairness.Wait {
			return nil
		}
		r.metrics.waitedForSlot.Inc(1)
		if e := r.acquireEndpoint(criteria); e != nil { // a slot may have been released before the waiter was queued
			criteria.service.slotQueue.remove(waiter)
			return e
		}
		select {
		case <-waiter.Ready:
			if e := r.acquireEndpoint(criteria); e != nil {
				return e
			}
		case <-timeout.C:
			criteria.service.slotQueue.remove(waiter)
			return nil
		case <-ctx.Done():
			criteria.service.slotQueue.remove(waiter)
			return nil
		}
	}
}

// usableSlots returns the number of slots that this instance may use.
func (s *service) usableSlots() int {
	slots := 0
	for _, e := range s.endpoints {
		if e.owned.Load() && !e.removed.Load() {
			slots += int(e.slotLimit())
		}
	}
	return slots
}

// utilization returns the share of the usable slots that are in use, and 1 if this
// instance may use none.
func (s *service) utilization() float64 {
	slots, used := int64(0), int64(0)
	for _, e := range s.endpoints {
		if e.owned.Load() && !e.removed.Load() {
			slots += e.slotLimit()
			used += e.inFlight.Load()
		}
	}
	if slots == 0 {
		return 1
	}
	return float64(used) / float64(slots)
}
