package retryafter

import (
	"math"
	"time"
)

// Bounds of the times that are named to refused callers.
const (
	// minPromise is the shortest promise. A caller that returns sooner is early.
	minPromise = 100 * time.Millisecond
	// maxPromise is the longest promise.
	maxPromise = 10 * time.Second
	// latestFraction is the fraction of its remaining time that a caller waits at most.
	latestFraction = 1.0 / 3
	// minMargin and marginFraction give the time that a promise stays below the longest
	// wait of a caller. It covers the way back of the refusal, a new connection and the
	// way of the request, so that a caller with a promise is told from one without.
	minMargin      = 60 * time.Millisecond
	marginFraction = 1.0 / 40
)

// LongestWait returns how long a caller waits at most that has the given time left.
func LongestWait(timeLeft time.Duration) time.Duration {
	return time.Duration(latestFraction * float64(timeLeft))
}

// margin returns the time that a promise stays below LongestWait.
func margin(timeLeft time.Duration) time.Duration {
	return max(minMargin, time.Duration(marginFraction*float64(timeLeft)))
}

// noPlace returns the time named to a caller for which no place is free. It is above
// LongestWait, for callers that would wait very long above maxPromise, and random, so that
// callers that follow it do not return at one moment.
func noPlace(timeLeft, earliest time.Duration, random float64) time.Duration {
	longest := min(LongestWait(timeLeft), maxPromise)
	m := margin(min(timeLeft, maxPromise))
	return max(longest, earliest) + m + time.Duration(random*float64(m))
}

// places are the places that one instance assigns, at most one per interval.
type places struct {
	// next is the first place that is not assigned.
	next time.Time
}

// skipTo drops the places before the given time. The places keep their phase, so that
// instances that start together do not assign the same moments.
func (p *places) skipTo(first time.Time, interval time.Duration) {
	if missing := first.Sub(p.next); missing > 0 {
		p.next = p.next.Add(time.Duration(math.Ceil(float64(missing)/float64(interval))) * interval)
	}
}

// take assigns the first place and returns the wait for it. It returns false and assigns
// nothing if the place is after latest. random is in [0, 1).
func (p *places) take(now, latest time.Time, interval time.Duration, random float64) (time.Duration, bool) {
	if p.next.After(latest) {
		return 0, false
	}
	wait := p.next.Sub(now)
	p.next = p.next.Add(time.Duration((0.5 + random) * float64(interval)))
	return wait, true
}

// intervalOf returns the time between two of the given number of places per second.
func intervalOf(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}
