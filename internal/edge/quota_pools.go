package edge

import (
	"context"
	"time"

	"lovagescale/internal/catalog"
	"lovagescale/internal/fleet"
	"lovagescale/internal/quotapool"
	"lovagescale/internal/wire"
)

// borrowTimeout bounds how long a request waits for the reply of one holder of a pool.
const borrowTimeout = 120 * time.Millisecond

// admit takes a loan for a request from the pools of its workspace. If it gets none, it
// returns false and the time after which to try again.
func (e *Edge) admit(ctx context.Context, q *request) (time.Duration, bool) {
	if q.workspace == nil {
		return 0, true
	}
	e.workspaceDemand.Count(q.workspace.Name)
	if q.workspace.Rate <= 0 {
		return 0, true
	}
	for {
		retryAfter, admitted := e.tryAdmit(ctx, q)
		now := time.Now()
		wait := startupWait(now.Sub(e.startedAt), now.Sub(q.started), maxQuotaWait(q.route), retryAfter)
		if admitted || wait <= 0 || ctx.Err() != nil {
			return retryAfter, admitted
		}
		sleep(ctx, wait)
	}
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

// tryAdmit asks once for a loan for a request. If it gets none, it returns false and the
// time after which to try again.
func (e *Edge) tryAdmit(ctx context.Context, q *request) (time.Duration, bool) {
	now := time.Now()
	if left := e.pools.RemainingPause(now, q.workspace.Name); left > 0 {
		return left, false
	}
	loan := e.pools.Borrow(now, q.workspace, func(holder fleet.Member, borrow fleet.Borrow) (fleet.BorrowReply, bool) {
		return e.sendBorrow(ctx, holder, borrow)
	})
	wait := time.Duration(loan.RetryAfterMillis) * time.Millisecond
	if !loan.Granted {
		e.pools.Pause(now, q.workspace.Name, wait)
		return wait, false
	}
	e.counters.loans.Inc(1)
	return 0, true
}

// sendBorrow sends a borrow to a holder. A holder that repeatedly does not reply is
// skipped for some time.
func (e *Edge) sendBorrow(ctx context.Context, holder fleet.Member, borrow fleet.Borrow) (fleet.BorrowReply, bool) {
	callCtx, cancel := context.WithTimeout(ctx, borrowTimeout)
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
		go e.sendBorrow(context.WithoutCancel(ctx), holder, fleet.Borrow{})
	}
	c := e.catalog.Load()
	if c == nil || c.Workspaces[borrow.Workspace] == nil {
		return fleet.BorrowReply{RetryAfterMillis: quotapool.MaxPause.Milliseconds()}, nil
	}
	return e.pools.Lend(time.Now(), c.Workspaces[borrow.Workspace], borrow), nil
}
