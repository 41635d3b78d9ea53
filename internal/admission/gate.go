package admission

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lovagescale/internal/fleet"
)

// ShareLifetime is the age of the other instances' figures from which the shares that follow
// from them are ignored.
const ShareLifetime = 4 * time.Second

// scarceFraction is the fraction of the slot time asked for that is refused for lack of room
// at an upstream whose slots are scarce. Below it, endpoints are full by chance: at two thirds
// of the capacity, 4 slots each refuse 5 in 100 requests for random objects.
const scarceFraction = 0.06

// Reason is why a request is within its share or not.
type Reason uint8

// The reasons.
const (
	// NotScarce: the capacity suffices for the workspace.
	NotScarce Reason = iota
	// SharesOutdated: the figures of the other instances are too old.
	SharesOutdated
	// WithinShare: slots are scarce and the request is within the share.
	WithinShare
	// AboveShare: the workspace asks for more than its share.
	AboveShare
	// DemandJumped: the workspace's requests at this instance exceed those that its share was
	// computed from.
	DemandJumped
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"not scarce", "shares outdated", "within share", "above share", "demand jumped"}[r]
}

// Weights are the weights of the workspaces.
type Weights struct {
	// ByWorkspace holds the rates of workspaces that have one.
	ByWorkspace map[string]float64
	// Default is the weight of each other workspace. It must be above 0.
	Default float64
	// Total is the weight of all workspaces.
	Total float64
}

func (w Weights) of(workspace string) float64 {
	if weight, found := w.ByWorkspace[workspace]; found {
		return weight
	}
	return w.Default
}

// queueingFraction is the fraction of the requests beyond a share that may queue. With 0, a
// simulated upstream at 1.7 times its capacity did 96.9% of the work that it does first come,
// first served, because the queues of its endpoints ran empty; with this value it did 97.5%. A
// greater one serves a hot workspace more.
const queueingFraction = 0.2

// ExcessLimit returns the utilization of an endpoint up to which it takes a request beyond the
// share of its workspace; limit is that for requests within it. random is between 0 and 1. Most
// of these requests only get free slots, the others a queue of up to half the length.
func ExcessLimit(limit, random float64) float64 {
	queue := math.Max(random-(1-queueingFraction), 0) / queueingFraction
	return math.Min(limit, 1+(limit-1)/2*queue)
}

// Gate compares requests with the shares of their workspaces and measures demand and use. It
// is safe for concurrent use.
type Gate struct {
	mu sync.Mutex
	// upstreams is replaced when an upstream is added, so that requests read it without a lock.
	upstreams atomic.Pointer[map[string]*upstreamGate]
}

// NewGate returns a gate without shares.
func NewGate() *Gate {
	g := &Gate{}
	g.upstreams.Store(&map[string]*upstreamGate{})
	return g
}

// upstreamGate holds the flows of one upstream.
type upstreamGate struct {
	// flows is replaced when flows are added or removed, so that requests read it without a
	// lock.
	flows    atomic.Pointer[flows]
	mu       sync.Mutex
	division division
}

func newUpstreamGate() *upstreamGate {
	u := &upstreamGate{}
	u.flows.Store(&flows{})
	return u
}

// Admit counts a request and reports whether it is within the share of its workspace. If not,
// it may only use a free slot. random is between 0 and 1. Requests without a workspace are
// always within it.
func (g *Gate) Admit(now time.Time, upstream, workspace string, class int, random float64) (bool, Reason) {
	return g.flow(upstream, workspace, class).admit(now, random)
}

// RecordUse records that a request occupied a slot.
func (g *Gate) RecordUse(upstream, workspace string, class int, slotTime time.Duration) {
	g.flow(upstream, workspace, class).recordUse(slotTime)
}

// RecordRefusal records that no endpoint had room for a request.
func (g *Gate) RecordRefusal(upstream, workspace string, class int) {
	g.flow(upstream, workspace, class).recordRefusal()
}

// Withdraw takes a request that its workspace's quota refused from the demand.
func (g *Gate) Withdraw(upstream, workspace string, class int) {
	g.flow(upstream, workspace, class).withdraw()
}

// Share returns the demand of a workspace for a class and its share, in slots of the whole
// fleet, as of the last Update.
func (g *Gate) Share(upstream, workspace string, class int) (demand, share float64) {
	q := g.flow(upstream, workspace, class).currentQuota()
	return q.demand, q.share
}

func (g *Gate) upstream(name string) *upstreamGate {
	if u, found := (*g.upstreams.Load())[name]; found {
		return u
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := *g.upstreams.Load()
	if u, found := known[name]; found {
		return u
	}
	upstreams := maps.Clone(known)
	upstreams[name] = newUpstreamGate()
	g.upstreams.Store(&upstreams)
	return upstreams[name]
}

func (g *Gate) flow(upstream, workspace string, class int) *flow {
	u, key := g.upstream(upstream), flowKey{workspace, class}
	if c := u.flows.Load().find(key); c != nil {
		return c
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	known := u.flows.Load()
	if c := known.find(key); c != nil {
		return c
	}
	c := &flow{class: class, cost: known.meanCost()}
	c.applyQuota(u.division.quota(key, 0))
	u.flows.Store(known.with(workspace, c))
	return c
}

// Tick ends a measuring period and forgets idle workspaces.
func (g *Gate) Tick(elapsed time.Duration) {
	for _, u := range *g.upstreams.Load() {
		u.mu.Lock()
		u.flows.Store(u.flows.Load().tick(elapsed))
		u.mu.Unlock()
	}
}

// Use returns the demand and use at this instance, to be reported to the others.
func (g *Gate) Use() fleet.SlotSums {
	sums := make(fleet.SlotSums)
	for name, u := range *g.upstreams.Load() {
		u.flows.Load().each(func(key flowKey, c *flow) {
			demand, used, refused := c.rates()
			sums.Add(name, key.class, key.workspace, demand, used, refused)
		})
	}
	return sums
}

// Update divides the capacity of all upstreams by own, which Use returned since the last Tick,
// and the demand and use at the other instances as of madeAt.
func (g *Gate) Update(madeAt time.Time, own, others fleet.SlotSums, weights Weights) {
	for name, u := range *g.upstreams.Load() {
		d := newDivision(name, own, others, weights)
		d.until = madeAt.Add(ShareLifetime)
		u.apply(d)
	}
}

// apply sets the quotas of all flows, unless slots were not scarce before and are not now.
func (u *upstreamGate) apply(d division) {
	u.mu.Lock()
	defer u.mu.Unlock()
	unchanged := !u.division.scarce && !d.scarce
	u.division = d
	if unchanged {
		return
	}
	u.flows.Load().each(func(key flowKey, c *flow) {
		demand, _, _ := c.rates()
		c.setQuota(d.quota(key, demand))
	})
}
