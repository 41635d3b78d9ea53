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

// retryBusy tells callers when to come back to an entry whose control
// goroutine has a full queue.
const retryBusy = time.Second

// Stage charges each request of a workspace one token. A request that another
// entry handed over was charged there, and a request of a route open to all has
// no workspace; both pass. A repeated action is charged like any request.
type Stage struct {
	next   call.Stage
	now    control.Clock
	loop   *control.Loop
	driver *Driver
	vouch  Vouch
	pools  atomic.Pointer[map[string]*pool]
	lastID atomic.Uint64

	admitted metrics.Counter
	refused  metrics.Counter
	waited   metrics.Timer
}

// Vouch returns the outcome that a refusal may state of an action. An earlier
// try of the same action may have run.
type Vouch func(workspace, idempotencyKey string) refusal.Outcome

// New returns a stage that passes the calls it admits on to next. It refuses
// everything until a Driver has filled its pools.
func New(next call.Stage, now control.Clock, loop *control.Loop, registry metrics.Registry, vouch Vouch) *Stage {
	s := &Stage{
		vouch:    vouch,
		next:     next,
		now:      now,
		loop:     loop,
		admitted: metrics.GetOrRegisterCounter("quota.admitted", registry),
		refused:  metrics.GetOrRegisterCounter("quota.refused", registry),
		waited:   metrics.GetOrRegisterTimer("quota.wait", registry),
	}
	s.pools.Store(&map[string]*pool{})
	return s
}

func (s *Stage) outcome(c *call.Call) refusal.Outcome {
	if c.Kind != configuration.Action {
		return refusal.NotRun
	}
	return s.vouch(c.Workspace, c.IdempotencyKey)
}

// Serve implements call.Stage. Its own refusals are "not-run", but for an
// action whose earlier tries are not known.
func (s *Stage) Serve(ctx context.Context, c *call.Call) (*call.Result, error) {
	if c.Hops > 0 || c.Workspace == "" {
		return s.next.Serve(ctx, c)
	}
	admitted, retryAfter := s.charge(ctx, c)
	if !admitted {
		s.refused.Inc(1)
		return nil, refusal.New(http.StatusTooManyRequests, refusal.RateExceeded, s.outcome(c),
			fmt.Sprintf("workspace %q is above its rate and burst", c.Workspace)).After(retryAfter)
	}
	s.admitted.Inc(1)
	return s.next.Serve(ctx, c)
}

// charge takes a token, waiting for one that can be borrowed.
func (s *Stage) charge(ctx context.Context, c *call.Call) (bool, time.Duration) {
	p, known := s.all()[c.Workspace]
	if !known {
		return false, retryBusy
	}
	switch verdict, retryAfter := p.take(s.now); verdict {
	case admitted:
		return true, 0
	case refused:
		return false, retryAfter
	}
	started := s.now()
	defer s.waited.UpdateSince(started)
	decided := make(chan Decision, 1)
	id := s.lastID.Add(1)
	if !s.loop.TryPost(func() { s.driver.request(c.Workspace, id, c.Deadline, decided) }) {
		return false, retryBusy
	}
	select {
	case decision := <-decided:
		return decision.Admitted, decision.RetryAfter
	case <-ctx.Done():
		return false, retryBusy
	}
}

func (s *Stage) all() map[string]*pool { return *s.pools.Load() }

// keep makes the set of pools that of the workspaces.
func (s *Stage) keep(workspaces map[string]Limit) {
	kept := make(map[string]*pool, len(workspaces))
	for name := range workspaces {
		p, known := s.all()[name]
		if !known {
			p = &pool{}
			empty := &cell{}
			empty.left.Store(closed)
			p.cell.Store(empty)
		}
		kept[name] = p
	}
	s.pools.Store(&kept)
}
