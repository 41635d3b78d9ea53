package placement

import (
	"fmt"
	"sync/atomic"
	"time"

	"lovagescale/internal/monotonic"
)

// Bounds of what an endpoint reports of its load. A value beyond them is a fault of the
// endpoint.
const (
	minSpeed         = 25
	maxSpeed         = 2000
	maxReportedCount = 100_000
)

// UsualSpeed is the speed at which work takes as long as usual.
const UsualSpeed = 100

const (
	// speedLifetime is the time in which a reported speed loses its weight: the speed of a
	// machine changes about as often, so that an older one tells nothing of the present.
	speedLifetime = 600 * time.Millisecond
	// frozenAfter is the time for which a speed other than the usual one may stay the same.
	// A longer one is taken for a fault of the endpoint; if its machine is slow for that
	// long, its health shows it.
	frozenAfter = 5 * time.Second
	// implausibleLogInterval is the time between two notices of an endpoint's faulty
	// reports.
	implausibleLogInterval = 10 * time.Second
)

// ReportedLoad is what an endpoint reports of its load.
type ReportedLoad struct {
	// Running and Waiting are numbers of requests. Slots is 0 if it was not reported.
	Running, Waiting, Slots int
	// Speed is how long work takes at present, in percent of the usual time, or 0 if
	// unknown.
	Speed int
}

// ImplausibleLoadError reports a load with a value out of its bounds.
type ImplausibleLoadError struct{ Load ReportedLoad }

// Error implements the error interface.
func (e *ImplausibleLoadError) Error() string {
	return fmt.Sprintf("reported load is implausible: %d running, %d waiting, %d slots, speed %d", e.Load.Running, e.Load.Waiting, e.Load.Slots, e.Load.Speed)
}

// Bounded returns the load with its counts within their bounds and an implausible speed
// as unknown, and an *ImplausibleLoadError if that changed it.
func (l ReportedLoad) Bounded() (ReportedLoad, error) {
	b := l
	for _, count := range []*int{&b.Running, &b.Waiting, &b.Slots} {
		*count = min(max(*count, 0), maxReportedCount)
	}
	if b.Speed != 0 && (b.Speed < minSpeed || b.Speed > maxSpeed) {
		b.Speed = 0
	}
	if b != l {
		return b, &ImplausibleLoadError{Load: l}
	}
	return b, nil
}

// reportedSpeed is the last known speed of an endpoint.
type reportedSpeed struct {
	// latest holds the time in Unix milliseconds and, in the low 16 bits, the speed.
	latest atomic.Uint64
	// own and ownSince are the last speed that the endpoint reported to this instance and
	// the time in Unix milliseconds since which it is the same.
	own      atomic.Int64
	ownSince atomic.Int64
	// ownAt is the time of the last report to this instance, loggedAt that of the last
	// notice of a faulty one, both in Unix milliseconds.
	ownAt, loggedAt atomic.Int64
}

// store stores a speed unless a later one is known.
func (r *reportedSpeed) store(at time.Time, speed int) {
	entry := uint64(monotonic.Millis(at))<<16 | uint64(speed)
	for {
		known := r.latest.Load()
		if known>>16 > entry>>16 || r.latest.CompareAndSwap(known, entry) {
			return
		}
	}
}

// factor returns how many times as long as usual work is expected to take now. It decays
// to 1 with the age of the report.
func (r *reportedSpeed) factor(nowMillis int64) float64 {
	entry := r.latest.Load()
	age := max(nowMillis-int64(entry>>16), 0)
	if age >= speedLifetime.Milliseconds() {
		return 1
	}
	weight := 1 - float64(age)/float64(speedLifetime.Milliseconds())
	return 1 + weight*(float64(entry&0xffff)/UsualSpeed-1)
}

// SetReportedLoad stores the load that the endpoint reported to this instance. It returns
// the load without a speed that is not trusted.
func (e *Endpoint) SetReportedLoad(now time.Time, load ReportedLoad) ReportedLoad {
	e.reportedOthers.Store(max(int64(load.Running+load.Waiting)-e.inFlight.Load(), 0))
	e.reportedAt.Store(monotonic.Nanos(now))
	r, at := &e.speed, monotonic.Millis(now)
	if r.own.Swap(int64(load.Speed)) != int64(load.Speed) {
		r.ownSince.Store(at)
	}
	r.ownAt.Store(at)
	frozen := load.Speed != UsualSpeed && at-r.ownSince.Load() > frozenAfter.Milliseconds()
	if frozen {
		load.Speed = 0
	}
	if load.Speed > 0 {
		r.store(now, load.Speed)
	}
	return load
}

// LogFault reports whether a faulty report of the endpoint is to be logged now.
func (e *Endpoint) LogFault(now time.Time) bool {
	last := e.speed.loggedAt.Load()
	return monotonic.Millis(now)-last >= implausibleLogInterval.Milliseconds() && e.speed.loggedAt.CompareAndSwap(last, monotonic.Millis(now))
}

// SetPeerSpeed stores the speed that the endpoint reported to another instance at the
// given time.
func (e *Endpoint) SetPeerSpeed(at time.Time, speed int) {
	if speed >= minSpeed && speed <= maxSpeed {
		e.speed.store(at, speed)
	}
}

// SpeedToReport returns the speed that other instances must learn from this one, with its
// age. It reports false if the endpoint is about as fast as usual or the speed is old.
func (e *Endpoint) SpeedToReport(now time.Time) (speed int, age time.Duration, ok bool) {
	entry := e.speed.latest.Load()
	heardAt := e.speed.ownAt.Load()
	if int64(entry>>16) != heardAt {
		return 0, 0, false // another instance told this one of it, or it counts as unknown
	}
	age = time.Duration(monotonic.Millis(now)-heardAt) * time.Millisecond
	speed = int(entry & 0xffff)
	return speed, age, isUnusual(speed) && age < speedLifetime
}

// isUnusual reports whether a speed is not about as usual.
func isUnusual(speed int) bool {
	const tolerance = 20
	return speed < UsualSpeed-tolerance || speed > UsualSpeed+tolerance
}

// isUneven reports whether the last speed that is known of the endpoint is not as usual,
// however old it is.
func (e *Endpoint) isUneven() bool {
	speed := int(e.speed.latest.Load() & 0xffff)
	return speed != 0 && isUnusual(speed)
}

// SpeedFactor returns how many times as long as usual work is expected to take now.
func (e *Endpoint) SpeedFactor(now time.Time) float64 { return e.speed.factor(monotonic.Millis(now)) }
