// Package retryafter names the times after which refused callers find capacity, and
// recognises the callers that return in them.
//
// A Schedule holds, for each upstream, the places that this instance promised: moments at
// which a returning request is expected to find a free slot. An instance promises its part
// of the expected capacity, so that the promises of all instances do not exceed it. A
// caller may return to any instance. Each instance therefore admits as many returns as it
// made promises, whichever they are: on the average the others do the same.
//
// Failure modes: a restart loses the book; callers with promises of it then count as new
// at that instance. Without a known capacity nothing is promised. On a route whose callers
// use differing timeouts nothing is promised, reserved or recognised.
package retryafter

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times and bounds of the places of returning callers.
const (
	// reserveLead is how long before a promise is due its slot is left free.
	reserveLead = minPromise
	// reserveGrace is how long after a promise is due its slot is left free. It covers the
	// way back of the refusal, a new connection and the way of the request.
	reserveGrace = 150 * time.Millisecond
	// maxReservedFraction is the fraction of the slots that is left free at most.
	maxReservedFraction = promisedFraction
	// maxCredit and maxDebt bound by how many the admitted returns differ from the
	// promises that are due. Returns to one instance arrive at random.
	maxCredit, maxDebt = 12, 12
	// creditLifetime is the time after the last promise was due in which returns are
	// admitted.
	creditLifetime = 2 * time.Second
	// earlyFraction is the fraction of the shortest wait that this instance promised within
	// earlyWindow of a caller's refusal below which its return is early. The instance that
	// refused it may have promised a shorter wait.
	earlyFraction = 0.6
	earlyWindow   = time.Second
	// maxOutstanding bounds the promises of an upstream.
	maxOutstanding = 4096
)

// Schedule holds the promises of one instance. It is safe for concurrent use.
type Schedule struct {
	mu        sync.Mutex
	upstreams map[string]*ledger
	routes    map[string]*timeouts
}

// ledger holds the promises for one upstream.
type ledger struct {
	places
	capacity   Capacity
	capacityAt time.Time
	// outstanding are the promises that are not due yet, due those whose slots are left
	// free now, past those that were due within creditLifetime, all by time.
	outstanding, due, past []promise
	// credit is the number of returns that may be admitted, see maxCredit and maxDebt.
	credit    int
	lastDueAt time.Time
	// fullAt is when a first request got no place last.
	fullAt time.Time
}

// promise is a place that was assigned at the time madeAt.
type promise struct{ madeAt, at time.Time }

// NewSchedule returns an empty book.
func NewSchedule() *Schedule {
	return &Schedule{upstreams: make(map[string]*ledger), routes: make(map[string]*timeouts)}
}

// SetCapacity sets the expected capacity of an upstream. It counts for capacityLifetime.
func (b *Schedule) SetCapacity(now time.Time, upstream string, c Capacity) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, found := b.upstreams[upstream]
	if !found {
		l = &ledger{}
		b.upstreams[upstream] = l
	}
	l.capacity, l.capacityAt = c, now
}

// Observe records the timeout that a caller stated and returns the origin of its request.
func (b *Schedule) Observe(route string, timeout time.Duration) Origin {
	if timeout <= 0 {
		return Unknown
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.route(route).observe(timeout)
}

// route returns the timeouts of a route. The caller must hold b.mu.
func (b *Schedule) route(name string) *timeouts {
	t, found := b.routes[name]
	if !found {
		t = &timeouts{}
		b.routes[name] = t
	}
	return t
}

// Refused is a request that is refused for lack of capacity.
type Refused struct {
	Upstream, Route string
	// Timeout is what the caller stated when the request arrived.
	Timeout time.Duration
	// TimeLeft is the time that the caller has left.
	TimeLeft time.Duration
	// Earliest is the time before which there is certainly no capacity.
	Earliest time.Duration
}

// RecordRefusal records that a request of the route with the timeout was refused for another
// reason than capacity, and will return without a promise.
func (b *Schedule) RecordRefusal(route string, timeout time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.route(route).recordRefusal(timeout)
}

// Promise returns the time after which a refused caller is to return. ok is false if no
// place is free within the time that the caller waits at most; wait is then longer. A wait
// of 0 says that nothing is known: returns on the route cannot be recognised, or there is
// no capacity known. Only first requests get a place, since a caller is expected to return
// once. random is in [0, 1).
func (b *Schedule) Promise(now time.Time, r Refused, random float64) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	route := b.route(r.Route)
	l, found := b.upstreams[r.Upstream]
	route.recordRefusal(r.Timeout)
	if !found || route.usual == 0 || r.TimeLeft <= 0 || !l.capacityKnown(now) {
		return 0, false
	}
	if originOf(route.usual, r.Timeout) == New {
		if wait, ok := l.promise(now, r, random); ok {
			return wait, true
		}
	}
	return noPlace(r.TimeLeft, r.Earliest, random), false
}

func (l *ledger) capacityKnown(now time.Time) bool {
	return now.Sub(l.capacityAt) <= capacityLifetime && l.capacity.placesPerSecond() > 0
}

// promise assigns a place. It returns false if none is free in time.
func (l *ledger) promise(now time.Time, r Refused, random float64) (time.Duration, bool) {
	interval := max(intervalOf(l.capacity.placesPerSecond()), time.Microsecond)
	first := now.Add(max(minPromise, l.capacity.turnover(), r.Earliest, l.capacity.drainTime()))
	if l.next.IsZero() {
		l.next = first.Add(time.Duration(random * float64(interval)))
	}
	l.skipTo(first, interval)
	latest := min(LongestWait(r.TimeLeft)-margin(r.TimeLeft), maxPromise)
	if len(l.outstanding) >= maxOutstanding {
		return 0, false
	}
	wait, ok := l.take(now, now.Add(latest), interval, random)
	if ok {
		l.outstanding = append(l.outstanding, promise{now, now.Add(wait)})
	} else {
		l.fullAt = now
	}
	return wait, ok
}

// settle moves the promises that are due and drops those whose time has passed.
func (l *ledger) settle(now time.Time) {
	for len(l.outstanding) > 0 && !l.outstanding[0].at.Add(-reserveLead).After(now) {
		l.lastDueAt = l.outstanding[0].at
		l.due = append(l.due, l.outstanding[0])
		l.past = append(l.past, l.outstanding[0])
		l.outstanding = l.outstanding[1:]
		l.credit = min(l.credit+1, maxCredit)
	}
	for len(l.due) > 0 && l.due[0].at.Add(reserveGrace).Before(now) {
		l.due = l.due[1:]
	}
	for len(l.past) > 0 && now.Sub(l.past[0].at) > creditLifetime {
		l.past = l.past[1:]
	}
	if now.Sub(l.lastDueAt) > creditLifetime {
		l.credit = min(l.credit, 0)
	}
}

// Redeem admits a returning request with the given timeout to a place. It returns false if
// the request is to be treated as a new one: it is not Returning, it is early for the
// promises that are due, or as many returns were admitted as promises became due.
func (b *Schedule) Redeem(now time.Time, upstream, route string, timeout time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, found := b.upstreams[upstream]
	usual := b.route(route).usual
	if !found || originOf(usual, timeout) != Returning {
		return false
	}
	l.settle(now)
	if now.Sub(l.lastDueAt) > creditLifetime || l.credit <= -maxDebt || l.isEarly(now, usual-timeout) {
		return false
	}
	l.credit--
	if len(l.due) > 0 {
		l.due = l.due[1:]
	}
	return true
}

// isEarly reports whether a caller that returns the given time after its first request
// cannot have waited for its promise: those made about then were for later times. While
// places are free, the waits that instances promise differ, and only the least of them
// counts.
func (l *ledger) isEarly(now time.Time, elapsed time.Duration) bool {
	shortest, refusedAt := l.capacity.turnover(), now.Add(-elapsed)
	if refusedAt.Sub(l.fullAt) <= earlyWindow {
		shortest = max(shortest, l.shortestWait(refusedAt))
	}
	return float64(elapsed) < earlyFraction*float64(shortest)
}

// shortestWait returns the shortest wait that was promised within earlyWindow of a time.
func (l *ledger) shortestWait(madeAt time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, promises := range [][]promise{l.past, l.outstanding} {
		for _, p := range promises {
			if wait := p.at.Sub(p.madeAt); p.madeAt.Sub(madeAt).Abs() <= earlyWindow && (shortest == 0 || wait < shortest) {
				shortest = wait
			}
		}
	}
	return shortest
}

// ReservedFraction returns the fraction of the upstream's slots that new requests leave
// free for returning ones now: the promises that are due, of this instance's part of the
// slots. If all instances leave it free, the slots suffice for the promises of all.
func (b *Schedule) ReservedFraction(now time.Time, upstream string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, found := b.upstreams[upstream]
	if !found || len(l.outstanding)+len(l.due) == 0 {
		return 0
	}
	l.settle(now)
	slots := l.capacity.Share * l.capacity.Slots
	return math.Min(float64(len(l.due))/math.Max(slots, 1e-9), maxReservedFraction)
}

// RouteChange says that returns on a route can be recognised from now on, by the usual
// timeout of first requests, or cannot be any more, if Usual is 0.
type RouteChange struct {
	Route string
	Usual time.Duration
}

// Changes returns the routes whose recognition began or ended since the last call.
func (b *Schedule) Changes() []RouteChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []RouteChange
	for name, t := range b.routes {
		if t.changed {
			t.changed = false
			changes = append(changes, RouteChange{name, t.usual})
		}
	}
	return changes
}

// Description is the state of a book in the dump for operators.
type Description struct {
	Upstreams []UpstreamDescription `json:"upstreams"`
	// UsualTimeoutMillis is the timeout of first requests by route, 0 if the callers'
	// timeouts differ.
	UsualTimeoutMillis map[string]int64 `json:"usual_timeout_ms"`
}

// UpstreamDescription is the state of the promises for one upstream.
type UpstreamDescription struct {
	Upstream string `json:"upstream"`
	// PlacesPerSecond is what this instance promises at most.
	PlacesPerSecond float64 `json:"places_per_second"`
	// Outstanding promises are not due yet, slots for those that are due are left free.
	Outstanding int `json:"outstanding"`
	Due         int `json:"due"`
	// Credit is the number of promises that became due less that of the returns that were
	// admitted to places.
	Credit int `json:"credit"`
}

// Describe returns the book's state.
func (b *Schedule) Describe(now time.Time) Description {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := Description{UsualTimeoutMillis: make(map[string]int64)}
	for name, l := range b.upstreams {
		l.settle(now)
		d.Upstreams = append(d.Upstreams, UpstreamDescription{Upstream: name, PlacesPerSecond: l.capacity.placesPerSecond(),
			Outstanding: len(l.outstanding), Due: len(l.due), Credit: l.credit})
	}
	slices.SortFunc(d.Upstreams, func(a, b UpstreamDescription) int { return strings.Compare(a.Upstream, b.Upstream) })
	for name, t := range b.routes {
		d.UsualTimeoutMillis[name] = t.usual.Milliseconds()
	}
	return d
}
