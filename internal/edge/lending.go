package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/allowance"
	"lovagescale/internal/catalog"
	"lovagescale/internal/fleet"
	"lovagescale/internal/wire"
)

// Times of borrowing.
const (
	// borrowTimeout bounds what a request waits for a loan.
	borrowTimeout = 120 * time.Millisecond
	// maxBorrowPause bounds the time in which a workspace that got no loan is not
	// asked for again.
	maxBorrowPause = 250 * time.Millisecond
)

// lending is an instance's access to the pools of its region. Each workspace's
// pool lies with one of the region's delegates. It is safe for concurrent use.
type lending struct {
	// pool holds what this instance lends as a delegate.
	pool      *allowance.Quotas
	delegates atomic.Pointer[[]fleet.Member]
	mu        sync.Mutex
	// pauses are the times until which a workspace's pool is not asked.
	pauses map[string]time.Time
}

func newLending(window time.Duration) *lending {
	return &lending{pool: allowance.NewQuotas(window, allowance.Pooled), pauses: make(map[string]time.Time)}
}

// holder returns the delegate with the workspace's pool, or false without one.
func (l *lending) holder(workspace string) (fleet.Member, bool) {
	delegates := l.delegates.Load()
	if delegates == nil || len(*delegates) == 0 {
		return fleet.Member{}, false
	}
	return (*delegates)[xxhash.Sum64String(workspace)%uint64(len(*delegates))], true
}

func (l *lending) paused(now time.Time, workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.pauses[workspace])
}

func (l *lending) pause(now time.Time, workspace string, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauses[workspace] = now.Add(min(wait, maxBorrowPause))
}

// admit takes a request from this instance's part of the workspace's quota, or
// from the region's pool. Without either it returns when to come back.
func (e *Edge) admit(ctx context.Context, q *request) (time.Duration, bool) {
	wait, admitted := e.quotas.Admit(q.started, q.workspace)
	if admitted || e.borrow(ctx, q.workspace) {
		return 0, true
	}
	return wait, false
}

// borrow asks for a loan of one request.
func (e *Edge) borrow(ctx context.Context, workspace *catalog.Workspace) bool {
	now := time.Now()
	holder, found := e.lending.holder(workspace.Name)
	if !found || e.lending.paused(now, workspace.Name) {
		return false
	}
	loan := e.loan(ctx, holder, workspace)
	if !loan.Granted {
		e.lending.pause(now, workspace.Name, time.Duration(loan.WaitMillis)*time.Millisecond)
		return false
	}
	e.counters.loans.Inc(1)
	return true
}

// loan asks the holder of the pool, which may be this instance itself. A holder
// that does not answer is not asked again for a while.
func (e *Edge) loan(ctx context.Context, holder fleet.Member, workspace *catalog.Workspace) fleet.Loan {
	if holder.Instance == e.settings.Instance {
		return e.grant(workspace)
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var loan fleet.Loan
	if err := e.peers.Client(holder.Link).Call(ctx, fleet.TypeBorrow, fleet.Borrow{Workspace: workspace.Name}, &loan); err != nil {
		e.counters.talkFailures.Inc(1)
		e.log.Info().Err(err).Str("peer", holder.Instance).Str("workspace", workspace.Name).Msg("pool did not answer")
		return fleet.Loan{WaitMillis: maxBorrowPause.Milliseconds()}
	}
	return loan
}

// grant takes a request from the pool that this instance holds.
func (e *Edge) grant(workspace *catalog.Workspace) fleet.Loan {
	wait, granted := e.lending.pool.Admit(time.Now(), workspace)
	return fleet.Loan{Granted: granted, WaitMillis: wait.Milliseconds()}
}

// lend answers a member of the region.
func (e *Edge) lend(_ context.Context, request wire.Envelope) (any, error) {
	var borrow fleet.Borrow
	if err := request.Decode(&borrow); err != nil {
		return nil, err
	}
	c := e.catalog.Load()
	if c == nil || c.Workspaces[borrow.Workspace] == nil {
		return fleet.Loan{WaitMillis: maxBorrowPause.Milliseconds()}, nil
	}
	return e.grant(c.Workspaces[borrow.Workspace]), nil
}
