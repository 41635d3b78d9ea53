// Package regionmix counts, by window, in which regions the requests of an instance were
// meant to run and what became of them there.
//
// A region's share of the requests that run may differ from its share of those that were
// meant for it, because what has no room there does not run. Only the counts of both tell
// whether a change of the mix comes from the choice of regions or from refusals.
//
// Failure modes: it holds counts only, so that a restart loses at most one window. Beyond
// maxFlows flows a window counts no further ones and states how many requests it left out.
package regionmix

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxFlows bounds the flows of a window.
const maxFlows = 64

// Flow are the requests for an upstream that were meant for one region.
type Flow struct {
	Upstream, Region string
	// Pinned is set for requests that must run in the region.
	Pinned bool
}

// Outcome is what became of a request in the region that was chosen for it.
type Outcome int

const (
	// Answered requests got an endpoint's answer other than a failure.
	Answered Outcome = iota
	// Failed requests were sent to an endpoint and got a failure or no answer.
	Failed
	// Expired requests were sent to an endpoint and not answered by their deadline.
	Expired
	// NoRoom requests were not sent, because the endpoints that were usable had no room.
	NoRoom
	// NoPermit requests were not sent, because no endpoint was usable: cold endpoints and
	// those that name a limit had no permit, others were absent or ejected.
	NoPermit
	// NotAdmitted requests were not sent for another reason, such as their workspace's rate.
	NotAdmitted
	outcomes
)

var outcomeNames = [outcomes]string{"answered", "failed", "expired", "no_room", "no_permit", "not_admitted"}

// String returns the name of the outcome in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Ran reports whether an endpoint may have begun to process the request.
func (o Outcome) Ran() bool { return o <= Expired }

// Counts are the requests of a flow in a window.
type Counts struct {
	Flow     Flow
	Outcomes [outcomes]int
	// Queued is the number of requests that ran and were sent to an endpoint without a
	// free slot, QueuedExpired that of those among them that expired.
	Queued, QueuedExpired int
	// AtEndpoints is the time that all requests of the flow together spent at endpoints.
	AtEndpoints time.Duration
}

// Meant returns the number of requests that were meant for the region.
func (c *Counts) Meant() int {
	total := 0
	for _, n := range c.Outcomes {
		total += n
	}
	return total
}

// Ran returns the number of requests that ran.
func (c *Counts) Ran() int { return c.Outcomes[Answered] + c.Outcomes[Failed] + c.Outcomes[Expired] }

// Result is the end of a request.
type Result struct {
	Outcome Outcome
	// Queued is set if the endpoint had no free slot when the request was sent to it.
	Queued bool
	// AtEndpoints is the time that the request spent at endpoints.
	AtEndpoints time.Duration
}

// Mix counts requests. It is safe for concurrent use.
type Mix struct {
	mu      sync.Mutex
	flows   map[Flow]*Counts
	leftOut int
}

// New returns a mix without requests.
func New() *Mix { return &Mix{flows: make(map[Flow]*Counts)} }

// Record counts a request that has ended.
func (m *Mix) Record(flow Flow, result Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, found := m.flows[flow]
	if !found {
		if len(m.flows) >= maxFlows {
			m.leftOut++
			return
		}
		c = &Counts{Flow: flow}
		m.flows[flow] = c
	}
	c.Outcomes[result.Outcome]++
	c.AtEndpoints += result.AtEndpoints
	if result.Queued && result.Outcome.Ran() {
		c.Queued++
		if result.Outcome == Expired {
			c.QueuedExpired++
		}
	}
}

// EndWindow returns the counts since the last call, ordered by flow, and the number of
// requests that were left out.
func (m *Mix) EndWindow() (counts []Counts, leftOut int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.flows {
		counts = append(counts, *c)
	}
	slices.SortFunc(counts, func(a, b Counts) int { return compareFlows(a.Flow, b.Flow) })
	leftOut, m.leftOut = m.leftOut, 0
	clear(m.flows)
	return counts, leftOut
}

func compareFlows(a, b Flow) int {
	if c := cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Region, b.Region)); c != 0 {
		return c
	}
	if a.Pinned == b.Pinned {
		return 0
	}
	if a.Pinned {
		return 1
	}
	return -1
}
