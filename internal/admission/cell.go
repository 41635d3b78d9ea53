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

// cells are the cells of an upstream by workspace. A workspace has few classes, so that they
// are compared one by one. It is immutable except for the state of its cells.
type cells map[string][]*cell

func (m cells) find(key cellKey) *cell {
	for _, c := range m[key.workspace] {
		if c.class == key.class {
			return c
		}
	}
	return nil
}

func (m cells) each(visit func(key cellKey, c *cell)) {
	for workspace, list := range m {
		for _, c := range list {
			visit(cellKey{workspace, c.class}, c)
		}
	}
}

// with returns the cells and a further one.
func (m cells) with(workspace string, c *cell) *cells {
	more := maps.Clone(m)
	more[workspace] = append(slices.Clone(m[workspace]), c)
	return &more
}

// tick ends a measuring period and returns the cells that are in use.
func (m cells) tick(elapsed time.Duration) *cells {
	kept, idle := make(cells, len(m)), false
	m.each(func(key cellKey, c *cell) {
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
func (m cells) meanCost() float64 {
	sum, count := 0.0, 0
	m.each(func(_ cellKey, c *cell) {
		c.mu.Lock()
		defer c.mu.Unlock()
		sum, count = sum+c.cost, count+1
	})
	if count == 0 {
		return initialCost
	}
	return sum / float64(count)
}

// cellKey identifies the requests of one workspace and class at an upstream.
type cellKey struct {
	workspace string
	class     int
}

// cell holds the demand and the share of one workspace and class at this instance.
type cell struct {
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
func (c *cell) admit(now time.Time, random float64) (bool, Reason) {
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
func (c *cell) takeToken(now int64) bool {
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

// tick ends a measuring period and reports whether the cell is still in use.
func (c *cell) tick(elapsed time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand.tick(elapsed)
	c.used.tick(elapsed)
	c.refused.tick(elapsed)
	return c.demand.rate >= idleDemand || c.used.rate >= idleDemand
}

func (c *cell) recordUse(slotTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used.amount += slotTime.Seconds()
	c.cost += costSmoothing * (slotTime.Seconds() - c.cost)
}

func (c *cell) withdraw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand.amount -= c.cost
}

func (c *cell) recordRefusal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused.amount += c.cost
}

// rates returns the demand, use and refused slots. Requests that are withdrawn in the period
// after their arrival can make the measured demand negative.
func (c *cell) rates() (demand, used, refused float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return math.Max(c.demand.rate, 0), c.used.rate, c.refused.rate
}

func (c *cell) setQuota(q quota) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyQuota(q)
}

// applyQuota sets the quota. The caller must hold c.mu or be the only one to know the cell.
func (c *cell) applyQuota(q quota) {
	wasLimited := c.quota.limited
	rate := jumpMargin * q.perSecond
	c.quota, c.untilNanos = q, monotonic.Nanos(q.until)
	c.perNano = rate / float64(time.Second)
	c.most = math.Max(burstTime.Seconds()*rate, burstRequests*c.cost)
	if !wasLimited {
		c.tokens = c.most
	}
}

func (c *cell) currentQuota() quota {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quota
}
