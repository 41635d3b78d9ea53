package edge

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/catalog"
	"lovagescale/internal/hedge"
	"lovagescale/internal/placement"
	"lovagescale/internal/upstream"
)

// hedging connects package hedge.
type hedging struct {
	policy            *hedge.Policy
	sent, won, wasted metrics.Counter
	// noRoom and noBudget count the second attempts that were not made when their delay had
	// passed, because no endpoint had a free slot or no retry was left.
	noRoom, noBudget metrics.Counter
}

func newHedging(registry metrics.Registry) hedging {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("edge.hedge."+name, registry) }
	return hedging{policy: hedge.NewPolicy(), sent: counter("sent"), won: counter("won"), wasted: counter("wasted"),
		noRoom: counter("no_room"), noBudget: counter("no_budget")}
}

// secondAttempt is an attempt that starts while the first one still runs.
type secondAttempt struct {
	// sentTo is the endpoint to which the attempt was sent, or nil before.
	sentTo atomic.Pointer[placement.Endpoint]
	// decided is set by the first of both attempts that was answered.
	decided atomic.Bool
	// done is closed at the end of the attempt. answer, attempt and held are valid from then
	// on. held is the memory of the answer, released unless the attempt was answered first.
	done    chan struct{}
	answer  *upstream.Answer
	attempt attempt
	held    *bodymemory.Reservation
}

// attemptHedged sends the request to an endpoint and, if it runs for unusually long there, to
// another one as well. The first answer without a failure counts, and the other attempt is
// cancelled. It returns the answer of the attempt that decides on the request, and the earlier
// attempts followed by its own, of which that one is the last.
func (e *Edge) attemptHedged(ctx context.Context, q *request, endpoint *placement.Endpoint, earlier []attempt) (*upstream.Answer, []attempt) {
	started := time.Now()
	delay, possible := e.hedgeDelay(q, endpoint, earlier)
	if !possible {
		answer, first := e.attempt(ctx, q, endpoint)
		e.observeRun(ctx, q, endpoint, first.result, time.Since(started))
		return answer, append(earlier, first)
	}
	// Both attempts share a context: the one that was answered no longer needs it.
	bothCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	second := &secondAttempt{done: make(chan struct{})}
	// The goroutine of a timer runs the second attempt, so that a request that ends before
	// the delay costs none.
	timer := time.AfterFunc(delay, func() {
		defer close(second.done)
		if e.runSecond(bothCtx, q, second, append(slices.Clip(earlier), attempt{endpoint: endpoint, result: placement.Abandoned})) {
			cancel()
		}
	})
	answer, first := e.attempt(bothCtx, q, endpoint)
	e.observeRun(ctx, q, endpoint, first.result, time.Since(started))
	if timer.Stop() {
		return answer, append(earlier, first)
	}
	if first.result == placement.Answered && second.decided.CompareAndSwap(false, true) {
		if sentTo := second.sentTo.Load(); sentTo != nil {
			earlier = append(earlier, attempt{endpoint: sentTo, result: placement.Abandoned})
		}
		return answer, append(earlier, first)
	}
	<-second.done // a failure of one attempt waits for the other one
	sentTo := second.sentTo.Load()
	switch {
	case sentTo == nil:
		return answer, append(earlier, first)
	case second.attempt.result == placement.Answered || moreDecisive(second.attempt.result, first.result):
		if second.attempt.result == placement.Answered {
			q.responseHeld.Release()
			q.responseHeld = second.held
		}
		return second.answer, append(earlier, first, second.attempt)
	}
	return answer, append(earlier, second.attempt, first)
}

// hedgeDelay returns the time after which the attempt at an endpoint may be followed by a
// second one, or false if there is to be none.
func (e *Edge) hedgeDelay(q *request, endpoint *placement.Endpoint, earlier []attempt) (time.Duration, bool) {
	if q.route.Kind != catalog.Idempotent || q.route.Objective <= 0 || q.handedOver || q.share.excess {
		return 0, false
	}
	if countReached(earlier)+2 > q.maxAttempts || len(earlier)+2 > maxTotalAttempts {
		return 0, false
	}
	serving := placement.Serving{Upstream: q.upstream, Region: endpoint.Region}
	preferred := e.objects.Preferred(serving)
	times, _ := e.runTimes.Expect(serving, q.route.Name)
	expected := hedge.Expectation{Warm: times.Warm, Second: e.secondTime(q, times, preferred), Objective: q.route.Objective}
	delay, known := e.hedging.policy.Delay(hedgeKey(q, endpoint), expected)
	if q.affinityKey != 0 && preferred < 2 && delay+expected.Second > q.route.Objective {
		return 0, false // a first run that ends too late only costs slots
	}
	return delay, known && time.Until(q.deadline) > delay+max(expected.Second, minTimeForRetry)
}

// secondTime returns how long a second attempt is expected to run. At an endpoint that is not a
// preferred one of the object, it is a first run.
func (e *Edge) secondTime(q *request, times placement.Expectation, preferred int) time.Duration {
	switch {
	case q.affinityKey == 0:
		return e.stats.ResponseTime(q.upstream, q.route.Name, q.region)
	case preferred > 1:
		return times.Warm
	}
	return times.First
}

func hedgeKey(q *request, endpoint *placement.Endpoint) hedge.Key {
	return hedge.Key{Upstream: q.upstream, Route: q.route.Name, Region: endpoint.Region}
}

// observeRun records how long an attempt ran. ctx is that of the request: a run that ended
// because its caller disconnected tells nothing.
func (e *Edge) observeRun(ctx context.Context, q *request, endpoint *placement.Endpoint, result placement.Result, took time.Duration) {
	if q.route.Kind != catalog.Idempotent || q.route.Objective <= 0 {
		return
	}
	switch result {
	case placement.Answered, placement.Expired:
	case placement.Abandoned: // for the other attempt
		if ctx.Err() != nil {
			return
		}
	default:
		return
	}
	e.hedging.policy.Observe(hedgeKey(q, endpoint), took)
}

// runSecond makes the second attempt if an endpoint has a free slot and a retry is left. It
// reports whether this attempt decides on the request. attempts are those made so far.
func (e *Edge) runSecond(ctx context.Context, q *request, second *secondAttempt, attempts []attempt) bool {
	if ctx.Err() != nil || e.reach.Partitioned() {
		return false
	}
	endpoint := e.chooseSecond(q, attempts)
	if endpoint == nil {
		e.hedging.noRoom.Inc(1)
		return false
	}
	held, err := e.memory.Reserve(bodymemory.Response, e.responseSizes.Expected(q.route.Name))
	if err != nil {
		e.table.Load().End(time.Now(), endpoint, placement.Abandoned, 0)
		e.hedging.noRoom.Inc(1)
		return false
	}
	if !e.retryBudget.TakeSpareRetry(q.upstream) {
		held.Release()
		e.table.Load().End(time.Now(), endpoint, placement.Abandoned, 0)
		e.hedging.noBudget.Inc(1)
		return false
	}
	e.hedging.sent.Inc(1)
	second.sentTo.Store(endpoint)
	second.held = held
	own := *q // what an attempt notes in its request must not be shared
	own.responseHeld, own.outgoing.ResponseMemory = held, held
	second.answer, second.attempt = e.attempt(ctx, &own, endpoint)
	won := second.attempt.result == placement.Answered && second.decided.CompareAndSwap(false, true)
	if won {
		e.hedging.won.Inc(1)
	} else {
		held.Release()
		e.hedging.wasted.Inc(1)
	}
	return won
}

// chooseSecond returns an endpoint for the second attempt at which the request is expected to
// end by its deadline, or nil.
func (e *Edge) chooseSecond(q *request, attempts []attempt) *placement.Endpoint {
	now := time.Now()
	want := e.choice(now, q, attempts)
	table := e.table.Load()
	endpoint := table.ChooseSecond(now, want)
	if endpoint == nil {
		return nil
	}
	expected := time.Duration(float64(e.secondTime(q, want.Expected, want.Preferred)) * endpoint.SpeedFactor(now))
	if q.deadline.Sub(now) > max(expected, minTimeForRetry) {
		return endpoint
	}
	table.End(now, endpoint, placement.Abandoned, 0)
	return nil
}

// decisiveness orders the results of two attempts without an answer by how much they say of
// the request: an answer that reports a failure is worth returning, and an endpoint that may
// have run the request matters more than one that did not.
var decisiveness = [...]placement.Result{placement.Unreachable, placement.Crowded, placement.Misdirected,
	placement.Full, placement.Lost, placement.Abandoned, placement.Expired, placement.Failed}

func moreDecisive(a, b placement.Result) bool {
	return slices.Index(decisiveness[:], a) > slices.Index(decisiveness[:], b)
}

// countReached returns the number of attempts at endpoints that were reachable.
func countReached(attempts []attempt) int {
	n := 0
	for _, a := range attempts {
		if a.result != placement.Unreachable {
			n++
		}
	}
	return n
}
