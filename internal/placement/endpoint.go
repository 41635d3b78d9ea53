package placement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lovagescale/internal/monotonic"
	"lovagescale/internal/namedlimit"
	"lovagescale/internal/upstream"
)

// Endpoint is one lifetime of an upstream's endpoint, with its load and health as this
// instance knows them. It is safe for concurrent use.
type Endpoint struct {
	// A choice reads the fields up to slotFreeAt of all endpoints of a region. They are
	// together at the start, in one or two lines of the processor's cache.

	// hash is the hash of the endpoint's identifier.
	hash uint64
	// slots is Record.Slots.
	slots int64
	// inFlight is the number of in-flight requests of this instance, othersInFlight that
	// of the other instances, see SetOthersInFlight.
	inFlight       atomic.Int64
	othersInFlight atomic.Int64
	// reportedOthers is the number of in-flight requests of the other instances according
	// to the endpoint itself, at the time reportedAt in Unix nanoseconds.
	reportedOthers atomic.Int64
	reportedAt     atomic.Int64
	// restrictedUntil and waitingSince copy the state under the lock, see unlock.
	restrictedUntil atomic.Int64
	waitingSince    atomic.Int64
	// slotFreeAt is the last time in Unix nanoseconds at which a choice found a free slot.
	slotFreeAt atomic.Int64

	Record
	// Region is the region of the endpoint's zone.
	Region string
	Pool   *upstream.Pool

	speed reportedSpeed
	// othersMean is the moving average of the in-flight requests that the other instances
	// reported. Only the control loop uses it.
	othersMean float64

	mu          sync.Mutex
	health      health
	coldLimiter coldLimiter
	departure   departure
	// pausedUntil is the time until which the endpoint wants no requests of this instance.
	pausedUntil time.Time
	limit       namedlimit.Limit
}

// unlock releases the lock after a change. It publishes until when the state under the lock
// restricts the use of the endpoint, and since when the endpoint owes an answer, so that a
// choice takes the lock of restricted endpoints only.
func (e *Endpoint) unlock() {
	until := int64(0)
	for _, t := range [...]time.Time{e.pausedUntil, e.health.unavailableUntil, e.health.degradedUntil, e.coldLimiter.until, e.limit.ReleasedAt()} {
		if !t.IsZero() {
			until = max(until, monotonic.Nanos(t))
		}
	}
	if e.departure != staying || e.limit.Stands() {
		until = math.MaxInt64
	}
	e.restrictedUntil.Store(until)
	if !e.health.waitingSince.IsZero() {
		e.waitingSince.Store(monotonic.Nanos(e.health.waitingSince))
	}
	e.mu.Unlock()
}

// restore takes over what was known of an earlier endpoint of the same run.
func (e *Endpoint) restore(last lastRun) {
	e.mu.Lock()
	defer e.unlock()
	e.departure, e.limit = last.departure, last.limit
}

// departure is what this instance knows of an endpoint's leaving.
type departure uint8

const (
	staying departure = iota
	// leavingByReport was reported by another instance.
	leavingByReport
	// leavingByAnswer was stated in an answer to this instance.
	leavingByAnswer
)

// newEndpoint returns the endpoint of a record.
func newEndpoint(record Record, region string, pool *upstream.Pool) *Endpoint {
	return &Endpoint{Record: record, Region: region, Pool: pool, hash: hashString(record.ID), slots: int64(record.Slots)}
}

// reportedLoadLifetime is how long the load that an endpoint reported itself counts.
const reportedLoadLifetime = 250 * time.Millisecond

// countOthers returns the number of in-flight requests of the other instances. It takes the
// larger of what they and the endpoint reported.
func (e *Endpoint) countOthers(nowNano int64) int64 {
	others := e.othersInFlight.Load()
	if nowNano-e.reportedAt.Load() < int64(reportedLoadLifetime) {
		others = max(others, e.reportedOthers.Load())
	}
	return others
}

// Queues reports whether all slots are in use by the requests that were counted, so that one
// of them waits.
func (e *Endpoint) Queues(now time.Time) bool {
	return e.inFlight.Load()+e.countOthers(monotonic.Nanos(now)) > e.slots
}

// InFlight returns the number of in-flight requests of this instance.
func (e *Endpoint) InFlight() int { return int(e.inFlight.Load()) }

// othersSmoothing is the weight of the last report in the moving average of the other
// instances' in-flight requests.
const othersSmoothing = 0.15

// SetOthersInFlight stores the number of in-flight requests that the other instances
// reported. Their moving average counts if it is larger than the last report: instances
// that all react to the same report of free slots would fill the slots several times
// over.
func (e *Endpoint) SetOthersInFlight(n int) {
	e.othersMean += othersSmoothing * (float64(n) - e.othersMean)
	e.othersInFlight.Store(max(int64(n), int64(math.Round(e.othersMean))))
}

// beginRequest counts a request as in flight.
func (e *Endpoint) beginRequest(now time.Time) {
	e.mu.Lock()
	defer e.unlock()
	if e.inFlight.Add(1) == 1 {
		e.health.waitingSince = now
	}
}

// SetLeaving records that the endpoint stated in an answer that it is leaving. This run
// of it gets no further requests. It returns false if an answer stated so before.
func (e *Endpoint) SetLeaving() bool {
	known := e.raiseDeparture(leavingByAnswer)
	e.Pool.SetRetired(true)
	return known < leavingByAnswer
}

// raiseDeparture records what is known of the endpoint's leaving, unless more is known
// already, and returns what was known before.
func (e *Endpoint) raiseDeparture(d departure) departure {
	e.mu.Lock()
	defer e.unlock()
	known := e.departure
	e.departure = max(known, d)
	return known
}

func (e *Endpoint) knownDeparture() departure { return e.raiseDeparture(staying) }

// SaidLeaving reports whether an answer to this instance stated that the endpoint is
// leaving.
func (e *Endpoint) SaidLeaving() bool { return e.knownDeparture() == leavingByAnswer }

// Pause records that the endpoint wants no requests of this instance until the given time.
func (e *Endpoint) Pause(until time.Time) {
	e.mu.Lock()
	defer e.unlock()
	if until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}

// remainingPause returns how much longer the endpoint wants no requests, or 0. It reports
// false if the endpoint is leaving.
func (e *Endpoint) remainingPause(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.pausedUntil.Sub(now), 0), e.departure == staying
}

// absent reports whether the endpoint's slots are out of use, because it is leaving or
// wants no requests. The caller must hold the lock.
func (e *Endpoint) absent(now time.Time) bool {
	return e.departure != staying || now.Before(e.pausedUntil)
}

// status returns the health of the endpoint and whether the endpoint is cold.
func (e *Endpoint) status(now time.Time) (healthStatus, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.absent(now) {
		return unavailable, false
	}
	return e.health.status(now, int(e.inFlight.Load())), e.coldLimiter.isActive(now)
}

// SetCold makes the endpoint cold until the given time. While it is cold it gets one
// request from this instance per interval.
func (e *Endpoint) SetCold(now, until time.Time, interval time.Duration) {
	e.mu.Lock()
	defer e.unlock()
	e.coldLimiter.start(now, until, interval)
}

// ForgetOutage forgets that the endpoint did not answer, because this instance reached no
// endpoint at all.
func (e *Endpoint) ForgetOutage(now time.Time) {
	e.mu.Lock()
	defer e.unlock()
	e.health = health{latencyRatio: e.health.latencyRatio, waitingSince: now}
}

// Result is the outcome of an attempt at an endpoint.
type Result uint8

// The results of an attempt.
const (
	// Answered is a complete answer that reports no failure of the endpoint.
	Answered Result = iota
	// Failed is a complete answer that reports a failure of the endpoint.
	Failed
	// Full is a refusal before the endpoint began to process the request.
	Full
	// Misdirected is a refusal because another endpoint uses the address now.
	Misdirected
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Lost is a connection that broke, or an invalid answer.
	Lost
	// Expired is an attempt without an answer by its deadline.
	Expired
	// Abandoned is an attempt that this instance cancelled, because the caller disconnected
	// or another attempt of the request was answered first.
	Abandoned
	// Crowded is an attempt that found no free connection in this instance's pool.
	Crowded
)

var resultNames = [...]string{"answered", "failed", "full", "misdirected", "unreachable", "lost", "expired", "abandoned", "crowded"}

// String returns the result's name.
func (r Result) String() string { return resultNames[r] }

// endRequest records the result of an attempt. latencyRatio is the duration of the
// attempt divided by the usual one for its route, or 0 if unknown.
func (e *Endpoint) endRequest(now time.Time, result Result, latencyRatio float64) {
	e.mu.Lock()
	defer e.unlock()
	e.inFlight.Add(-1)
	e.health.recordResult(now, result, latencyRatio)
}

// Description is an endpoint's state in the dump for operators.
type Description struct {
	ID             string  `json:"id"`
	Upstream       string  `json:"upstream"`
	Address        string  `json:"address"`
	Zone           string  `json:"availability_zone"`
	Slots          int     `json:"slots"`
	InFlight       int     `json:"in_flight"`
	OthersInFlight int     `json:"in_flight_of_others"`
	LatencyRatio   float64 `json:"pace"`
	FailureRate    float64 `json:"failures"`
	Usable         bool    `json:"usable"`
	Cold           bool    `json:"cold"`
	Leaving        bool    `json:"leaving"`
	// PauseMillis is how much longer the endpoint wants no requests of this instance.
	PauseMillis int64 `json:"pause_ms"`
	// SpeedPercent is how long work is expected to take, in percent of the usual time.
	SpeedPercent int `json:"speed_percent"`
	// LimitPerSecond is the rate that the endpoint takes from all instances together, which
	// rises for a time after the end of its limit; absent without a limit.
	LimitPerSecond *float64 `json:"limit_per_second,omitempty"`
	// LimitHeardMillis is the time since this instance last learned of an answer that named the
	// limit; absent if there was none. LimitIntervalMillis is the time between two requests of this
	// instance under the limit, or 0 if only others send requests.
	LimitHeardMillis    *int64 `json:"limit_heard_ms,omitempty"`
	LimitIntervalMillis int64  `json:"limit_interval_ms,omitempty"`
}

// Describe returns the endpoint's state for the dump.
func (e *Endpoint) Describe(now time.Time) Description {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := Description{
		ID: e.ID, Upstream: e.Upstream, Address: e.Address, Zone: e.Zone, Slots: e.Slots,
		InFlight: e.InFlight(), OthersInFlight: int(e.othersInFlight.Load()),
		LatencyRatio: e.health.latencyRatio, FailureRate: e.health.failureRate,
		Usable: !e.absent(now) && e.health.status(now, e.InFlight()) == healthy, Cold: e.coldLimiter.isActive(now),
		SpeedPercent: int(math.Round(UsualSpeed * e.SpeedFactor(now))),
		Leaving:      e.departure != staying, PauseMillis: max(e.pausedUntil.Sub(now), 0).Milliseconds(),
	}
	if e.limit.InForce(now) {
		rate := e.limit.Rate(now)
		d.LimitPerSecond = &rate
		d.LimitIntervalMillis = e.limit.Interval().Milliseconds()
	}
	if heardAt := e.limit.LastNews(); !heardAt.IsZero() {
		age := now.Sub(heardAt).Milliseconds()
		d.LimitHeardMillis = &age
	}
	return d
}
