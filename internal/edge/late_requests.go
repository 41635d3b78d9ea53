package edge

import (
	"net/http"
	"time"

	"lovagescale/internal/catalog"
	"lovagescale/internal/placement"
	"lovagescale/internal/refusal"
)

// longestRunFactor is how many times as long as a usual first run a request that may be
// repeated is expected to take at most. One that takes longer may be cut.
const longestRunFactor = 3

// refuseLate refuses a request, before anything is passed on, that may still be at work when
// the planned stop of this instance cuts its connection. Its caller can repeat it at another
// instance, which it could not do after a cut.
func (e *Edge) refuseLate(now time.Time, q *request) *refusal.Refusal {
	if e.endsBeforeStop(now, q) {
		return nil
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.Stopping, refusal.NotRun,
		"instance stops before the request is sure to end").WithRetryAfter(minRetryAfter)
}

// endsBeforeStop reports whether a request that begins now ends before this instance stops.
func (e *Edge) endsBeforeStop(now time.Time, q *request) bool {
	stopsAt := e.stopsAt.Load()
	return stopsAt == nil || !now.Add(e.longestTime(now, q)).After(*stopsAt)
}

// longestTime returns the time that a request may still take: until no answer is waited for, or
// less if it may be repeated and runs of its route are known to be short.
func (e *Edge) longestTime(now time.Time, q *request) time.Duration {
	left := q.answersUntil().Sub(now)
	runs, known := e.runTimes.Expect(placement.Serving{Upstream: q.upstream, Region: e.settings.Region}, q.route.Name)
	if !known || q.route.Kind != catalog.Idempotent {
		return left
	}
	return min(left, longestRunFactor*max(runs.First, runs.Mean))
}
