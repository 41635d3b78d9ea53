// Package fairness divides the slots of a service between workspaces when they
// are short, max-min fairly.
//
// Free slots go to whoever asks. When none is free, a workspace that uses less
// than its fair share (slots divided by the workspaces that use or want them)
// may wait for one, and a freed slot goes to the waiting workspace that uses
// least. A workspace at or above its share does not wait and does not overtake
// one that does. The number of waiters is bounded; the caller bounds the time.
//
// How it fails: shares count the slots of one instance, so a workspace whose
// callers use several instances gets its share at each of them.
package fairness

import "container/list"

// Verdict is the answer to a request for a slot.
type Verdict int

// The verdicts.
const (
	// Take means that the workspace may take a slot.
	Take Verdict = iota
	// Wait means that it may wait for one.
	Wait
	// Refuse means that it can neither take a slot nor wait.
	Refuse
)

// Ticket is one waiter.
type Ticket struct {
	workspace string
	element   *list.Element
	// Ready is closed when a slot may be free for the waiter.
	Ready chan struct{}
}

// Queue divides the slots of one service. It is not safe for concurrent use.
type Queue struct {
	limit   int
	used    map[string]int
	waiters map[string]*list.List
	waiting int
}

// NewQueue returns a queue with at most limit waiters.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, used: make(map[string]int), waiters: make(map[string]*list.List)}
}

// MayTake reports whether the workspace overtakes no waiter that uses less.
func (q *Queue) MayTake(workspace string) bool {
	neediest, found := q.neediest()
	return !found || q.used[workspace] < q.used[neediest]
}

// Took records that the workspace took a slot.
func (q *Queue) Took(workspace string) { q.used[workspace]++ }

// Used returns the slots that the workspace uses.
func (q *Queue) Used(workspace string) int { return q.used[workspace] }

// Ask decides on a workspace that found no free slot among slots.
func (q *Queue) Ask(workspace string, slots int) (*Ticket, Verdict) {
	if q.waiting >= q.limit || !q.belowShare(workspace, slots) {
		return nil, Refuse
	}
	queue := q.waiters[workspace]
	if queue == nil {
		queue = list.New()
		q.waiters[workspace] = queue
	}
	ticket := &Ticket{workspace: workspace, Ready: make(chan struct{})}
	ticket.element = queue.PushBack(ticket)
	q.waiting++
	return ticket, Wait
}

// belowShare compares what the workspace uses and waits for with its share.
func (q *Queue) belowShare(workspace string, slots int) bool {
	active := make(map[string]bool, len(q.used)+1)
	for name := range q.used {
		active[name] = true
	}
	for name := range q.waiters {
		active[name] = true
	}
	active[workspace] = true
	wanted := q.used[workspace]
	if queue := q.waiters[workspace]; queue != nil {
		wanted += queue.Len()
	}
	return wanted*len(active) < slots
}

// Left records that the workspace freed a slot, and wakes the neediest waiter.
func (q *Queue) Left(workspace string) {
	q.used[workspace]--
	if q.used[workspace] <= 0 {
		delete(q.used, workspace)
	}
	q.Wake()
}

// Wake takes the neediest waiter out of the queue and wakes it.
func (q *Queue) Wake() {
	neediest, found := q.neediest()
	if !found {
		return
	}
	ticket := q.waiters[neediest].Front().Value.(*Ticket)
	q.Forget(ticket)
	close(ticket.Ready)
}

// Forget takes a waiter out of the queue; it may have left it before.
func (q *Queue) Forget(ticket *Ticket) {
	if ticket.element == nil {
		return
	}
	queue := q.waiters[ticket.workspace]
	queue.Remove(ticket.element)
	ticket.element = nil
	q.waiting--
	if queue.Len() == 0 {
		delete(q.waiters, ticket.workspace)
	}
}

// neediest returns the waiting workspace that uses least; among equals the
// first by name.
func (q *Queue) neediest() (string, bool) {
	best, found := "", false
	for name := range q.waiters {
		if !found || q.used[name] < q.used[best] || (q.used[name] == q.used[best] && name < best) {
			best, found = name, true
		}
	}
	return best, found
}
