package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lovagescale/internal/allowance"
	"lovagescale/internal/catalog"
	"lovagescale/internal/fleet"
	"lovagescale/internal/wire"
)

// Times of borrowing from quota pools.
const (
	// borrowTimeout bounds how long a request waits for the reply of one holder.
	borrowTimeout = 120 * time.Millisecond
	// holderSilenceThreshold is how long a holder may fail to reply to borrows before
	// another instance takes over its pools. Single late replies must not cause two
	// instances to hold a pool.
	holderSilenceThreshold = 250 * time.Millisecond
	// failureLifetime is how long a borrow without a reply counts as a failure of the
	// holder.
	failureLifetime = 2 * time.Second
	// maxBorrowPause bounds the time in which no loan is asked for on behalf of a
	// workspace that got none.
	maxBorrowPause = 250 * time.Millisecond
)

// maxHolderCandidates bounds the instances of a zone that are asked for one request.
const maxHolderCandidates = 2

// quotaPools gives an instance access to the quota pools of its zone. Rendezvous hashing
// assigns each workspace's pool to one of the zone's instances, its holder. If the holder
// does not reply, the next candidate is asked, which takes over the pool if it gets no
// reply from the holder either. If the pool is empty, the holders in the other zones of
// the region are asked. An instance that hears from no other one uses its even share of
// the pools. It is safe for concurrent use.
type quotaPools struct {
	// pool holds the shares from which this instance lends as a holder. fallback holds
	// those that it uses while it hears from no other instance, when the others already
	// count it as silent.
	pool     *allowance.Quotas
	fallback *allowance.Quotas
	// self and zone are the names of this instance and of its zone.
	self, zone string
	// holders are the instances of the region that may hold pools, by zone.
	holders atomic.Pointer[map[string][]fleet.Member]
	mu      sync.Mutex
	// pausedUntil is the time until which no loan is asked for, by workspace.
	pausedUntil map[string]time.Time
	// failingSince is the time of the first borrow without a reply since the last reply,
	// by holder.
	failingSince map[string]time.Time
}

func newQuotaPools(self, zone string, window time.Duration) *quotaPools {
	p := &quotaPools{
		self:         self,
		zone:         zone,
		pool:         allowance.NewQuotas(window),
		fallback:     allowance.NewQuotas(window),
		pausedUntil:  make(map[string]time.Time),
		failingSince: make(map[string]time.Time),
	}
	p.setHolders(nil)
	return p
}

func (p *quotaPools) setWindow(window time.Duration) {
	p.pool.SetWindow(window)
	p.fallback.SetWindow(window)
}

// processPauseThreshold is the time between two ticks above which this process was
// paused, so that other instances may have taken over its pools. Its tokens are then
// discarded.
const processPauseThreshold = tickInterval + 2*holderSilenceThreshold

// tick ends a period of the quotas' windows and removes expired pauses and failures.
func (p *quotaPools) tick(now time.Time, elapsed time.Duration) {
	if elapsed > processPauseThreshold {
		p.pool.DiscardTokens(now)
		p.fallback.DiscardTokens(now)
	}
	p.pool.Tick(elapsed)
	p.fallback.Tick(elapsed)
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.pausedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(p.failingSince, func(_ string, since time.Time) bool { return now.Sub(since) > failureLifetime })
}

// poolFractions are the fractions of the zone's quotas that an instance may use: pool as
// a holder, and fallback while it hears from no other instance. It may use none unless
// entitled is set: while no other instance can know of it, the others hold the whole
// quotas.
type poolFractions struct {
	pool, fallback float64
	entitled       bool
}

// divide sets this instance's shares of the quotas.
func (p *quotaPools) divide(now time.Time, c *catalog.Catalog, division allowance.Division, fractions poolFractions) {
	division.Fraction = fractions.fallback
	division.IsHolder = func(string) bool { return fractions.entitled && p.isolated() }
	p.fallback.Divide(now, c, division)
	division.Fraction = fractions.pool
	division.IsHolder = func(workspace string) bool { return fractions.entitled && p.isHolder(workspace) }
	p.pool.Divide(now, c, division)
}

// isHolder reports whether this instance holds the workspace's pool of its zone.
func (p *quotaPools) isHolder(workspace string) bool {
	candidates := p.holderCandidates(p.zone, workspace)
	return len(candidates) > 0 && candidates[0].Instance == p.self
}

// zoneMembers returns those of the named instances that belong to this instance's zone.
func (p *quotaPools) zoneMembers(instances []string) []fleet.Member {
	var named []fleet.Member
	for _, member := range (*p.holders.Load())[p.zone] {
		if slices.Contains(instances, member.Instance) {
			named = append(named, member)
		}
	}
	return named
}

func (p *quotaPools) setHolders(holders map[string][]fleet.Member) { p.holders.Store(&holders) }

// isolated reports whether no holders are known. That is so if other instances are known
// but this one hears from none of them.
func (p *quotaPools) isolated() bool {
	return len(*p.holders.Load()) == 0
}

// otherZones returns the other zones of the region that have holders.
func (p *quotaPools) otherZones() []string {
	var zones []string
	for zone := range *p.holders.Load() {
		if zone != p.zone {
			zones = append(zones, zone)
		}
	}
	return zones
}

// holderCandidates returns the instances of a zone that are asked for a workspace's pool,
// the holder first.
func (p *quotaPools) holderCandidates(zone, workspace string) []fleet.Member {
	return fleet.Preferred((*p.holders.Load())[zone], workspace, maxHolderCandidates)
}

// remainingPause returns how much longer no loan is asked for on behalf of the workspace.
func (p *quotaPools) remainingPause(now time.Time, workspace string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedUntil[workspace].Sub(now)
}

func (p *quotaPools) pause(now time.Time, workspace string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil[workspace] = now.Add(min(wait, maxBorrowPause))
}

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
	if left := e.pools.remainingPause(now, q.workspace.Name); left > 0 {
		return left, false
	}
	loan := e.pools.borrow(now, q.workspace, func(holder fleet.Member, borrow fleet.Borrow) (fleet.BorrowReply, bool) {
		return e.sendBorrow(ctx, holder, borrow)
	})
	wait := time.Duration(loan.RetryAfterMillis) * time.Millisecond
	if !loan.Granted {
		e.pools.pause(now, q.workspace.Name, wait)
		return wait, false
	}
	e.counters.loans.Inc(1)
	return 0, true
}

// borrowFunc sends a borrow to a holder and reports whether the holder replied.
type borrowFunc func(holder fleet.Member, borrow fleet.Borrow) (fleet.BorrowReply, bool)

// borrow asks for a loan for one request, first in this zone and then in the other zones
// of the region.
func (p *quotaPools) borrow(now time.Time, workspace *catalog.Workspace, send borrowFunc) fleet.BorrowReply {
	loan := p.borrowInZone(now, workspace, send)
	if loan.Granted {
		return loan
	}
	for _, zone := range p.otherZones() {
		candidates := p.holderCandidates(zone, workspace.Name)
		if len(candidates) == 0 {
			continue
		}
		if reply, ok := send(candidates[0], fleet.Borrow{Workspace: workspace.Name}); ok && reply.Granted {
			return reply
		}
	}
	return loan
}

// borrowInZone asks the candidates of this zone until one replies. If the next candidate
// is this instance, it uses its own pool. If no candidate replies, it uses its fallback
// share.
func (p *quotaPools) borrowInZone(now time.Time, workspace *catalog.Workspace, send borrowFunc) fleet.BorrowReply {
	borrow := fleet.Borrow{Workspace: workspace.Name}
	for _, holder := range p.holderCandidates(p.zone, workspace.Name) {
		if holder.Instance == p.self {
			return admitFrom(now, p.pool, workspace)
		}
		if loan, ok := send(holder, borrow); ok {
			return loan
		}
		borrow.Unresponsive = append(borrow.Unresponsive, holder.Instance)
	}
	return admitFrom(now, p.fallback, workspace)
}

// sendBorrow sends a borrow to a holder. A holder that repeatedly does not reply is
// skipped for some time.
func (e *Edge) sendBorrow(ctx context.Context, holder fleet.Member, borrow fleet.Borrow) (fleet.BorrowReply, bool) {
	callCtx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var loan fleet.BorrowReply
	err := e.peers.Client(holder.Link).Call(callCtx, fleet.TypeBorrow, borrow, &loan)
	if err == nil {
		e.pools.recordReply(holder.Instance)
		return loan, true
	}
	if ctx.Err() != nil {
		return fleet.BorrowReply{}, false
	}
	e.counters.messageFailures.Inc(1)
	silent := e.pools.recordFailure(time.Now(), holder.Instance)
	e.log.Info().Err(err).Str("peer", holder.Instance).Str("workspace", borrow.Workspace).Bool("silent", silent).Msg("pool did not answer")
	if silent {
		e.loop.TryPost(func() { e.state.recordSilentHolder(time.Now(), holder.Instance) })
	}
	return fleet.BorrowReply{}, false
}

// recordReply records that a holder replied.
func (p *quotaPools) recordReply(holder string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failingSince, holder)
}

// recordFailure records that a holder did not reply. It returns true if the holder has
// not replied for at least holderSilenceThreshold.
func (p *quotaPools) recordFailure(now time.Time, holder string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, found := p.failingSince[holder]
	if !found || now.Sub(since) > failureLifetime {
		p.failingSince[holder] = now
		return false
	}
	if now.Sub(since) < holderSilenceThreshold {
		return false
	}
	delete(p.failingSince, holder)
	return true
}

// recordSilentHolder records that a holder does not reply. This instance takes over the
// pools for which it is the next candidate.
func (s *state) recordSilentHolder(now time.Time, instance string) {
	s.fleet.RecordFailure(now, instance)
	s.divideQuotas(now)
}

// lend replies to a borrow of another instance.
func (p *quotaPools) lend(now time.Time, workspace *catalog.Workspace, borrow fleet.Borrow) fleet.BorrowReply {
	if len(borrow.Unresponsive) > 0 && !p.isHolder(workspace.Name) {
		return admitFrom(now, p.fallback, workspace)
	}
	return admitFrom(now, p.pool, workspace)
}

// admitFrom takes a token for a request from a share of the quotas.
func admitFrom(now time.Time, quotas *allowance.Quotas, workspace *catalog.Workspace) fleet.BorrowReply {
	retryAfter, granted := quotas.Admit(now, workspace)
	return fleet.BorrowReply{Granted: granted, RetryAfterMillis: retryAfter.Milliseconds()}
}

// handleBorrow handles a borrow of another instance.
func (e *Edge) handleBorrow(ctx context.Context, request wire.Envelope) (any, error) {
	var borrow fleet.Borrow
	if err := request.Decode(&borrow); err != nil {
		return nil, err
	}
	for _, holder := range e.pools.zoneMembers(borrow.Unresponsive) {
		// Probe the holder. This instance takes over if it gets no reply either; until
		// then it lends from its fallback shares.
		go e.sendBorrow(context.WithoutCancel(ctx), holder, fleet.Borrow{})
	}
	c := e.catalog.Load()
	if c == nil || c.Workspaces[borrow.Workspace] == nil {
		return fleet.BorrowReply{RetryAfterMillis: maxBorrowPause.Milliseconds()}, nil
	}
	return e.pools.lend(time.Now(), c.Workspaces[borrow.Workspace], borrow), nil
}
