package quota

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/control"
	"lovagescale/internal/refusal"
)

// undecidedRetryAfter is the retry time for requests that are refused without a decision
// of the core, because the entry does not know the workspace, the queue of the
// control goroutine is full, or the context ended first.
const undecidedRetryAfter = time.Second

// Stage charges each request of a workspace one token. Two kinds of requests pass
// without a charge: those that another entry handed over, which were charged there,
// and those of routes that are open to callers without a workspace key. A repeated
// action is charged like any request.
type Stage struct {
	next           call.Stage
	now            control.Clock
	loop           *control.Loop
	driver         *Driver
	refusalOutcome RefusalOutcome
	pools          atomic.Pointer[map[string]*pool]
	lastID         atomic.Uint64

	admitted metrics.Counter
	refused  metrics.Counter
	waited   metrics.Timer
}

// RefusalOutcome returns the outcome to report for a refused action, since an earlier
// attempt of the same action may have run.
type RefusalOutcome func(workspace, idempotencyKey string) refusal.Outcome

// NewStage returns a stage that passes the calls it admits on to next. It refuses all
// calls of workspaces until a Driver has filled its pools.
func NewStage(next call.Stage, now control.Clock, loop *control.Loop, registry metrics.Registry, refusalOutcome RefusalOutcome) *Stage {
	s := &Stage{
		refusalOutcome: refusalOutcome,
		next:           next,
		now:            now,
		loop:           loop,
		admitted:       metrics.GetOrRegisterCounter("quota.admitted", registry),
		refused:        metrics.GetOrRegisterCounter("quota.refused", registry),
		waited:         metrics.GetOrRegisterTimer("quota.wait", registry),
	}
	s.pools.Store(&map[string]*pool{})
	return s
}

func (s *Stage) outcomeOf(c *call.Call) refusal.Outcome {
	if c.Kind != configuration.Action {
		return refusal.NotRun
	}
	return s.refusalOutcome(c.Workspace, c.IdempotencyKey)
}

// Serve implements call.Stage. Its own refusals have the outcome "not-run", except
// for an action whose earlier attempts are not known.
func (s *Stage) Serve(ctx context.Context, c *call.Call) (*call.Result, error) {
	if c.Hops > 0 || c.Workspace == "" {
		return s.next.Serve(ctx, c)
	}
	if refused := s.charge(ctx, c); refused != nil {
		s.refused.Inc(1)
		return nil, refused
	}
	s.admitted.Inc(1)
	return s.next.Serve(ctx, c)
}

// charge takes a token and returns nil if it got one, or else the refusal. If the pool has none,
// it waits for the decision of the core, which may request a grant.
func (s *Stage) charge(ctx context.Context, c *call.Call) *refusal.Refusal {
	p, known := s.currentPools()[c.Workspace]
	if !known {
		return s.refuseUndecided(c)
	}
	switch result, retryAfter := p.take(s.now); result {
	case admitted:
		return nil
	case refused:
		return s.refuseExceeded(c, retryAfter)
	}
	started := s.now()
	defer s.waited.UpdateSince(started)
	decided := make(chan Decision, 1)
	id := s.lastID.Add(1)
	if !s.loop.TryPost(func() { s.driver.acquire(c.Workspace, id, c.Deadline, decided) }) {
		return s.refuseUndecided(c)
	}
	select {
	case decision := <-decided:
		if decision.Admitted {
			return nil
		}
		return s.refuseExceeded(c, decision.RetryAfter)
	case <-ctx.Done():
		return s.refuseUndecided(c)
	}
}

func (s *Stage) refuseExceeded(c *call.Call, retryAfter time.Duration) *refusal.Refusal {
	return refusal.New(http.StatusTooManyRequests, refusal.RateExceeded, s.outcomeOf(c),
		fmt.Sprintf("workspace %q is above its rate and burst", c.Workspace)).WithRetryAfter(retryAfter)
}

// refuseUndecided refuses a call without a decision of the core: the workspace may be within its
// rate, so that it is not told otherwise.
func (s *Stage) refuseUndecided(c *call.Call) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.QuotaUndecided, s.outcomeOf(c),
		fmt.Sprintf("it was not decided in time whether workspace %q is within its rate and burst", c.Workspace)).WithRetryAfter(undecidedRetryAfter)
}

func (s *Stage) currentPools() map[string]*pool { return *s.pools.Load() }

// setWorkspaces replaces the pools by one for each workspace and keeps existing
// pools.
func (s *Stage) setWorkspaces(workspaces map[string]Limit) {
	kept := make(map[string]*pool, len(workspaces))
	for name := range workspaces {
		p, known := s.currentPools()[name]
		if !known {
			p = &pool{}
			empty := &allotment{}
			empty.left.Store(reclaimed)
			p.allotment.Store(empty)
		}
		kept[name] = p
	}
	s.pools.Store(&kept)
}
