// Package reachability tells whether an instance reaches any endpoint at all. Endpoints
// that fail are the concern of package placement; this package notices that the instance
// itself is partitioned from all of them.
//
// Requests that fail at several endpoints, or that get no answer for a time, only raise a
// suspicion. Then the instance opens connections to a few endpoints. If none can be opened
// in roundsUntilPartitioned rounds in a row, the instance counts as partitioned, until one can. An
// answer alone does not end that: connections that were open before may live on while new
// ones are refused.
//
// Failure modes: an instance whose few probes all meet endpoints that are down counts as
// partitioned until the next round. If all endpoints are down, every instance does.
package reachability

import (
	"sync"
	"time"
)

// Limits of a suspicion.
const (
	// failureLifetime is how long a failed request at an endpoint counts. It is longer than
	// endpoints stay ejected, since those get no requests.
	failureLifetime = 5 * time.Second
	// suspiciousEndpoints is the number of endpoints with failures from which the instance
	// may be partitioned.
	suspiciousEndpoints = 3
	// silenceThreshold is the time without an answer to any request in flight from which
	// the instance may be partitioned.
	silenceThreshold = time.Second
)

// Times of probes.
const (
	// probeInterval is the time between probes while the instance is suspected.
	probeInterval = time.Second
	// partitionedProbeInterval is that while it is partitioned.
	partitionedProbeInterval = 500 * time.Millisecond
)

// roundsUntilPartitioned is the number of rounds in a row without a connection after which the
// instance counts as partitioned.
const roundsUntilPartitioned = 2

// Tracker holds what requests and probes show. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// failedAt is the time of the last failed request, by endpoint.
	failedAt map[string]time.Time
	// lastSignAt is the time of the last answer or successful probe.
	lastSignAt   time.Time
	lastProbesAt time.Time
	// lastConnectionAt is the time of the last probe that connected.
	lastConnectionAt time.Time
	failedRounds     int
}

// NewTracker returns the tracker of an instance that starts now.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{failedAt: make(map[string]time.Time), lastSignAt: now}
}

// RecordAnswer records an answer of an endpoint. Failures of the endpoint still count: the
// answer may have come on a connection that lives on while new ones are refused.
func (t *Tracker) RecordAnswer(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSignAt = now
}

// RecordFailure records a request that an endpoint did not answer.
func (t *Tracker) RecordFailure(now time.Time, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedAt[endpoint] = now
}

// HasFailed reports whether a request failed at the endpoint lately.
func (t *Tracker) HasFailed(now time.Time, endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, found := t.failedAt[endpoint]
	return found && now.Sub(at) < failureLifetime
}

// ProbeDue reports whether rounds of probes are due, and counts them as begun. Rounds then
// follow each other until one connects or the instance counts as partitioned. inFlight is
// the number of requests that wait for an answer, endpoints the number of known endpoints.
func (t *Tracker) ProbeDue(now time.Time, inFlight, endpoints int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	interval := probeInterval
	if t.isPartitioned() {
		interval = partitionedProbeInterval
	}
	if endpoints == 0 || now.Sub(t.lastProbesAt) < interval {
		return false
	}
	if !t.isPartitioned() && !t.isSuspicious(now, inFlight, endpoints) {
		return false
	}
	t.lastProbesAt = now
	return true
}

// isSuspicious reports whether requests show that the instance may be partitioned. The caller
// must hold the lock.
func (t *Tracker) isSuspicious(now time.Time, inFlight, endpoints int) bool {
	for endpoint, at := range t.failedAt {
		if now.Sub(at) >= failureLifetime {
			delete(t.failedAt, endpoint)
		}
	}
	silent := inFlight > 0 && now.Sub(t.lastSignAt) >= silenceThreshold
	return silent || len(t.failedAt) >= min(suspiciousEndpoints, endpoints)
}

// RecordRound records a round of probes, of which one connected or none did, and reports
// whether it changed Partitioned.
func (t *Tracker) RecordRound(now time.Time, connected bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasPartitioned := t.isPartitioned()
	if connected {
		t.failedRounds = 0
		t.lastSignAt = now
		t.lastConnectionAt = now
		clear(t.failedAt)
	} else {
		t.failedRounds++
	}
	return t.isPartitioned() != wasPartitioned
}

// ConnectedSince reports whether a probe has connected since the given time.
func (t *Tracker) ConnectedSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastConnectionAt.After(at)
}

// Partitioned reports whether the instance reaches no endpoint.
func (t *Tracker) Partitioned() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isPartitioned()
}

func (t *Tracker) isPartitioned() bool { return t.failedRounds >= roundsUntilPartitioned }
