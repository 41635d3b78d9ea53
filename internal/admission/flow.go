package admission

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"lovagescale/internal/monotonic"
)

// Times and factors of the measurement of a workspace's demand.
const (
	// averagingTime is the time constant of the moving averages of demand and use. With a
	// shorter one, shares would follow single requests of small workspaces.
	averagingTime = time.Second
	// costSmoothing is the weight of a response in the moving average of the slot time of a
	// workspace's requests.
	costSmoothing = 0.05
	// initialCost is the slot time, in seconds, that is assumed before the first response.
	initialCost = 0.25
	// idleDemand is the demand in slots below which a workspace counts as idle.
	idleDemand = 1e-3
	// burstTime and burstRequests are what a workspace may use at once at this instance beyond
	// the demand that its share was computed from. jumpMargin is the factor by which it may
	// exceed that demand for long.
	burstTime     = 500 * time.Millisecond
	burstRequests = 5
	jumpMargin    = 1.2
)

// meter is the moving average of an amount per second.
type meter struct{ amount, rate float64 }

func (m *meter) tick(elapsed time.Duration) {
	if elapsed > 0 {
		m.rate += (1 - math.Exp(-elapsed.Seconds()/averagingTime.Seconds())) * (m.amount/elapsed.Seconds() - m.rate)
		m.amount = 0
	}
}

// flows are the flows of an upstream by workspace. A workspace has few classes, so that they
// are compared one by one. It is immutable except for the state of its flows.
type flows map[string][]*flow

func (m flows) find(key flowKey) *flow {
	for _, c := range m[key.workspace] {
		if c.class == key.class {
			return c
		}
	}
	return nil
}

func (m flows) each(visit func(key flowKey, c *flow)) {
	for workspace, list := range m {
		for _, c := range list {
			visit(flowKey{workspace, c.class}, c)
		}
	}
}

// with returns the flows and a further one.
func (m flows) with(workspace string, c *flow) *flows {
	more := maps.Clone(m)
	more[workspace] = append(slices.Clone(m[workspace]), c)
	return &more
}

// tick ends a measuring period and returns the flows that are in use.
func (m flows) tick(elapsed time.Duration) *flows {
	kept, idle := make(flows, len(m)), false
	m.each(func(key flowKey, c *flow) {
		if c.tick(elapsed) {
			kept[key.workspace] = append(kept[key.workspace], c)
		} else {
			idle = true
		}
	})
	if !idle {
		return &m
	}
	return &kept
}

// meanCost returns the mean slot time of the requests, in seconds.
func (m flows) meanCost() float64 {
	sum, count := 0.0, 0
	m.each(func(_ flowKey, c *flow) {
		c.mu.Lock()
		defer c.mu.Unlock()
		sum, count = sum+c.cost, count+1
	})
	if count == 0 {
		return initialCost
	}
	return sum / float64(count)
}

// flowKey identifies the requests of one workspace and class at an upstream.
type flowKey struct {
	workspace string
	class     int
}

// flow holds the demand and the share of one workspace and class at this instance.
type flow struct {
	class int
	mu    sync.Mutex
	// demand is the slot time of arriving requests, used that of requests that endpoints ran,
	// refused that of requests for which there was no room, all in slots.
	demand, used, refused meter
	// cost is the mean slot time of a request in seconds.
	cost float64
	// quota limits the requests while slots are scarce.
	quota quota
	// untilNanos is the time from which the quota is too old, in Unix nanoseconds.
	untilNanos int64
	// tokens is the slot time that may be used at once, as of refilledAt in Unix nanoseconds.
	// perNano is the refill, most the largest balance.
	tokens, perNano, most float64
	refilledAt            int64
}

// quota is the part of a share that an instance admits.
type quota struct {
	// limited is set if the share is below the demand, or may become so.
	limited bool
	// until is the time from which the share is too old to count.
	until time.Time
	// fraction is the fraction of the requests that is within the share, perSecond the slot
	// time per second up to which they are.
	fraction, perSecond float64
	// demand and share are those of the whole fleet, in slots.
	demand, share float64
}

// admit counts a request and compares it with the share.
func (c *flow) admit(now time.Time, random float64) (bool, Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand.amount += c.cost
	if !c.quota.limited {
		return true, NotScarce
	}
	now64 := monotonic.Nanos(now)
	if now64 > c.untilNanos {
		return true, SharesOutdated
	}
	if random >= c.quota.fraction {
		return false, AboveShare
	}
	if !c.takeToken(now64) {
		return false, DemandJumped
	}
	return true, WithinShare
}

// takeToken takes the slot time of a request. The balance may become negative, so that
// requests that are large in comparison with the share are not starved.
func (c *flow) takeToken(now int64) bool {
	if elapsed := now - c.refilledAt; elapsed > 0 {
		c.tokens += float64(elapsed) * c.perNano
		c.refilledAt = now
		if c.tokens > c.most {
			c.tokens = c.most
		}
	}
	if c.tokens <= 0 {
		return false
	}
	c.tokens -= c.cost
	return true
}

// tick ends a measuring period and reports whether the flow is still in use.
func (c *flow) tick(elapsed time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand.tick(elapsed)
	c.used.tick(elapsed)
	c.refused.tick(elapsed)
	return c.demand.rate >= idleDemand || c.used.rate >= idleDemand
}

func (c *flow) recordUse(slotTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used.amount += slotTime.Seconds()
	c.cost += costSmoothing * (slotTime.Seconds() - c.cost)
}

func (c *flow) withdraw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand.amount -= c.cost
}

func (c *flow) recordRefusal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused.amount += c.cost
}

// rates returns the demand, use and refused slots. Requests that are withdrawn in the period
// after their arrival can make the measured demand negative.
func (c *flow) rates() (demand, used, refused float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return math.Max(c.demand.rate, 0), c.used.rate, c.refused.rate
}

func (c *flow) setQuota(q quota) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyQuota(q)
}

// applyQuota sets the quota. The caller must hold c.mu or be the only one to know the flow.
func (c *flow) applyQuota(q quota) {
	wasLimited := c.quota.limited
	rate := jumpMargin * q.perSecond
	c.quota, c.untilNanos = q, monotonic.Nanos(q.until)
	c.perNano = rate / float64(time.Second)
	c.most = math.Max(burstTime.Seconds()*rate, burstRequests*c.cost)
	if !wasLimited {
		c.tokens = c.most
	}
}

func (c *flow) currentQuota() quota {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quota
}
