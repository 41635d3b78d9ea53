package edge

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/retryafter"
)

const (
	// returnAllowance is the utilization above the limit of new requests up to which an
	// endpoint takes a request that returns in its promised time. With 0.25, one place of an
	// endpoint with four slots, several returns at one endpoint broke 6 to 9 in 100 promises
	// in the simulation of package returns, with 0.5 they broke 2 to 3.
	returnAllowance = 0.5
	// maxReturnUtilization bounds the limit with returnAllowance. Endpoints refuse
	// requests beyond such a queue.
	maxReturnUtilization = 2.2
)

// observeReturn records the timeout of a request, and whether the request returns in a
// promised time.
func (e *Edge) observeReturn(now time.Time, q *request) {
	if q.handedOver {
		return // its timeout is what the other instance left of it
	}
	origin := e.retrySchedule.Observe(q.route.Name, q.caller.Timeout)
	if origin == retryafter.Returning {
		q.promisedPlace = e.retrySchedule.Redeem(now, q.upstream, q.route.Name, q.caller.Timeout)
	}
	switch {
	case q.promisedPlace:
		e.countReturn("with_place")
	case origin == retryafter.Returning || origin == retryafter.Early:
		e.countReturn("without_place")
	}
}

// limitForReturns returns the utilization limit of the request, given the one without
// returns. A request with a promised place may exceed it; others leave free what is
// promised.
func (e *Edge) limitForReturns(now time.Time, q *request, limit float64) float64 {
	if q.promisedPlace {
		return max(limit, min(limit+returnAllowance, maxReturnUtilization))
	}
	return limit - e.retrySchedule.ReservedFraction(now, q.upstream)
}

// returnTime returns the time after which the caller of a refused request is to return, or
// 0 if none can be named. pause is the time until an endpoint wants requests.
func (e *Edge) returnTime(now time.Time, q *request, pause time.Duration) time.Duration {
	if q.promisedPlace {
		e.countReturn("broken")
		e.log.Info().Str("request", q.caller.ID).Str("route", q.route.Name).Str("upstream", q.upstream).
			Msg("request returned in its promised time and is refused again")
	}
	if q.handedOver || q.caller.Timeout <= 0 {
		return 0
	}
	wait, promised := e.retrySchedule.Promise(now, retryafter.Refused{
		Upstream: q.upstream, Route: q.route.Name, Timeout: q.caller.Timeout,
		TimeLeft: q.caller.Timeout - now.Sub(q.started), Earliest: pause,
	}, rand.Float64())
	if promised {
		e.countReturn("promised")
	} else if wait > 0 {
		e.countReturn("no_place")
	}
	return wait
}

// rateReturnTime returns the time after which a caller is to return that is refused for
// the rate of its workspace. earliest is the time until the rate admits a request again.
func (e *Edge) rateReturnTime(now time.Time, q *request, earliest time.Duration) time.Duration {
	earliest = max(earliest, minRetryAfter)
	if q.caller.Timeout <= 0 {
		return earliest
	}
	e.retrySchedule.RecordRefusal(q.route.Name, q.caller.Timeout)
	perSecond := q.workspace.Rate / float64(max(e.instanceCount.Load(), 1))
	return e.rateReturns.Next(now, q.workspace.Name, perSecond, q.caller.Timeout-now.Sub(q.started), earliest, rand.Float64())
}

func (e *Edge) countReturn(event string) {
	metrics.GetOrRegisterCounter("edge.returns."+event, e.registry).Inc(1)
}

// updateReturnCapacity sets the capacity of an upstream that this instance may promise.
// slots are the upstream's slots by region, unpinned and pinned the arrival rates at all
// instances, see demandByRegion.
func (s *state) updateReturnCapacity(now time.Time, upstream string, slots, unpinned, pinned map[string]float64) {
	e := s.edge
	for _, change := range e.retrySchedule.Changes() {
		e.log.Info().Str("route", change.Route).Dur("usual_timeout", change.Usual).Bool("recognised", change.Usual > 0).
			Msg("recognition of returning callers has changed")
	}
	if !s.fleet.Acknowledged() && e.hasOtherSeeds() {
		return // other instances are not known yet, and this one's part neither
	}
	capacity := retryafter.Capacity{ServiceTime: e.stats.ServiceTime(upstream)}
	for _, d := range e.stats.UpstreamDemand() {
		if d.Upstream == upstream {
			capacity.Demand += float64(d.Rate)
		}
	}
	utilization := e.table.Load().Utilization(now, upstream)
	for region, n := range slots {
		capacity.Slots += n
		capacity.Excess += max(utilization[region]-maxReturnUtilization, 0) * n
	}
	capacity.Share = retryafter.ShareOf(capacity.Demand, sum(unpinned)+sum(pinned), int(e.instanceCount.Load()))
	e.retrySchedule.SetCapacity(now, upstream, capacity)
}

func sum(rates map[string]float64) float64 {
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	return total
}
