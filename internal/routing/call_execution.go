package routing

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/quarantine"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// noCapacityRetryAfter is the retry time in refusals for lack of a slot or an endpoint.
const noCapacityRetryAfter = time.Second

// hedgeLatencyFactor times the service's average latency is the time after which a lookup
// is hedged, if that is longer than HedgeAfter.
const hedgeLatencyFactor = 3

// attempt is the outcome of one exchange with an endpoint.
type attempt struct {
	endpoint *endpoint
	answer   *upstream.Answer
	err      error
}

// usable reports whether the attempt got an answer that goes to the caller.
func (a *attempt) usable() bool { return a.err == nil && !a.answer.NotRun() }

// mayHaveRun reports whether the endpoint may have begun the request.
func (a *attempt) mayHaveRun() bool {
	if a.err == nil {
		return !a.answer.NotRun()
	}
	var exchangeErr *upstream.ExchangeError
	return !errors.As(a.err, &exchangeErr) || exchangeErr.MayHaveRun()
}

// Serve implements call.Stage.
func (r *Router) Serve(ctx context.Context, c *call.Call) (*call.Result, error) {
	s, found := r.table.Load().services[c.Service]
	if !found {
		return nil, noCapacityRefusal(c.Service)
	}
	started := r.options.Now()
	hasStrike, refused := r.checkQuarantine(c)
	if refused != nil {
		return nil, refused
	}
	criteria := &selectionCriteria{service: s, hasStrike: hasStrike}
	e := r.acquireForWorkspace(ctx, c.Workspace, criteria)
	r.workspaceStats.recordRequest(c.Workspace, e != nil)
	if e == nil {
		r.metrics.noFreeSlot.Inc(1)
		return nil, noCapacityRefusal(c.Service)
	}
	s.retryBudget.deposit()
	lastAttempt, mayHaveRun := r.runWithRetries(ctx, c, criteria, e)
	r.workspaceStats.recordCompletion(c.Workspace, r.options.Now().Sub(started))
	if lastAttempt.usable() {
		return &call.Result{Answer: lastAttempt.answer, Endpoint: lastAttempt.endpoint.address, Instance: r.instance, Zone: r.zone}, nil
	}
	return nil, refusalOf(ctx, c.Service, lastAttempt, mayHaveRun)
}

func noCapacityRefusal(service string) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun,
		fmt.Sprintf("service %q has no free endpoint", service)).WithRetryAfter(noCapacityRetryAfter)
}

// checkQuarantine returns a refusal if the call is quarantined. It also reports whether
// the call has a strike.
func (r *Router) checkQuarantine(c *call.Call) (hasStrike bool, refused *refusal.Refusal) {
	if r.quarantineRecords.Load() == 0 {
		return false, nil
	}
	fingerprint := quarantine.FingerprintOf(c)
	now := r.options.Now()
	r.quarantineMu.Lock()
	defer r.quarantineMu.Unlock()
	if remaining := r.quarantine.RemainingTime(now, fingerprint); remaining > 0 {
		r.metrics.quarantineRefusals.Inc(1)
		return true, refusal.New(http.StatusServiceUnavailable, refusal.Quarantined, refusal.NotRun,
			"request crashed the endpoints that ran it").WithRetryAfter(remaining)
	}
	return r.quarantine.StrikeCount(now, fingerprint) > 0, nil
}

// runWithRetries runs the call on the first endpoint and retries it on others until one
// gives a usable answer. It stops earlier if ctx ends, MaxAttempts is reached, the retry
// budget is empty, no other endpoint has a slot, the call is quarantined, or the call is
// an action that may have run. It also reports whether any endpoint may have begun the
// request.
func (r *Router) runWithRetries(ctx context.Context, c *call.Call, criteria *selectionCriteria, first *endpoint) (lastAttempt *attempt, mayHaveRun bool) {
	lastAttempt = r.runFirstAttempt(ctx, c, criteria, first)
	for attempts := 1; ; attempts++ {
		mayHaveRun = mayHaveRun || lastAttempt.mayHaveRun()
		if lastAttempt.usable() || ctx.Err() != nil || attempts >= r.options.MaxAttempts {
			return lastAttempt, mayHaveRun
		}
		if c.Kind == configuration.Action && mayHaveRun {
			return lastAttempt, mayHaveRun
		}
		if hasStrike, refused := r.checkQuarantine(c); refused != nil {
			return lastAttempt, mayHaveRun
		} else if hasStrike {
			criteria.hasStrike = true
		}
		if !criteria.service.retryBudget.withdraw() {
			r.metrics.retryBudgetEmpty.Inc(1)
			return lastAttempt, mayHaveRun
		}
		next := r.acquireForWorkspace(ctx, c.Workspace, criteria)
		if next == nil {
			return lastAttempt, mayHaveRun
		}
		r.metrics.retries.Inc(1)
		criteria.attempted = append(criteria.attempted, next)
		lastAttempt = r.runAttempt(ctx, c, criteria.service, next, criteria.hasStrike)
	}
}

// runFirstAttempt runs the call on the first endpoint. A slow lookup is hedged: it is sent
// to a second endpoint as well, the first usable answer is returned and the other attempt
// is cancelled. A lookup with a strike is not hedged.
func (r *Router) runFirstAttempt(ctx context.Context, c *call.Call, criteria *selectionCriteria, first *endpoint) *attempt {
	criteria.attempted = append(criteria.attempted, first)
	if c.Kind != configuration.Lookup || criteria.hasStrike || r.options.HedgeBelow < 0 || len(criteria.service.endpoints) < 2 {
		return r.runAttempt(ctx, c, criteria.service, first, criteria.hasStrike)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan *attempt, 2)
	start := func(e *endpoint) {
		go func() { results <- r.runAttempt(ctx, c, criteria.service, e, false) }()
	}
	start(first)
	timer := time.NewTimer(criteria.service.hedgeDelay(r.options.HedgeAfter))
	defer timer.Stop()
	running := 1
	for {
		select {
		case a := <-results:
			running--
			if a.usable() || running == 0 {
				return a
			}
		case <-timer.C:
			if e := r.acquireHedgeEndpoint(ctx, c, criteria); e != nil {
				running++
				start(e)
			}
		}
	}
}

// acquireHedgeEndpoint takes a slot of a second endpoint for a slow lookup. It returns nil
// if ctx has ended, more than HedgeBelow of the slots are in use, a waiting workspace has
// precedence, the retry budget is empty or no other endpoint has a slot.
func (r *Router) acquireHedgeEndpoint(ctx context.Context, c *call.Call, criteria *selectionCriteria) *endpoint {
	if ctx.Err() != nil || criteria.service.utilization() > r.options.HedgeBelow || !criteria.service.slotQueue.mayAcquire(c.Workspace) {
		return nil
	}
	if !criteria.service.retryBudget.withdraw() {
		return nil
	}
	e := r.acquireEndpoint(criteria)
	if e == nil {
		criteria.service.retryBudget.refund()
		return nil
	}
	criteria.service.slotQueue.recordAcquire(c.Workspace)
	criteria.attempted = append(criteria.attempted, e)
	r.metrics.hedges.Inc(1)
	return e
}

// hedgeDelay returns the time after which a lookup is hedged.
func (s *service) hedgeDelay(minDelay time.Duration) time.Duration {
	return max(minDelay, hedgeLatencyFactor*time.Duration(s.averageLatency.Load()))
}

// refusalOf returns the refusal of a call whose last attempt failed. The outcome is unknown
// if any attempt may have run, and not-run otherwise.
func refusalOf(ctx context.Context, service string, lastAttempt *attempt, mayHaveRun bool) *refusal.Refusal {
	outcome := refusal.NotRun
	if mayHaveRun {
		outcome = refusal.Unknown
	}
	switch {
	case ctx.Err() != nil:
		return refusal.New(http.StatusGatewayTimeout, refusal.DeadlineExceeded, outcome, "deadline has passed")
	case mayHaveRun:
		return refusal.New(http.StatusBadGateway, refusal.UpstreamFailed, outcome, "upstream gave no whole answer")
	case lastAttempt.err == nil:
		return noCapacityRefusal(service)
	default:
		return refusal.New(http.StatusServiceUnavailable, refusal.UpstreamUnreachable, outcome,
			"upstream cannot be reached").WithRetryAfter(noCapacityRetryAfter)
	}
}
