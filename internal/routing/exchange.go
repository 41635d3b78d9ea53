package routing

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/quarantine"
	"lovagescale/internal/upstream"
)

// runAttempt sends the call to an endpoint whose slot has been acquired, records the
// outcome and releases the slot. After a cancelled request that the endpoint may still be
// working on, it releases the slot only after CancelLinger.
func (r *Router) runAttempt(ctx context.Context, c *call.Call, s *service, e *endpoint, hasStrike bool) *attempt {
	started := r.options.Now()
	a := &attempt{endpoint: e}
	if hasStrike {
		a.err = checkLiveness(ctx, e)
	}
	if a.err == nil {
		request := c.Request
		request.ID = c.ID
		request.Fresh = c.Kind == configuration.Action
		a.answer, a.err = e.pool.Exchange(ctx, &request)
	}
	elapsed := r.options.Now().Sub(started)
	r.recordOutcome(ctx, c, s, a, elapsed)
	if hasStrike {
		e.strikeInFlight.Store(false)
	}
	if a.err != nil && ctx.Err() != nil && a.mayHaveRun() && r.options.CancelLinger > 0 {
		time.AfterFunc(r.options.CancelLinger, func() { r.releaseSlot(s, e, c.Workspace) })
		return a
	}
	r.releaseSlot(s, e, c.Workspace)
	return a
}

// checkLiveness probes an endpoint before it gets a request with a strike. Without the
// probe, endpoints that fail at the same time would give a second strike to the requests
// that they had in flight, and so quarantine them. The error is an
// *upstream.ExchangeError that says that the request did not run. An endpoint that sends
// any complete answer to the probe counts as alive.
func checkLiveness(ctx context.Context, e *endpoint) error {
	_, err := e.pool.Probe(ctx)
	var exchangeErr *upstream.ExchangeError
	if !errors.As(err, &exchangeErr) {
		return nil
	}
	return &upstream.ExchangeError{Endpoint: e.address, Phase: upstream.PhaseDial, Cause: exchangeErr}
}

func (r *Router) releaseSlot(s *service, e *endpoint, workspace string) {
	e.inFlight.Add(-1)
	s.slotQueue.recordRelease(workspace)
}

// recordOutcome updates the endpoint's health after an attempt and ejects the endpoint
// if that makes it an outlier.
func (r *Router) recordOutcome(ctx context.Context, c *call.Call, s *service, a *attempt, elapsed time.Duration) {
	now := r.options.Now()
	e := a.endpoint
	switch {
	case a.err == nil && a.answer.NotRun():
		r.metrics.shedByUpstream.Inc(1)
		e.updateHealth(func(h *health) { h.recordFailure() })
	case a.err == nil:
		e.updateHealth(func(h *health) { h.recordAnswer(elapsed) })
		s.recordLatency(elapsed)
	case ctx.Err() != nil:
		e.updateHealth(func(h *health) { h.recordCancelled(elapsed) })
	default:
		r.recordError(c, a, now)
	}
	if a.err == nil && a.answer.Draining() {
		e.updateHealth(func(h *health) { h.drainingUntil = now.Add(r.options.DrainHold) })
		e.pool.Close()
	}
	r.ejectIfOutlier(s, e)
}

// recordError updates the endpoint's health after an attempt without a complete answer. An
// endpoint that cannot be reached, or that dropped the connection, is down for a while;
// the request that ran when the connection was dropped gets a strike. Any other failure,
// such as a mismatched answer, only counts as a failed attempt.
func (r *Router) recordError(c *call.Call, a *attempt, now time.Time) {
	e := a.endpoint
	var exchangeErr *upstream.ExchangeError
	if !errors.As(a.err, &exchangeErr) {
		return
	}
	r.metrics.countFailure(exchangeErr.Phase)
	var limitErr *upstream.ConnectionLimitError
	switch {
	case errors.As(exchangeErr.Cause, &limitErr):
		// This instance has reached its own limit; that says nothing about the endpoint.
	case exchangeErr.Phase == upstream.PhaseDial:
		e.updateHealth(func(h *health) { h.recordConnectionFailure(now) })
		e.pool.Close()
	case exchangeErr.ConnectionLost():
		e.updateHealth(func(h *health) { h.recordConnectionFailure(now) })
		e.pool.Close()
		r.recordStrike(c, e, now)
	default:
		e.updateHealth(func(h *health) { h.recordFailure() })
	}
}

// recordStrike records that the endpoint dropped the connection while it ran the call,
// and announces the strike if it counts.
func (r *Router) recordStrike(c *call.Call, e *endpoint, now time.Time) {
	strike := quarantine.Strike{ID: r.newStrikeID(), Fingerprint: quarantine.FingerprintOf(c), Endpoint: e.key}
	if r.addStrike(now, strike) && r.announceStrike != nil {
		r.announceStrike(strike)
	}
}

// RecordRemoteStrike records a strike that another entry has announced.
func (r *Router) RecordRemoteStrike(strike quarantine.Strike) { r.addStrike(r.options.Now(), strike) }

// addStrike reports whether the strike counts.
func (r *Router) addStrike(now time.Time, strike quarantine.Strike) bool {
	r.quarantineMu.Lock()
	defer r.quarantineMu.Unlock()
	added := r.quarantine.Add(now, strike)
	r.quarantineRecords.Store(int64(r.quarantine.Len()))
	return added
}

// newStrikeID returns a random identifier. It is never 0, which would switch off the
// detection of duplicate strikes.
func (r *Router) newStrikeID() uint64 {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return r.random.Uint64() | 1
}

// ActiveStrikes returns at most limit of the strikes that still count.
func (r *Router) ActiveStrikes(limit int) []quarantine.Strike {
	r.quarantineMu.Lock()
	defer r.quarantineMu.Unlock()
	return r.quarantine.ActiveStrikes(r.options.Now(), limit)
}

// OnStrike sets the function that announces a new strike to the other entries. OnStrike
// must be called before Serve. The function must not block.
func (r *Router) OnStrike(announce func(quarantine.Strike)) { r.announceStrike = announce }

// QuarantineCounts returns the number of requests with strikes, quarantined ones included,
// and the number of quarantined requests.
func (r *Router) QuarantineCounts() (withStrikes, quarantined int) {
	r.quarantineMu.Lock()
	defer r.quarantineMu.Unlock()
	return r.quarantine.Len(), r.quarantine.QuarantinedCount(r.options.Now())
}

// recordLatency adds a latency to the service's moving average.
func (s *service) recordLatency(latency time.Duration) {
	average := s.averageLatency.Load()
	if average == 0 {
		s.averageLatency.Store(int64(latency))
		return
	}
	s.averageLatency.Store(average + int64(latencySmoothing*float64(int64(latency)-average)))
}
