// Package fairness divides the slots of a service between workspaces by max-min fairness
// while slots are scarce.
//
// While no workspace waits, any workspace may take a free slot. When no slot is free, a
// workspace below its fair share may wait for one. The fair share is the number of slots
// divided by the number of workspaces that use or wait for slots. A released slot goes to
// the waiting workspace that uses the fewest slots. A workspace at or above its fair share
// may not wait, and no workspace may take a slot ahead of a waiting one that uses as many
// slots or fewer. The queue limits the number of waiters, the caller the time they wait.
//
// Limitation: a share is one of the slots of one instance, so that a workspace whose
// callers use several instances gets a share at each of them.
package fairness

import "container/list"

// Decision is the result of a request for a slot.
type Decision int

// The decisions.
const (
	// Admit means that the workspace may take a slot now.
	Admit Decision = iota
	// Wait means that the workspace has been queued for a slot.
	Wait
	// Refuse means that the workspace may neither take a slot nor wait for one.
	Refuse
)

// Waiter is a request that waits in a Queue for a slot.
type Waiter struct {
	workspace string
	element   *list.Element // nil once the waiter has left the queue
	// Ready is closed when the waiter has left the queue because a slot may be free for
	// it.
	Ready chan struct{}
}

// Queue divides the slots of one service. It is not safe for concurrent use.
type Queue struct {
	maxWaiters  int
	inUse       map[string]int        // slots in use by workspace
	waiters     map[string]*list.List // waiters by workspace, in order of arrival
	waiterCount int
}

// NewQueue returns a queue for at most maxWaiters waiters.
func NewQueue(maxWaiters int) *Queue {
	return &Queue{maxWaiters: maxWaiters, inUse: make(map[string]int), waiters: make(map[string]*list.List)}
}

// MayAcquire reports whether the workspace may take a free slot: no workspace waits, or
// each one that waits uses more slots than this workspace.
func (q *Queue) MayAcquire(workspace string) bool {
	next, found := q.nextWorkspace()
	return !found || q.inUse[workspace] < q.inUse[next]
}

// RecordAcquire records that the workspace has taken a slot.
func (q *Queue) RecordAcquire(workspace string) { q.inUse[workspace]++ }

// InUse returns the number of slots that the workspace uses.
func (q *Queue) InUse(workspace string) int { return q.inUse[workspace] }

// Enqueue queues a workspace that could not take one of the given number of slots. It
// returns a waiter with Wait, or nil with Refuse if the queue is full or the workspace is
// not below its fair share.
func (q *Queue) Enqueue(workspace string, slots int) (*Waiter, Decision) {
	if q.waiterCount >= q.maxWaiters || !q.belowFairShare(workspace, slots) {
		return nil, Refuse
	}
	workspaceWaiters := q.waiters[workspace]
	if workspaceWaiters == nil {
		workspaceWaiters = list.New()
		q.waiters[workspace] = workspaceWaiters
	}
	waiter := &Waiter{workspace: workspace, Ready: make(chan struct{})}
	waiter.element = workspaceWaiters.PushBack(waiter)
	q.waiterCount++
	return waiter, Wait
}

// belowFairShare reports whether the slots that the workspace uses and waits for are fewer
// than its fair share.
func (q *Queue) belowFairShare(workspace string, slots int) bool {
	active := make(map[string]bool, len(q.inUse)+1)
	for name := range q.inUse {
		active[name] = true
	}
	for name := range q.waiters {
		active[name] = true
	}
	active[workspace] = true
	demand := q.inUse[workspace]
	if workspaceWaiters := q.waiters[workspace]; workspaceWaiters != nil {
		demand += workspaceWaiters.Len()
	}
	return demand*len(active) < slots
}

// RecordRelease records that the workspace has released a slot and wakes the next waiter.
func (q *Queue) RecordRelease(workspace string) {
	q.inUse[workspace]--
	if q.inUse[workspace] <= 0 {
		delete(q.inUse, workspace)
	}
	q.WakeNext()
}

// WakeNext wakes the waiter that is next, if any: it removes the first waiter of
// nextWorkspace from the queue and closes its Ready channel.
func (q *Queue) WakeNext() {
	next, found := q.nextWorkspace()
	if !found {
		return
	}
	waiter := q.waiters[next].Front().Value.(*Waiter)
	q.Remove(waiter)
	close(waiter.Ready)
}

// Remove removes a waiter from the queue. It does nothing if the waiter has left it.
func (q *Queue) Remove(waiter *Waiter) {
	if waiter.element == nil {
		return
	}
	workspaceWaiters := q.waiters[waiter.workspace]
	workspaceWaiters.Remove(waiter.element)
	waiter.element = nil
	q.waiterCount--
	if workspaceWaiters.Len() == 0 {
		delete(q.waiters, waiter.workspace)
	}
}

// nextWorkspace returns the waiting workspace that uses the fewest slots, the first by name
// among equals. It returns false if no workspace waits.
func (q *Queue) nextWorkspace() (string, bool) {
	next, found := "", false
	for name := range q.waiters {
		if !found || q.inUse[name] < q.inUse[next] || (q.inUse[name] == q.inUse[next] && name < next) {
			next, found = name, true
		}
	}
	return next, found
}
