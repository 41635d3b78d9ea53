package edge

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"lovagescale/internal/catalog"
	"lovagescale/internal/fleet"
	"lovagescale/internal/placement"
	"lovagescale/internal/quotapool"
	"lovagescale/internal/refusal"
	"lovagescale/internal/wire"
)

const (
	// borrowTimeout bounds how long a request waits for the reply of one holder of a pool.
	borrowTimeout = 120 * time.Millisecond
	// prefetchTimeout bounds a loan for which no request waits. A reply that comes later
	// has lent tokens that nobody spends.
	prefetchTimeout = 500 * time.Millisecond
)

// needsToken reports whether the request must take a quota token before it is sent on.
func (q *request) needsToken() bool {
	return q.workspace != nil && q.workspace.Rate > 0 && !q.handedOver && q.loan == nil
}

// admit takes the quota token of a request from the pools of its workspace, unless the
// request needs none or has it already. It returns a refusal if there is no token.
func (e *Edge) admit(ctx context.Context, q *request) *refusal.Refusal {
	for {
		retryAfter, admitted := e.tryAdmit(ctx, q)
		if admitted {
			return nil
		}
		wait := e.tokenWait(time.Now(), q, retryAfter)
		if wait <= 0 || ctx.Err() != nil {
			return e.rateRefusal(q, retryAfter)
		}
		sleep(ctx, wait)
	}
}

// chooseAndAdmit chooses an endpoint for the request and then takes its quota token: a
// request without room must not spend one. It returns a refusal if there is no token,
// or the error if there is no endpoint.
func (e *Edge) chooseAndAdmit(ctx context.Context, q *request, attempts []attempt) (*placement.Endpoint, *refusal.Refusal, error) {
	for {
		if q.needsToken() {
			left := e.pools.RemainingPause(time.Now(), q.workspace.Name)
			if left > 0 && e.tokenWait(time.Now(), q, left) <= 0 && !e.tokens.Holds(q.workspace.Name) {
				return nil, e.rateRefusal(q, left), nil
			}
		}
		endpoint, err := e.chooseEndpoint(time.Now(), q, attempts)
		if err != nil {
			return nil, nil, err
		}
		retryAfter, admitted := e.tryAdmit(ctx, q)
		if admitted {
			return endpoint, nil, nil
		}
		e.table.Load().End(time.Now(), endpoint, placement.Abandoned, 0)
		wait := e.tokenWait(time.Now(), q, retryAfter)
		if wait <= 0 || ctx.Err() != nil {
			return nil, e.rateRefusal(q, retryAfter), nil
		}
		sleep(ctx, wait)
	}
}

// rateRefusal returns the refusal of a request for which its workspace has no token.
func (e *Edge) rateRefusal(q *request, retryAfter time.Duration) *refusal.Refusal {
	return refusal.New(http.StatusTooManyRequests, refusal.RateExceeded, refusal.NotRun,
		fmt.Sprintf("workspace is above its rate of %g a second and its burst of %g", q.workspace.Rate, q.workspace.Burst)).
		WithRetryAfter(e.rateReturnTime(time.Now(), q, retryAfter))
}

// Times in which requests wait for a share of a quota instead of being refused.
const (
	// startupTime is how long after its start an instance may still lack its shares: it
	// has to be known to others first, and pools begin empty.
	startupTime = 1500 * time.Millisecond
	// longestQuotaWait bounds how long a request waits.
	longestQuotaWait = 500 * time.Millisecond
	// minQuotaPoll and maxQuotaPoll bound the time between two tries.
	minQuotaPoll = 20 * time.Millisecond
	maxQuotaPoll = 100 * time.Millisecond
)

// maxQuotaWait returns how long a request of the route can wait and still be answered in
// time.
func maxQuotaWait(route *catalog.Route) time.Duration {
	return min(route.Objective, route.Timeout/4, longestQuotaWait)
}

// startupWait returns how long a request that was not admitted waits before the next try,
// or 0 if it is refused. age is the time since the instance's start, waited that since the
// request's arrival. After a restart of all instances, requests within the rate would
// otherwise be refused until shares have been divided anew.
func startupWait(age, waited, longest, retryAfter time.Duration) time.Duration {
	wait := min(max(retryAfter, minQuotaPoll), maxQuotaPoll)
	if age >= startupTime || waited+wait > longest {
		return 0
	}
	return wait
}

// tokenWait returns how long the request waits for a token before the next try, or 0 if it
// is refused.
func (e *Edge) tokenWait(now time.Time, q *request, retryAfter time.Duration) time.Duration {
	return startupWait(now.Sub(e.startedAt), now.Sub(q.started), maxQuotaWait(q.route), retryAfter)
}

// tryAdmit asks once for the token of a request. If it gets none, it returns false and the
// time after which to try again.
func (e *Edge) tryAdmit(ctx context.Context, q *request) (time.Duration, bool) {
	if !q.needsToken() {
		return 0, true
	}
	loan := e.borrow(time.Now(), q.workspace, func(holder fleet.Member, borrow fleet.Borrow) (fleet.BorrowReply, bool) {
		return e.sendBorrow(ctx, holder, borrow, borrowTimeout)
	})
	if !loan.Granted {
		return time.Duration(loan.RetryAfterMillis) * time.Millisecond, false
	}
	q.loan = &loan
	e.prefetchTokens(q.workspace)
	return 0, true
}

// borrow takes a token of the workspace from the cache, or one from the pools: several
// requests that find the cache empty must not take a batch each.
func (e *Edge) borrow(now time.Time, workspace *catalog.Workspace, send quotapool.SendFunc) quotapool.Loan {
	if loan, found := e.tokens.Take(now, workspace.Name); found {
		return loan
	}
	if left := e.pools.RemainingPause(now, workspace.Name); left > 0 {
		return quotapool.Loan{BorrowReply: fleet.BorrowReply{RetryAfterMillis: left.Milliseconds()}}
	}
	loan := e.pools.Borrow(now, workspace, 1, send)
	if !loan.Granted {
		if loan.Answered {
			e.pools.Pause(now, workspace.Name, time.Duration(loan.RetryAfterMillis)*time.Millisecond)
		}
		return loan
	}
	e.counters.loans.Inc(1)
	return loan
}

// prefetchTokens refills the cached tokens of the workspace if it runs low.
func (e *Edge) prefetchTokens(workspace *catalog.Workspace) {
	n := e.tokens.BeginRefill(workspace.Name, e.workspaceDemand.Rate(workspace.Name))
	if n == 0 {
		return
	}
	go func() {
		defer e.tokens.EndRefill(workspace.Name)
		loan := e.pools.Prefetch(time.Now(), workspace, n, func(holder fleet.Member, borrow fleet.Borrow) (fleet.BorrowReply, bool) {
			return e.sendBorrow(context.Background(), holder, borrow, prefetchTimeout)
		})
		if loan.Granted {
			e.counters.loans.Inc(1)
			e.tokens.Put(workspace.Name, loan, loan.Count)
		}
	}()
}

// returnToken puts the quota token of a request that did not run into the cache, from where
// another request takes it or it goes back to its lender.
func (e *Edge) returnToken(q *request) {
	if q.loan == nil {
		return
	}
	e.tokens.Put(q.workspace.Name, *q.loan, 1)
	q.loan = nil
	e.counters.returnedLoans.Inc(1)
}

// returnUnspentTokens gives tokens back to their lenders that have stayed unspent.
func (e *Edge) returnUnspentTokens(now time.Time) {
	for _, unspent := range e.tokens.TakeExpired(now) {
		if unspent.Lender.Instance == "" {
			e.pools.TakeBack(now, unspent.Return)
			continue
		}
		go e.sendReturn(unspent)
	}
}

// sendReturn gives tokens back to another instance. A return that is lost is not repeated:
// the lender could not tell a repeated one from another.
func (e *Edge) sendReturn(unspent quotapool.LoanReturn) {
	ctx, cancel := context.WithTimeout(context.Background(), prefetchTimeout)
	defer cancel()
	var reply fleet.ReturnReply
	if err := e.peers.Client(unspent.Lender.Link).Call(ctx, fleet.TypeReturn, unspent.Return, &reply); err != nil {
		e.log.Info().Err(err).Str("peer", unspent.Lender.Instance).Str("workspace", unspent.Workspace).
			Int("tokens", unspent.Count).Msg("tokens could not be returned")
	}
}

// handleReturn takes back tokens that this instance lent to another one.
func (e *Edge) handleReturn(_ context.Context, request wire.Envelope) (any, error) {
	var returned fleet.Return
	if err := request.Decode(&returned); err != nil {
		return nil, err
	}
	return fleet.ReturnReply{Credited: e.pools.TakeBack(time.Now(), returned)}, nil
}

// sendBorrow sends a borrow to a holder. A holder that repeatedly does not reply is
// skipped for some time.
func (e *Edge) sendBorrow(ctx context.Context, holder fleet.Member, borrow fleet.Borrow, timeout time.Duration) (fleet.BorrowReply, bool) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var loan fleet.BorrowReply
	err := e.peers.Client(holder.Link).Call(callCtx, fleet.TypeBorrow, borrow, &loan)
	if err == nil {
		e.pools.RecordReply(holder.Instance)
		return loan, true
	}
	if ctx.Err() != nil {
		return fleet.BorrowReply{}, false
	}
	e.counters.messageFailures.Inc(1)
	silent := e.pools.RecordFailure(time.Now(), holder.Instance)
	e.log.Info().Err(err).Str("peer", holder.Instance).Str("workspace", borrow.Workspace).Bool("silent", silent).Msg("pool did not answer")
	if silent {
		e.loop.TryPost(func() { e.state.recordSilentHolder(time.Now(), holder.Instance) })
	}
	return fleet.BorrowReply{}, false
}

// recordSilentHolder records that a holder does not reply. This instance takes over the
// pools for which it is the next candidate.
func (s *state) recordSilentHolder(now time.Time, instance string) {
	s.fleet.RecordFailure(now, instance)
	s.divideQuotas(now)
}

// handleBorrow handles a borrow of another instance.
func (e *Edge) handleBorrow(ctx context.Context, request wire.Envelope) (any, error) {
	var borrow fleet.Borrow
	if err := request.Decode(&borrow); err != nil {
		return nil, err
	}
	for _, holder := range e.pools.ZoneMembers(borrow.Unresponsive) {
		// Probe the holder. This instance takes over if it gets no reply either; until
		// then it lends from its fallback shares.
		go e.sendBorrow(context.WithoutCancel(ctx), holder, fleet.Borrow{}, borrowTimeout)
	}
	c := e.catalog.Load()
	if c == nil || c.Workspaces[borrow.Workspace] == nil {
		return fleet.BorrowReply{RetryAfterMillis: quotapool.MaxPause.Milliseconds()}, nil
	}
	return e.pools.Lend(time.Now(), c.Workspaces[borrow.Workspace], borrow), nil
}
