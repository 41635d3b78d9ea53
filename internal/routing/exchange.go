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

// tryOne runs the call on an endpoint whose slot is taken, learns from what
// happens and frees the slot.
func (r *Router) tryOne(ctx context.Context, c *call.Call, s *service, e *endpoint, struck bool) *try {
	started := r.options.Now()
	t := &try{endpoint: e}
	if struck {
		t.err = confirmAlive(ctx, e)
	}
	if t.err == nil {
		request := c.Request
		request.ID = c.ID
		request.Fresh = c.Kind == configuration.Action
		t.answer, t.err = e.pool.Exchange(ctx, &request)
	}
	took := r.options.Now().Sub(started)
	r.learn(ctx, c, s, t, took)
	if struck {
		e.struck.Store(false)
	}
	if t.err != nil && ctx.Err() != nil && t.mayHaveRun() && r.options.CancelLinger > 0 {
		time.AfterFunc(r.options.CancelLinger, func() { r.leave(s, e, c.Workspace) })
		return t
	}
	r.leave(s, e, c.Workspace)
	return t
}

// confirmAlive probes an endpoint before it gets a request that cost another
// one its connection. Endpoints that die together, each with requests in
// flight, would otherwise put those requests in quarantine. Its error is an
// *upstream.ExchangeError of a request that did not run.
func confirmAlive(ctx context.Context, e *endpoint) error {
	_, err := e.pool.Probe(ctx)
	var exchange *upstream.ExchangeError
	if !errors.As(err, &exchange) {
		return nil
	}
	return &upstream.ExchangeError{Endpoint: e.address, Phase: upstream.PhaseDial, Cause: exchange}
}

// leave frees a slot.
func (r *Router) leave(s *service, e *endpoint, workspace string) {
	e.inFlight.Add(-1)
	s.gate.left(workspace)
}

// learn updates what is known of the endpoint after a try.
func (r *Router) learn(ctx context.Context, c *call.Call, s *service, t *try, took time.Duration) {
	now := r.options.Now()
	e := t.endpoint
	switch {
	case t.err == nil && t.answer.NotRun():
		r.metrics.shed.Inc(1)
		e.change(func(h *health) { h.failed() })
	case t.err == nil:
		e.change(func(h *health) { h.answered(took) })
		s.observe(took)
	case ctx.Err() != nil:
		e.change(func(h *health) { h.slower(took) })
	default:
		r.learnFailure(c, t, now)
	}
	if t.err == nil && t.answer.Draining() {
		e.change(func(h *health) { h.drainingUntil = now.Add(r.options.DrainHold) })
		e.pool.Close()
	}
	r.review(s, e)
}

// learnFailure tells an endpoint that cannot be reached from one that dropped
// the connection and one that gave a wrong answer.
func (r *Router) learnFailure(c *call.Call, t *try, now time.Time) {
	e := t.endpoint
	var exchange *upstream.ExchangeError
	if !errors.As(t.err, &exchange) {
		return
	}
	r.metrics.failed(exchange.Phase)
	var limited *upstream.ConnectionLimitError
	switch {
	case errors.As(exchange.Cause, &limited): // says nothing of the endpoint
	case exchange.Phase == upstream.PhaseDial:
		e.change(func(h *health) { h.lost(now) })
		e.pool.Close()
	case exchange.ConnectionLost():
		e.change(func(h *health) { h.lost(now) })
		e.pool.Close()
		r.strike(c, e, now)
	default:
		e.change(func(h *health) { h.failed() })
	}
}

// strike records that the call cost the endpoint its connection.
func (r *Router) strike(c *call.Call, e *endpoint, now time.Time) {
	s := quarantine.Strike{ID: r.newID(), Fingerprint: quarantine.Of(c), Endpoint: e.key}
	if r.addStrike(now, s) && r.tell != nil {
		r.tell(s)
	}
}

// Strike records a strike that another entry told of.
func (r *Router) Strike(s quarantine.Strike) { r.addStrike(r.options.Now(), s) }

func (r *Router) addStrike(now time.Time, s quarantine.Strike) bool {
	r.quarantineMu.Lock()
	defer r.quarantineMu.Unlock()
	added := r.quarantine.Add(now, s)
	r.struck.Store(int64(r.quarantine.Len()))
	return added
}

// newID returns a random identifier above 0.
func (r *Router) newID() uint64 {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return r.random.Uint64() | 1
}

// Strikes returns the strikes that still count, at most limit.
func (r *Router) Strikes(limit int) []quarantine.Strike {
	r.quarantineMu.Lock()
	defer r.quarantineMu.Unlock()
	return r.quarantine.Strikes(r.options.Now(), limit)
}

// OnStrike sets what tells the other entries of a strike. It must be called
// before Serve and must not block.
func (r *Router) OnStrike(tell func(quarantine.Strike)) { r.tell = tell }

// Quarantine returns the struck requests and those in quarantine.
func (r *Router) Quarantine() (struck, quarantined int) {
	r.quarantineMu.Lock()
	defer r.quarantineMu.Unlock()
	return r.quarantine.Len(), r.quarantine.Count(r.options.Now())
}

// observe updates the recent latency of the service.
func (s *service) observe(took time.Duration) {
	recent := s.latency.Load()
	if recent == 0 {
		s.latency.Store(int64(took))
		return
	}
	s.latency.Store(recent + int64(smoothing*float64(int64(took)-recent)))
}
