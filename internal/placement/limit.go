package placement

import (
	"math"
	"time"

	"lovagescale/internal/namedlimit"
)

// ColdSenders returns how many instances may send requests to a cold endpoint that takes
// the given requests per second. Each of them may have one request saved up, so that a
// second holds at most ColdSenders + perSecond requests.
func ColdSenders(perSecond float64) int {
	const sendersPerRate = 0.5
	return max(int(sendersPerRate*perSecond), 1)
}

// StampRequest returns the stamp of a request that is sent to the endpoint now, see
// HearLimit.
func (e *Endpoint) StampRequest(now time.Time) namedlimit.Stamp {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit.StampRequest(now)
}

// HearLimit applies the limit that the endpoint named in an answer to this instance, in
// requests per second from all instances together, or that it named none. sent is the stamp of
// the request.
func (e *Endpoint) HearLimit(now time.Time, sent namedlimit.Stamp, perSecond float64, named bool) namedlimit.Change {
	e.mu.Lock()
	defer e.unlock()
	return e.limit.Hear(now, sent, perSecond, named)
}

// applyLimitNews applies what another instance knows of the endpoint's limit.
func (e *Endpoint) applyLimitNews(now time.Time, news namedlimit.News) namedlimit.Change {
	e.mu.Lock()
	defer e.unlock()
	return e.limit.Apply(now, news)
}

// Limit returns the rate at which all instances together may send the endpoint requests, per
// second. It reports false if no limit restricts them.
func (e *Endpoint) Limit(now time.Time) (rate float64, inForce bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.limit.InForce(now) {
		return 0, false
	}
	return e.limit.Rate(now), true
}

// LimitNews returns what is known of the endpoint's limit, and whether other instances must
// learn it from this one because it is new.
func (e *Endpoint) LimitNews(now time.Time) (news namedlimit.News, isNew bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit.Report(now)
}

// SetLimitInterval sets the time between two requests of this instance under the
// endpoint's limit, or 0 if it sends none.
func (e *Endpoint) SetLimitInterval(now time.Time, interval time.Duration) {
	e.mu.Lock()
	defer e.unlock()
	e.limit.SetInterval(now, interval)
}

// ProbeLimit allows this instance a request under a limit that it has not heard of for long, see
// namedlimit.Limit.Probe.
func (e *Endpoint) ProbeLimit(now time.Time, interval time.Duration, instances int, random float64) {
	e.mu.Lock()
	defer e.unlock()
	e.limit.Probe(now, interval, instances, random)
}

// limitState returns the limit for a later endpoint of the same run.
func (e *Endpoint) limitState() namedlimit.Limit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit
}

// usableSlots returns how many slots the endpoint's limit leaves in use if a request takes
// the given time. Without a limit it is all of them.
func (e *Endpoint) usableSlots(now time.Time, serviceTime time.Duration) float64 {
	rate, inForce := e.Limit(now)
	if !inForce {
		return float64(e.Slots)
	}
	return math.Min(float64(e.Slots), rate*serviceTime.Seconds())
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
	if e.limit.InForce(now) {
		e.limit.TakePermit(now)
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
	return !e.limit.InForce(now) || e.limit.PermitAvailable(now)
}
