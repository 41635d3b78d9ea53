package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lovagescale/internal/upstream"
)

// Endpoint is one lifetime of an upstream endpoint with what this instance has
// learned of it. It is safe for concurrent use.
type Endpoint struct {
	Record
	// Region is that of the endpoint's zone.
	Region string
	Pool   *upstream.Pool

	seed uint64
	// own and others count the requests under way from this instance and, as
	// they last told, from the other ones.
	own    atomic.Int64
	others atomic.Int64
	// toldOthers is the load of other instances by the endpoint's own account, as
	// of toldAt in Unix nanoseconds.
	toldOthers atomic.Int64
	toldAt     atomic.Int64
	// othersMean belongs to the control loop.
	othersMean float64

	mu     sync.Mutex
	health health
	cold   pacer
}

// newEndpoint returns the runtime of a record.
func newEndpoint(record Record, region string, pool *upstream.Pool) *Endpoint {
	return &Endpoint{Record: record, Region: region, Pool: pool, seed: hashText(record.ID)}
}

// toldLifetime is how long an endpoint's own account of its load counts.
const toldLifetime = 250 * time.Millisecond

// load returns the requests under way from all instances: by their own account
// or by the endpoint's, whichever is more.
func (e *Endpoint) load(now time.Time) int {
	others := e.others.Load()
	if now.UnixNano()-e.toldAt.Load() < int64(toldLifetime) {
		others = max(others, e.toldOthers.Load())
	}
	return int(e.own.Load() + others)
}

// Told takes the endpoint's own account of the requests that it holds.
func (e *Endpoint) Told(now time.Time, held int) {
	e.toldOthers.Store(max(int64(held)-e.own.Load(), 0))
	e.toldAt.Store(now.UnixNano())
}

// Own returns the requests under way from this instance.
func (e *Endpoint) Own() int { return int(e.own.Load()) }

// othersSmoothing is the weight of the last news in the mean load of the other
// instances.
const othersSmoothing = 0.15

// SetOthers sets the requests that the other instances told. Their mean counts
// where it is more than the last news: instances that all act on the same news
// of free slots would fill them several times over.
func (e *Endpoint) SetOthers(n int) {
	e.othersMean += othersSmoothing * (float64(n) - e.othersMean)
	e.others.Store(max(int64(n), int64(math.Round(e.othersMean))))
}

// begin counts a request.
func (e *Endpoint) begin(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.own.Add(1) == 1 {
		e.health.waitingSince = now
	}
}

// condition returns what the endpoint may get and whether it is cold.
func (e *Endpoint) condition(now time.Time) (fitness, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.health.fitness(now, int(e.own.Load())), e.cold.active(now)
}

// coldTurn reports whether a cold endpoint may get a request now.
func (e *Endpoint) coldTurn(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold.turn(now)
}

// takeCold takes a turn at a cold endpoint; it reports false when there is none
// yet.
func (e *Endpoint) takeCold(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold.take(now)
}

// Chill makes the endpoint cold until a time; turns come at the interval.
func (e *Endpoint) Chill(now, until time.Time, interval time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold.chill(now, until, interval)
}

// Result is how a try at an endpoint ended.
type Result uint8

// The results of a try.
const (
	// Answered is a whole answer that is no failure of the endpoint.
	Answered Result = iota
	// Failed is a whole answer that reports a failure of the endpoint.
	Failed
	// Full is a refusal before work.
	Full
	// Misdirected is the refusal of another endpoint at the address.
	Misdirected
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Lost is a connection that broke, or an answer that was none.
	Lost
	// Expired is a try without an answer by its deadline.
	Expired
	// Abandoned is a try whose caller went away.
	Abandoned
	// Crowded is a try for which this instance has no connection left.
	Crowded
)

var resultNames = [...]string{"answered", "failed", "full", "misdirected", "unreachable", "lost", "expired", "abandoned", "crowded"}

// String returns the result's name.
func (r Result) String() string { return resultNames[r] }

// end takes the result of a try that ran for elapsed; pace is elapsed as a
// multiple of what is usual for its route, 0 when unknown.
func (e *Endpoint) end(now time.Time, result Result, pace float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.own.Add(-1)
	e.health.learn(now, result, pace)
}

// Description is an endpoint's state for the operators' dump.
type Description struct {
	ID       string  `json:"id"`
	Upstream string  `json:"upstream"`
	Address  string  `json:"address"`
	Zone     string  `json:"availability_zone"`
	Slots    int     `json:"slots"`
	Own      int     `json:"in_flight"`
	Others   int     `json:"in_flight_of_others"`
	Pace     float64 `json:"pace"`
	Failures float64 `json:"failures"`
	Usable   bool    `json:"usable"`
	Cold     bool    `json:"cold"`
}

// Describe returns the endpoint's state.
func (e *Endpoint) Describe(now time.Time) Description {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Description{
		ID: e.ID, Upstream: e.Upstream, Address: e.Address, Zone: e.Zone, Slots: e.Slots,
		Own: e.Own(), Others: int(e.others.Load()),
		Pace: e.health.pace, Failures: e.health.failures,
		Usable: e.health.fitness(now, e.Own()) == sound, Cold: e.cold.active(now),
	}
}
