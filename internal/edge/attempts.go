package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/catalog"
	"lovagescale/internal/namedlimit"
	"lovagescale/internal/placement"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// Limits on the attempts of one request.
const (
	// maxTotalAttempts bounds all attempts. The route's limit does not count attempts at
	// endpoints that were unreachable.
	maxTotalAttempts = 4
	// minTimeForRetry is the time before the deadline that must be left for a retry.
	minTimeForRetry = 30 * time.Millisecond
)

// Limits of the time after which a refused caller may retry.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 900 * time.Millisecond
)

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	endpoint *placement.Endpoint
	result   placement.Result
	// queued is set if the endpoint had no free slot when the request was sent to it.
	queued bool
	// took is how long the attempt took.
	took time.Duration
}

// run runs a caller's request: through another instance if this one reaches no endpoint,
// or with attempts of its own.
func (e *Edge) run(ctx context.Context, q *request) (*upstream.Answer, []attempt, *refusal.Refusal) {
	if refused := e.refuseLate(time.Now(), q); refused != nil {
		return nil, nil, refused
	}
	if e.reach.Partitioned() {
		if refused := e.admit(ctx, q); refused != nil {
			return nil, nil, refused
		}
		if answer, refused, taken := e.handOver(ctx, q, q.maxAttempts); taken {
			return answer, nil, refused
		}
	}
	return e.runAttempts(ctx, q)
}

// runAttempts sends the request to an endpoint, and retries at others where that is safe
// and the limits allow it. It returns a complete answer or a refusal. An answer that
// reports a failure is returned if no retry gives a better one.
func (e *Edge) runAttempts(ctx context.Context, q *request) (*upstream.Answer, []attempt, *refusal.Refusal) {
	answer, attempts, refused := e.attemptInRegion(ctx, q)
	e.recordRegionMix(q, attempts, answer, refused)
	return answer, attempts, refused
}

// attemptInRegion chooses a region for the request and makes its attempts there.
func (e *Edge) attemptInRegion(ctx context.Context, q *request) (*upstream.Answer, []attempt, *refusal.Refusal) {
	allowedRegions, restricted := catalog.AllowedRegionsOf(q.route, q.workspace)
	q.region, q.pinned = e.balancer.Next(q.upstream, q.affinityKey, allowedRegions, restricted), restricted
	e.compareWithShare(q)
	var attempts []attempt
	var failedAnswer *upstream.Answer
	reached := 0
	for {
		endpoint, refused, err := e.chooseAndAdmit(ctx, q, attempts)
		if refused != nil {
			e.withdrawDemand(q)
			return nil, attempts, refused
		}
		if len(attempts) == 0 {
			e.recordArrival(q)
		}
		if err == nil && len(attempts) == 0 {
			e.retryBudget.RecordFirstAttempt(q.upstream)
		}
		if err != nil && failedAnswer != nil {
			return e.endpointAnswer(q, failedAnswer, attempts)
		}
		if err != nil {
			if answer, refused, taken := e.handOverNotRun(ctx, q, attempts, reached); taken {
				return answer, attempts, refused
			}
			return nil, attempts, e.noRoomRefusal(q, attempts, err)
		}
		var answer *upstream.Answer
		answer, attempts = e.attemptHedged(ctx, q, endpoint, attempts)
		reached = countReached(attempts)
		result := attempts[len(attempts)-1].result
		if result == placement.Answered {
			return e.endpointAnswer(q, answer, attempts)
		}
		if result == placement.Failed {
			failedAnswer = answer
		}
		if e.mayRetry(q, attempts, reached) && (result == placement.Unreachable || e.retryBudget.TakeRetry(q.upstream)) {
			if answer, refused, taken := e.retryElsewhere(ctx, q, attempts, reached, failedAnswer); taken {
				return answer, attempts, refused
			}
			continue
		}
		if failedAnswer != nil {
			return e.endpointAnswer(q, failedAnswer, attempts)
		}
		if answer, refused, taken := e.handOverNotRun(ctx, q, attempts, reached); taken {
			return answer, attempts, refused
		}
		return nil, attempts, e.failureRefusal(ctx, q, attempts)
	}
}

// recordArrival counts a request that its quota admits.
func (e *Edge) recordArrival(q *request) {
	if q.pinned {
		e.stats.RecordArrival(q.upstream, q.region)
	} else {
		e.stats.RecordArrival(q.upstream, "")
	}
}

// handOverNotRun hands a request over that found no endpoint here and has not run, if this
// instance reaches none. taken is false if no instance took it.
func (e *Edge) handOverNotRun(ctx context.Context, q *request, attempts []attempt, reached int) (answer *upstream.Answer, refused *refusal.Refusal, taken bool) {
	if q.handedOver || anyMayHaveRun(attempts) || reached >= q.maxAttempts || !e.awaitProbes(ctx) {
		return nil, nil, false
	}
	if refused := e.admit(ctx, q); refused != nil {
		return nil, refused, true
	}
	return e.handOver(ctx, q, q.maxAttempts-reached)
}

// retryElsewhere retries a request through another instance if this one reaches no
// endpoint. taken is false if none took it. failedAnswer is the answer of an earlier
// attempt that reports a failure, or nil.
func (e *Edge) retryElsewhere(ctx context.Context, q *request, attempts []attempt, reached int, failedAnswer *upstream.Answer) (answer *upstream.Answer, refused *refusal.Refusal, taken bool) {
	if !e.reach.Partitioned() {
		return nil, nil, false
	}
	answer, refused, taken = e.handOver(ctx, q, q.maxAttempts-reached)
	switch {
	case !taken || refused == nil:
		return answer, nil, taken
	case failedAnswer != nil:
		return failedAnswer, nil, true
	case anyMayHaveRun(attempts):
		return nil, noAnswerRefusal(), true
	}
	return nil, refused, true
}

// endpointAnswer returns an endpoint's answer for the caller. An action's answer whose
// status promises that the request did not run is replaced, because the endpoint did not
// state that.
func (e *Edge) endpointAnswer(q *request, answer *upstream.Answer, attempts []attempt) (*upstream.Answer, []attempt, *refusal.Refusal) {
	if q.route.Kind != catalog.Idempotent && e.ports.Callers.PromisesNotRun(answer.Status) {
		return nil, attempts, refusal.New(http.StatusBadGateway, refusal.UpstreamFailed, refusal.Unknown,
			fmt.Sprintf("the endpoint answered with status %d but may have run the request", answer.Status))
	}
	return answer, attempts, nil
}

// chooseEndpoint returns an endpoint of the request's region that was not attempted yet.
func (e *Edge) chooseEndpoint(now time.Time, q *request, attempts []attempt) (*placement.Endpoint, error) {
	return e.table.Load().Choose(now, e.choice(now, q, attempts))
}

// attempt sends the request to one endpoint and records the result.
func (e *Edge) attempt(ctx context.Context, q *request, endpoint *placement.Endpoint) (*upstream.Answer, attempt) {
	outgoing := q.outgoing
	outgoing.Instance, outgoing.Deadline = endpoint.ID, q.deadline
	started := time.Now()
	sent := endpoint.StampRequest(started)
	expected := e.expectedCompletion(started, q, endpoint)
	queued := endpoint.Queues(started)
	answer, err := endpoint.Pool.Exchange(ctx, &outgoing)
	now := time.Now()
	result := e.classify(ctx, answer, err)
	e.counters.recordAttempt(result)
	e.recordReach(now, endpoint, result)
	var load placement.ReportedLoad
	if answer != nil && result != placement.Misdirected {
		load = e.applyReportedLoad(now, endpoint, answer)
	}
	latencyRatio := e.recordRun(q, endpoint, result, run{expected: expected, took: now.Sub(started), load: load})
	if answer != nil && result != placement.Misdirected { // such an answer is of another endpoint
		e.applyStatements(now, sent, q, endpoint, answer, result)
	}
	e.table.Load().End(now, endpoint, result, latencyRatio)
	if result == placement.Lost {
		e.checkForCrash(q, endpoint)
	}
	q.noteNoMemory(err)
	if err != nil && result != placement.Abandoned {
		e.log.Info().Err(err).Str("request", q.caller.ID).Str("endpoint", endpoint.ID).Str("try", result.String()).
			Dur("took", now.Sub(started)).Msg("try failed")
	}
	return answer, attempt{endpoint: endpoint, result: result, queued: queued, took: now.Sub(started)}
}

// run is an attempt at an endpoint that has ended.
type run struct {
	// expected is the time after which it was expected to end, or 0.
	expected, took time.Duration
	// load is what the endpoint reported in its answer.
	load placement.ReportedLoad
}

// recordRun records how long an attempt took and occupied a slot. It returns the duration
// divided by the usual one, or 0 if it was not answered.
func (e *Edge) recordRun(q *request, endpoint *placement.Endpoint, result placement.Result, r run) (latencyRatio float64) {
	if result == placement.Answered {
		latencyRatio = e.stats.RecordAnswer(q.upstream, q.route.Name, endpoint.Region, endpoint.Region == e.settings.Region, r.took)
		e.recordCompletion(q, endpoint, r.expected, r.took, r.load)
	}
	e.recordSlotTime(q, endpoint, result, r.took, latencyRatio)
	return latencyRatio
}

// applyStatements applies what an endpoint states in its answer about further requests:
// that it is leaving, for how long it wants none, or how many it takes. sent is the stamp of
// the request.
func (e *Edge) applyStatements(now time.Time, sent namedlimit.Stamp, q *request, endpoint *placement.Endpoint, answer *upstream.Answer, result placement.Result) {
	if e.ports.Upstreams.Leaving(answer.Header) && endpoint.SetLeaving() {
		e.log.Info().Str("request", q.caller.ID).Str("endpoint", endpoint.ID).Msg("endpoint is leaving and gets no further requests")
	}
	pause, err := e.ports.Upstreams.Pause(answer.Status, answer.Header)
	if err != nil {
		e.log.Warn().Err(err).Str("request", q.caller.ID).Str("endpoint", endpoint.ID).Dur("pause", pause).Msg("endpoint's statement is out of bounds")
	}
	if pause > 0 {
		endpoint.Pause(now.Add(pause))
		e.log.Info().Str("request", q.caller.ID).Str("endpoint", endpoint.ID).Dur("pause", pause).Msg("endpoint wants no requests")
	}
	e.applyLimit(now, sent, q, endpoint, answer, result)
}

// classify returns the result of an attempt.
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
	if result, known := classifyMemory(err); known {
		return result
	}
	var limitErr *upstream.ConnectionLimitError
	var exchangeErr *upstream.ExchangeError
	switch {
	case errors.As(err, &limitErr):
		return placement.Crowded
	case errors.As(err, &exchangeErr) && !exchangeErr.MayHaveRun():
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

// mayRetry reports whether a retry is safe and allowed. reached is the number of attempts
// at endpoints that were reachable.
func (e *Edge) mayRetry(q *request, attempts []attempt, reached int) bool {
	last := attempts[len(attempts)-1].result
	if last == placement.Abandoned || last == placement.Expired {
		return false
	}
	if mayHaveRun(last) && q.route.Kind != catalog.Idempotent {
		return false
	}
	if reached >= q.maxAttempts || len(attempts) >= maxTotalAttempts {
		return false
	}
	return time.Until(q.deadline) > minTimeForRetry
}

// mayHaveRun reports whether the endpoint may have begun to process the request.
func mayHaveRun(result placement.Result) bool {
	switch result {
	case placement.Full, placement.Misdirected, placement.Unreachable, placement.Crowded:
		return false
	}
	return true
}

// anyMayHaveRun reports whether the endpoint of any attempt may have begun to process the
// request.
func anyMayHaveRun(attempts []attempt) bool {
	for _, a := range attempts {
		if mayHaveRun(a.result) {
			return true
		}
	}
	return false
}

// noRoomRefusal returns the refusal of a request for which no endpoint could be chosen.
func (e *Edge) noRoomRefusal(q *request, attempts []attempt, cause error) *refusal.Refusal {
	q.cause = e.recordNoRoom(q, cause)
	if anyMayHaveRun(attempts) {
		return refusal.New(http.StatusBadGateway, refusal.UpstreamFailed, refusal.Unknown,
			"the endpoint gave no answer and no other one has room")
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun,
		"no endpoint has room").WithRetryAfter(e.retryAfter(q))
}

// failureRefusal returns the refusal of a request whose attempts gave no answer.
func (e *Edge) failureRefusal(ctx context.Context, q *request, attempts []attempt) *refusal.Refusal {
	if !anyMayHaveRun(attempts) {
		if attempts[len(attempts)-1].result == placement.Full {
			q.cause = e.recordNoRoom(q, q.cause)
		}
		return refusal.New(http.StatusServiceUnavailable, refusal.UpstreamUnreachable, refusal.NotRun,
			"no endpoint took the request").WithRetryAfter(e.retryAfter(q))
	}
	if ctx.Err() != nil {
		return refusal.New(http.StatusGatewayTimeout, refusal.DeadlineExceeded, refusal.Unknown,
			"the endpoint gave no answer in time")
	}
	if q.responseNotHeld {
		return responseNotHeldRefusal()
	}
	return noAnswerRefusal()
}

// noAnswerRefusal returns the refusal of a request that an endpoint may have run without an
// answer.
func noAnswerRefusal() *refusal.Refusal {
	return refusal.New(http.StatusBadGateway, refusal.UpstreamFailed, refusal.Unknown, "the endpoint gave no answer")
}

// retryAfter returns the time after which a refused caller may retry. Where none can be
// promised it is random, so that the retries spread over the time in which the requests in
// flight end. If no endpoint wants requests, it starts when the first one does again.
func (e *Edge) retryAfter(q *request) time.Duration {
	now := time.Now()
	pause := e.table.Load().PausedFor(now, q.upstream, q.region)
	if wait := e.returnTime(now, q, pause); wait > 0 {
		return wait
	}
	return pause + e.retrySpread(q)
}

// retrySpread returns a random time of about the upstream's service time.
func (e *Edge) retrySpread(q *request) time.Duration {
	serviceTime := e.stats.ServiceTime(q.upstream)
	wait := time.Duration((0.5 + rand.Float64()) * float64(serviceTime))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
