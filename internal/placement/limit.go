package placement

import (
	"math"
	"time"
)

// Times of the limits that endpoints name.
const (
	// minLimitLifetime is how long a limit counts at least after the last answer that
	// named it.
	minLimitLifetime = 10 * time.Second
	// answersPerLimitLifetime is how many requests at the limit's rate fit in its lifetime.
	answersPerLimitLifetime = 3
	// reportedLimitLifetime is how long a limit counts that another instance reported.
	reportedLimitLifetime = 4 * time.Second
	// limitAbsentTime is how long reports of a limit are passed over after an answer that
	// named none: the reports may be older than the answer.
	limitAbsentTime = 5 * time.Second
)

// minLimit is the rate, in requests per second, with which an endpoint is used that names
// a smaller limit. Without requests nobody would learn that the limit has ended.
const minLimit = 0.1

// LimitSenders returns how many instances may send requests to an endpoint that names a
// limit, in requests per second. Each of them may have one request saved up, so that in d
// seconds the endpoint gets at most LimitSenders + d x perSecond requests.
func LimitSenders(perSecond float64) int {
	const sendersPerRate = 2
	return max(int(sendersPerRate*perSecond), 1)
}

// ColdSenders returns how many instances may send requests to a cold endpoint that takes
// the given requests per second. Each of them may have one request saved up, so that a
// second holds at most ColdSenders + perSecond requests.
func ColdSenders(perSecond float64) int {
	const sendersPerRate = 0.5
	return max(int(sendersPerRate*perSecond), 1)
}

// LimitInterval returns the time between two requests of each of several instances that
// share a limit.
func LimitInterval(perSecond float64, senders int) time.Duration {
	return time.Duration(float64(senders) / max(perSecond, minLimit) * float64(time.Second))
}

// namedLimit is the limit that an endpoint names in its answers for all instances
// together, and this instance's part of it.
type namedLimit struct {
	// The interval of the pacer is 0 while others share the limit.
	pacer
	// perSecond is the limit in requests per second. It counts until the time until.
	perSecond float64
	until     time.Time
	// heardAt is the time of the last answer to this instance that named the limit,
	// absentAt that of the last one that named none. beganAt is when the limit began to
	// count here.
	heardAt, absentAt, beganAt time.Time
}

func (l *namedLimit) isActive(now time.Time) bool { return now.Before(l.until) }

// limitLifetime returns how long a limit counts after the last answer that named it.
func limitLifetime(perSecond float64) time.Duration {
	return max(minLimitLifetime, LimitInterval(perSecond, answersPerLimitLifetime))
}

// countUntil makes a limit count until the given time. This instance sends nothing under a
// limit that is new to it until it knows its part.
func (l *namedLimit) countUntil(now time.Time, perSecond float64, until time.Time) {
	if !l.isActive(now) {
		l.interval = 0
		l.beganAt = now
	}
	l.perSecond = perSecond
	l.until = until
}

// SetNamedLimit records the limit that the endpoint named in an answer to this instance,
// in requests per second from all instances together, or that it named none. sentAt is when
// the request was sent: only an answer to a request that was sent after the limit was last
// heard shows its end, since another one may have been begun before. It reports whether the
// limit changed.
func (e *Endpoint) SetNamedLimit(now, sentAt time.Time, perSecond float64, named bool) bool {
	e.mu.Lock()
	defer e.unlock()
	l := &e.limit
	active := l.isActive(now)
	if !named && active && !sentAt.After(later(l.heardAt, l.beganAt)) {
		return false
	}
	if !named {
		l.until = time.Time{}
		l.absentAt = now
		return active
	}
	changed := !active || l.perSecond != perSecond
	l.countUntil(now, perSecond, now.Add(limitLifetime(perSecond)))
	l.heardAt = now
	return changed
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// applyReportedLimit records a limit that the endpoint named to another instance. What it
// named to this one lately goes before.
func (e *Endpoint) applyReportedLimit(now time.Time, perSecond float64) {
	e.mu.Lock()
	defer e.unlock()
	l := &e.limit
	if now.Sub(l.absentAt) < limitAbsentTime || now.Sub(l.heardAt) < reportedLimitLifetime {
		return
	}
	until := now.Add(reportedLimitLifetime)
	if l.until.After(until) {
		until = l.until
	}
	l.countUntil(now, perSecond, until)
}

// Limit returns the limit that the endpoint names, in requests per second from all
// instances together. It reports false if it names none.
func (e *Endpoint) Limit(now time.Time) (perSecond float64, named bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit.perSecond, e.limit.isActive(now)
}

// LimitToReport returns the limit that other instances must learn from this one. It
// reports false if there is none: an instance that sends the endpoint no requests cannot
// know for long what it names.
func (e *Endpoint) LimitToReport(now time.Time) (perSecond float64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := &e.limit
	lately := now.Sub(l.heardAt) < reportedLimitLifetime
	sends := l.interval > 0 && now.Sub(l.heardAt) < limitLifetime(l.perSecond)
	return l.perSecond, l.isActive(now) && (lately || sends)
}

// SetLimitInterval sets the time between two requests of this instance under the
// endpoint's limit, or 0 if it sends none.
func (e *Endpoint) SetLimitInterval(now time.Time, interval time.Duration) {
	e.mu.Lock()
	defer e.unlock()
	if e.limit.interval == 0 && interval > 0 {
		e.limit.nextPermit = now.Add(interval) // the sender before this one may have used the last permit just now
	}
	e.limit.interval = interval
}

// limitState returns the limit for a later endpoint of the same run.
func (e *Endpoint) limitState() namedLimit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit
}

// usableSlots returns how many slots the endpoint's limit leaves in use if a request takes
// the given time. Without a limit it is all of them.
func (e *Endpoint) usableSlots(now time.Time, serviceTime time.Duration) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.limit.isActive(now) {
		return float64(e.Slots)
	}
	return math.Min(float64(e.Slots), e.limit.perSecond*serviceTime.Seconds())
}

// takePermit takes the permits for a request. It returns false if one is not available.
func (e *Endpoint) takePermit(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.permitted(now) {
		return false
	}
	if e.coldLimiter.isActive(now) {
		e.coldLimiter.takePermit(now)
	}
	if e.limit.isActive(now) {
		e.limit.takePermit(now)
	}
	return true
}

// permitted reports whether the endpoint's limits allow a request of this instance now: the
// rate of a cold endpoint, and the limit that the endpoint names. The caller must hold the
// lock.
func (e *Endpoint) permitted(now time.Time) bool {
	if e.coldLimiter.isActive(now) && !e.coldLimiter.permitAvailable(now) {
		return false
	}
	return !e.limit.isActive(now) || e.limit.permitAvailable(now)
}
