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

// retryNoCapacity tells callers when a slot may be free again.
const retryNoCapacity = time.Second

// hedgeSpread is how many times the recent latency a hedge waits.
const hedgeSpread = 3

// try is one exchange with one endpoint.
type try struct {
	endpoint *endpoint
	answer   *upstream.Answer
	err      error
}

// usable reports whether the try brought an answer for the caller.
func (t *try) usable() bool { return t.err == nil && !t.answer.NotRun() }

// mayHaveRun reports whether the endpoint can have begun the request.
func (t *try) mayHaveRun() bool {
	if t.err == nil {
		return !t.answer.NotRun()
	}
	var exchange *upstream.ExchangeError
	return !errors.As(t.err, &exchange) || exchange.MayHaveRun()
}

// Serve implements call.Stage.
func (r *Router) Serve(ctx context.Context, c *call.Call) (*call.Result, error) {
	s, known := r.current.Load().services[c.Service]
	if !known {
		return nil, noCapacity(c.Service)
	}
	started := r.options.Now()
	struck, refused := r.examine(c)
	if refused != nil {
		return nil, refused
	}
	d := &demand{service: s, struck: struck}
	e := r.enter(ctx, c.Workspace, d)
	r.workspaces.asked(c.Workspace, e != nil)
	if e == nil {
		r.metrics.full.Inc(1)
		return nil, noCapacity(c.Service)
	}
	s.budget.earn()
	last, ran := r.tryAll(ctx, c, d, e)
	r.workspaces.served(c.Workspace, r.options.Now().Sub(started))
	if last.usable() {
		return &call.Result{Answer: last.answer, Endpoint: last.endpoint.address, Instance: r.instance, Zone: r.zone}, nil
	}
	return nil, refuse(ctx, c.Service, last, ran)
}

func noCapacity(service string) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun,
		fmt.Sprintf("service %q has no free endpoint", service)).After(retryNoCapacity)
}

// examine refuses a quarantined call. It reports whether the call cost an
// endpoint its connection.
func (r *Router) examine(c *call.Call) (struck bool, refused *refusal.Refusal) {
	if r.struck.Load() == 0 {
		return false, nil
	}
	f := quarantine.Of(c)
	now := r.options.Now()
	r.quarantineMu.Lock()
	defer r.quarantineMu.Unlock()
	if left := r.quarantine.Quarantined(now, f); left > 0 {
		r.metrics.quarantined.Inc(1)
		return true, refusal.New(http.StatusServiceUnavailable, refusal.Quarantined, refusal.NotRun,
			"request crashed the endpoints that ran it").After(left)
	}
	return r.quarantine.Struck(now, f) > 0, nil
}

// tryAll tries endpoints until one answers, none is left or nothing more may be
// tried. It reports whether any endpoint can have begun the request.
func (r *Router) tryAll(ctx context.Context, c *call.Call, d *demand, first *endpoint) (last *try, ran bool) {
	last = r.tryOrHedge(ctx, c, d, first)
	for tries := 1; ; tries++ {
		ran = ran || last.mayHaveRun()
		if last.usable() || ctx.Err() != nil || tries >= r.options.MaxTries {
			return last, ran
		}
		if c.Kind == configuration.Action && ran {
			return last, ran
		}
		if struck, refused := r.examine(c); refused != nil {
			return last, ran
		} else if struck {
			d.struck = true
		}
		if !d.service.budget.spend() {
			r.metrics.budgetEmpty.Inc(1)
			return last, ran
		}
		next := r.enter(ctx, c.Workspace, d)
		if next == nil {
			return last, ran
		}
		r.metrics.retries.Inc(1)
		d.tried = append(d.tried, next)
		last = r.tryOne(ctx, c, d.service, next, d.struck)
	}
}

// tryOrHedge tries the first endpoint of a call. A lookup that takes long goes
// to a second endpoint as well; the first usable answer wins and the other try
// is cancelled.
func (r *Router) tryOrHedge(ctx context.Context, c *call.Call, d *demand, first *endpoint) *try {
	d.tried = append(d.tried, first)
	if c.Kind != configuration.Lookup || d.struck || r.options.HedgeBelow < 0 || len(d.service.endpoints) < 2 {
		return r.tryOne(ctx, c, d.service, first, d.struck)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan *try, 2)
	start := func(e *endpoint) {
		go func() { results <- r.tryOne(ctx, c, d.service, e, false) }()
	}
	start(first)
	timer := time.NewTimer(d.service.hedgeDelay(r.options.HedgeAfter))
	defer timer.Stop()
	running := 1
	for {
		select {
		case t := <-results:
			running--
			if t.usable() || running == 0 {
				return t
			}
		case <-timer.C:
			if e := r.hedge(ctx, c, d); e != nil {
				running++
				start(e)
			}
		}
	}
}

// hedge returns a second endpoint for a slow lookup, or nil when load or the
// budget forbids it.
func (r *Router) hedge(ctx context.Context, c *call.Call, d *demand) *endpoint {
	if ctx.Err() != nil || d.service.inUse() > r.options.HedgeBelow || !d.service.gate.mayTake(c.Workspace) {
		return nil
	}
	if !d.service.budget.spend() {
		return nil
	}
	e := r.choose(d)
	if e == nil {
		d.service.budget.refund()
		return nil
	}
	d.service.gate.took(c.Workspace)
	d.tried = append(d.tried, e)
	r.metrics.hedges.Inc(1)
	return e
}

// hedgeDelay is the time after which a lookup counts as slow.
func (s *service) hedgeDelay(shortest time.Duration) time.Duration {
	return max(shortest, hedgeSpread*time.Duration(s.latency.Load()))
}

// refuse turns the last failed try into the answer that is true of the call.
func refuse(ctx context.Context, service string, last *try, ran bool) *refusal.Refusal {
	outcome := refusal.NotRun
	if ran {
		outcome = refusal.Unknown
	}
	switch {
	case ctx.Err() != nil:
		return refusal.New(http.StatusGatewayTimeout, refusal.DeadlineExceeded, outcome, "deadline has passed")
	case ran:
		return refusal.New(http.StatusBadGateway, refusal.UpstreamFailed, outcome, "upstream gave no whole answer")
	case last.err == nil:
		return noCapacity(service)
	default:
		return refusal.New(http.StatusServiceUnavailable, refusal.UpstreamUnreachable, outcome,
			"upstream cannot be reached").After(retryNoCapacity)
	}
}
