package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/catalog"
	"lovagescale/internal/placement"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// Bounds of the tries of one request.
const (
	// maxDials bounds the endpoints that are tried when none is reached.
	maxDials = 4
	// leastTimeForTry is the time left below which no further try is made.
	leastTimeForTry = 30 * time.Millisecond
)

// Bounds of what a refused caller is told to wait.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 900 * time.Millisecond
)

// try is one endpoint that a request was sent to.
type try struct {
	endpoint *placement.Endpoint
	result   placement.Result
}

// run sends the request to an endpoint, and to further ones where that is safe
// and within the bounds. It returns a whole answer or a refusal; an answer that
// reports a failure is kept for the case that no further try gives a better one.
func (e *Edge) run(ctx context.Context, q *request) (*upstream.Answer, []try, *refusal.Refusal) {
	homes, restricted := catalog.HomesOf(q.route, q.workspace)
	q.region = e.steering.Next(q.upstream, q.object, homes, restricted)
	if restricted {
		e.usual.arrived(q.upstream, q.region)
	} else {
		e.usual.arrived(q.upstream, "")
	}
	e.retries.RecordFirstAttempt(q.upstream)
	var tries []try
	var failure *upstream.Answer
	arrived := 0
	for {
		endpoint, err := e.choose(q, tries)
		if err != nil && failure != nil {
			return failure, tries, nil
		}
		if err != nil {
			return nil, tries, e.noRoom(q, tries, err)
		}
		answer, result := e.exchange(ctx, q, endpoint)
		tries = append(tries, try{endpoint, result})
		if result != placement.Unreachable {
			arrived++
		}
		if result == placement.Answered {
			return answer, tries, nil
		}
		if result == placement.Failed {
			failure = answer
		}
		if e.mayTryAgain(q, tries, arrived) && (result == placement.Unreachable || e.retries.TakeRetry(q.upstream)) {
			continue
		}
		if failure != nil {
			return failure, tries, nil
		}
		return nil, tries, e.failed(ctx, q, tries)
	}
}

// choose takes an endpoint of the region.
func (e *Edge) choose(q *request, tries []try) (*placement.Endpoint, error) {
	ask := placement.Request{
		Upstream: q.upstream, Region: q.region, Local: q.region == e.settings.Region,
		AffinityKey: q.object, MaxUtilization: e.maxFill(q),
	}
	for _, t := range tries {
		ask.Tried = append(ask.Tried, t.endpoint)
	}
	return e.table.Load().Choose(time.Now(), ask)
}

// exchange sends the request to one endpoint and learns from the outcome.
func (e *Edge) exchange(ctx context.Context, q *request, endpoint *placement.Endpoint) (*upstream.Answer, placement.Result) {
	outgoing := q.outgoing
	outgoing.Instance = endpoint.ID
	started := time.Now()
	answer, err := endpoint.Pool.Exchange(ctx, &outgoing)
	now := time.Now()
	result := e.classify(ctx, answer, err)
	e.counters.try(result)
	pace := 0.0
	if result == placement.Answered {
		pace = e.usual.pace(q.upstream, q.route.Name, endpoint.Region, endpoint.Region == e.settings.Region, now.Sub(started))
	}
	if answer != nil {
		if running, waiting, told := e.ports.Callers.Load(answer.Header); told {
			endpoint.SetReportedLoad(now, running+waiting)
		}
	}
	e.table.Load().End(now, endpoint, result, pace)
	if result == placement.Lost {
		e.lost(q, endpoint)
	}
	if err != nil && result != placement.Abandoned {
		e.log.Info().Err(err).Str("request", q.asked.ID).Str("endpoint", endpoint.ID).Str("try", result.String()).
			Dur("took", now.Sub(started)).Msg("try failed")
	}
	return answer, result
}

// classify returns how a try ended.
func (e *Edge) classify(ctx context.Context, answer *upstream.Answer, err error) placement.Result {
	if err == nil {
		return e.classifyAnswer(answer)
	}
	switch ctx.Err() {
	case context.Canceled:
		return placement.Abandoned
	case context.DeadlineExceeded:
		return placement.Expired
	}
	var limit *upstream.ConnectionLimitError
	var exchange *upstream.ExchangeError
	switch {
	case errors.As(err, &limit):
		return placement.Crowded
	case errors.As(err, &exchange) && !exchange.MayHaveRun():
		return placement.Unreachable
	}
	return placement.Lost
}

func (e *Edge) classifyAnswer(answer *upstream.Answer) placement.Result {
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		return placement.Misdirected
	case e.ports.Upstreams.NotRun(answer.Status, answer.Header) && answer.Status != http.StatusBadRequest:
		return placement.Full
	case answer.Status >= http.StatusInternalServerError:
		return placement.Failed
	}
	return placement.Answered
}

// mayTryAgain reports whether a further try is safe and allowed.
func (e *Edge) mayTryAgain(q *request, tries []try, arrived int) bool {
	last := tries[len(tries)-1].result
	if last == placement.Abandoned || last == placement.Expired {
		return false
	}
	if mayHaveRun(last) && q.route.Kind != catalog.Idempotent {
		return false
	}
	if arrived >= q.route.MaxTries || len(tries) >= maxDials {
		return false
	}
	return time.Until(q.deadline) > leastTimeForTry
}

// mayHaveRun reports whether the endpoint can have begun the request.
func mayHaveRun(result placement.Result) bool {
	switch result {
	case placement.Full, placement.Misdirected, placement.Unreachable, placement.Crowded:
		return false
	}
	return true
}

// ranTry reports whether any try can have begun the request.
func ranTry(tries []try) bool {
	for _, t := range tries {
		if mayHaveRun(t.result) {
			return true
		}
	}
	return false
}

// noRoom refuses a request for which there is no endpoint.
func (e *Edge) noRoom(q *request, tries []try, cause error) *refusal.Refusal {
	q.cause = cause
	if ranTry(tries) {
		return refusal.New(http.StatusBadGateway, refusal.UpstreamFailed, refusal.Unknown,
			"the endpoint gave no answer and no other one has room")
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun,
		"no endpoint has room").After(e.retryAfter(q))
}

// failed refuses a request whose tries gave no answer.
func (e *Edge) failed(ctx context.Context, q *request, tries []try) *refusal.Refusal {
	if !ranTry(tries) {
		return refusal.New(http.StatusServiceUnavailable, refusal.UpstreamUnreachable, refusal.NotRun,
			"no endpoint took the request").After(e.retryAfter(q))
	}
	if ctx.Err() != nil {
		return refusal.New(http.StatusGatewayTimeout, refusal.DeadlineExceeded, refusal.Unknown,
			"the endpoint gave no answer in time")
	}
	return refusal.New(http.StatusBadGateway, refusal.UpstreamFailed, refusal.Unknown, "the endpoint gave no answer")
}

// retryAfter spreads the return of refused callers over the time in which the
// requests that are under way end.
func (e *Edge) retryAfter(q *request) time.Duration {
	service := e.usual.serviceTime(q.upstream)
	wait := time.Duration((0.5 + rand.Float64()) * float64(service))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// maxFill returns the load up to which an endpoint of the request's region may take
// it.
func (e *Edge) maxFill(q *request) float64 {
	return placement.MaxUtilization(placement.RequestProfile{
		Objective:    q.route.Objective,
		ResponseTime: e.usual.estimate(q.upstream, q.route.Name, q.region),
		ServiceTime:  e.usual.serviceTime(q.upstream),
		Urgency:      q.catalog.Urgency(q.route, q.workspace),
	})
}
