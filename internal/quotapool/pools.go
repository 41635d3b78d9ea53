// Package quotapool holds an instance's part of the quota pools: each zone has one pool for
// each workspace with a rate, held by one of its instances, from which the instances of the
// zone borrow a token for each request.
//
// Failure modes: a holder that does not reply for holderSilenceThreshold loses its pools to
// the next candidate. An instance that hears from no other one uses its even share. One that
// no other instance can know of yet has nothing.
package quotapool

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lovagescale/internal/allowance"
	"lovagescale/internal/catalog"
	"lovagescale/internal/fleet"
)

// Times of borrowing from quota pools.
const (
	// holderSilenceThreshold is how long a holder may fail to reply to borrows before
	// another instance takes over its pools. Single late replies must not cause two
	// instances to hold a pool.
	holderSilenceThreshold = 250 * time.Millisecond
	// failureLifetime is how long a borrow without a reply counts as a failure of the
	// holder.
	failureLifetime = 2 * time.Second
	// MaxPause bounds the time in which no loan is asked for on behalf of a
	// workspace that got none.
	MaxPause = 250 * time.Millisecond
)

// maxHolderCandidates bounds the instances of a zone that are asked for one request.
const maxHolderCandidates = 2

// Pools gives an instance access to the quota pools of its zone. Rendezvous hashing
// assigns each workspace's pool to one of the zone's instances, its holder. If the holder
// does not reply, the next candidate is asked, which takes over the pool if it gets no
// reply from the holder either. If the pool is empty, the holders in the other zones of
// the region are asked. An instance that hears from no other one uses its even share of
// the pools. It is safe for concurrent use.
type Pools struct {
	// pool holds the shares from which this instance lends as a holder. fallback holds
	// those that it uses while it hears from no other instance, when the others already
	// count it as silent.
	pool     *allowance.Quotas
	fallback *allowance.Quotas
	// self and zone are the names of this instance and of its zone, incarnation is its
	// run.
	self, zone  string
	incarnation int64
	// holders are the instances of the region that may hold pools, by zone. contested are
	// those of this zone that this instance does not reach while others may.
	holders   atomic.Pointer[map[string][]fleet.Member]
	contested atomic.Pointer[[]fleet.Member]
	mu        sync.Mutex
	// pausedUntil is the time until which no loan is asked for, by workspace.
	pausedUntil map[string]time.Time
	// failingSince is the time of the first borrow without a reply since the last reply,
	// by holder.
	failingSince map[string]time.Time
	// tickInterval is the time between two calls of Tick.
	tickInterval time.Duration
}

// New returns the pools of an instance, without holders and shares. window is that of the
// quotas, tickInterval the time between two calls of Tick.
func New(self fleet.Member, window, tickInterval time.Duration) *Pools {
	p := &Pools{
		self:         self.Instance,
		incarnation:  self.Incarnation,
		tickInterval: tickInterval,
		zone:         self.Zone,
		pool:         allowance.NewQuotas(window),
		fallback:     allowance.NewQuotas(window),
		pausedUntil:  make(map[string]time.Time),
		failingSince: make(map[string]time.Time),
	}
	p.SetHolders(nil, nil)
	return p
}

// SetWindow sets the window of the quotas.
func (p *Pools) SetWindow(window time.Duration) {
	p.pool.SetWindow(window)
	p.fallback.SetWindow(window)
}

// Shares returns the shares from which this instance lends, by workspace.
func (p *Pools) Shares() map[string]float64 { return p.pool.Shares() }

// Tick ends a period of the quotas' windows and removes expired pauses and failures. After
// a long time without a tick this process was paused, so that other instances may have taken
// over its pools. Its tokens are then discarded, and Tick returns true.
func (p *Pools) Tick(now time.Time, elapsed time.Duration) (discarded bool) {
	if elapsed > p.tickInterval+2*holderSilenceThreshold {
		p.pool.DiscardTokens(now)
		p.fallback.DiscardTokens(now)
		discarded = true
	}
	p.pool.Tick(elapsed)
	p.fallback.Tick(elapsed)
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.pausedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(p.failingSince, func(_ string, since time.Time) bool { return now.Sub(since) > failureLifetime })
	return discarded
}

// Fractions are the fractions of the zone's quotas that an instance may use: Pool as a
// holder, Contested as the holder of a pool whose former holder others may still reach,
// and Fallback while it hears from no other instance. It may use none unless Entitled is
// set: while no other instance can know of it, the others hold the whole quotas.
type Fractions struct {
	Pool, Contested, Fallback float64
	Entitled                  bool
}

// Divide sets this instance's shares of the quotas.
func (p *Pools) Divide(now time.Time, c *catalog.Catalog, division allowance.Division, fractions Fractions) {
	division.Fraction = func(string) float64 { return fractions.Fallback }
	division.IsHolder = func(string) bool { return fractions.Entitled && p.isolated() }
	p.fallback.Divide(now, c, division)
	division.Fraction = func(workspace string) float64 {
		if p.isContested(workspace) {
			return min(fractions.Contested, fractions.Pool)
		}
		return fractions.Pool
	}
	division.IsHolder = func(workspace string) bool { return fractions.Entitled && p.isHolder(workspace) }
	p.pool.Divide(now, c, division)
}

// isHolder reports whether this instance holds the workspace's pool of its zone.
func (p *Pools) isHolder(workspace string) bool {
	candidates := p.holderCandidates(p.zone, workspace)
	return len(candidates) > 0 && candidates[0].Instance == p.self
}

// isContested reports whether a contested instance of this zone would hold the workspace's
// pool. It may go on lending from it for others.
func (p *Pools) isContested(workspace string) bool {
	contested := *p.contested.Load()
	if len(contested) == 0 {
		return false
	}
	candidates := append(slices.Clone((*p.holders.Load())[p.zone]), contested...)
	holder := fleet.Preferred(candidates, workspace, 1)[0]
	return slices.Contains(contested, holder)
}

// ZoneMembers returns those of the named instances that belong to this instance's zone.
func (p *Pools) ZoneMembers(instances []string) []fleet.Member {
	var named []fleet.Member
	for _, member := range (*p.holders.Load())[p.zone] {
		if slices.Contains(instances, member.Instance) {
			named = append(named, member)
		}
	}
	return named
}

// SetHolders sets the instances of the region that may hold pools, by zone, and those of
// this zone that this instance does not reach while others may.
func (p *Pools) SetHolders(holders map[string][]fleet.Member, contested []fleet.Member) {
	p.holders.Store(&holders)
	p.contested.Store(&contested)
}

// isolated reports whether no holders are known. That is so if other instances are known
// but this one hears from none of them.
func (p *Pools) isolated() bool {
	return len(*p.holders.Load()) == 0
}

// otherZones returns the other zones of the region that have holders.
func (p *Pools) otherZones() []string {
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
func (p *Pools) holderCandidates(zone, workspace string) []fleet.Member {
	return fleet.Preferred((*p.holders.Load())[zone], workspace, maxHolderCandidates)
}

// RemainingPause returns how much longer no loan is asked for on behalf of the workspace.
func (p *Pools) RemainingPause(now time.Time, workspace string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedUntil[workspace].Sub(now)
}

// Pause asks for no loan on behalf of the workspace for the given time, at most MaxPause.
func (p *Pools) Pause(now time.Time, workspace string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil[workspace] = now.Add(min(wait, MaxPause))
}

// SendFunc sends a borrow to a holder and reports whether the holder replied.
type SendFunc func(holder fleet.Member, borrow fleet.Borrow) (fleet.BorrowReply, bool)

// Loan is the reply to a borrow, with the instance that replied.
type Loan struct {
	fleet.BorrowReply
	// Lender is the instance that lent the tokens. It is empty if this instance did.
	Lender fleet.Member
	// LentAt is when the tokens were asked for.
	LentAt time.Time
	// Answered is set if the holder of this zone replied, or is this instance. Without a
	// reply it is not known whether the pool has tokens.
	Answered bool
}

// Borrow asks for a loan of up to n tokens, first in this zone and then in the other zones
// of the region. From its own pool this instance takes one.
func (p *Pools) Borrow(now time.Time, workspace *catalog.Workspace, n int, send SendFunc) Loan {
	loan := p.borrowInZone(now, workspace, n, send)
	if loan.Granted {
		return loan
	}
	for _, zone := range p.otherZones() {
		candidates := p.holderCandidates(zone, workspace.Name)
		if len(candidates) == 0 {
			continue
		}
		if reply, ok := send(candidates[0], fleet.Borrow{Workspace: workspace.Name}); ok && reply.Granted {
			return newLoan(now, reply, candidates[0])
		}
	}
	return loan
}

// borrowInZone asks the candidates of this zone until one replies. If the next candidate
// is this instance, it uses its own pool. If no candidate replies, it uses its fallback
// share.
func (p *Pools) borrowInZone(now time.Time, workspace *catalog.Workspace, n int, send SendFunc) Loan {
	borrow := fleet.Borrow{Workspace: workspace.Name, Count: n}
	for _, holder := range p.holderCandidates(p.zone, workspace.Name) {
		if holder.Instance == p.self {
			return newLoan(now, p.lendFromPool(now, workspace, 1), fleet.Member{})
		}
		if reply, ok := send(holder, borrow); ok {
			return newLoan(now, reply, holder)
		}
		borrow.Unresponsive = append(borrow.Unresponsive, holder.Instance)
	}
	loan := newLoan(now, p.lendFromFallback(now, workspace, 1), fleet.Member{})
	loan.Answered = len(borrow.Unresponsive) == 0
	return loan
}

// Prefetch asks the holder of this zone for up to n tokens for later requests. It asks
// nobody if this instance is the holder.
func (p *Pools) Prefetch(now time.Time, workspace *catalog.Workspace, n int, send SendFunc) Loan {
	candidates := p.holderCandidates(p.zone, workspace.Name)
	if len(candidates) == 0 || candidates[0].Instance == p.self {
		return Loan{}
	}
	reply, ok := send(candidates[0], fleet.Borrow{Workspace: workspace.Name, Count: n})
	if !ok {
		return Loan{}
	}
	return newLoan(now, reply, candidates[0])
}

// newLoan returns the loan of a reply. Builds that lend one token at a time state no count.
func newLoan(askedAt time.Time, reply fleet.BorrowReply, lender fleet.Member) Loan {
	if reply.Granted && reply.Count == 0 {
		reply.Count = 1
	}
	return Loan{BorrowReply: reply, Lender: lender, LentAt: askedAt, Answered: true}
}

// RecordReply records that a holder replied.
func (p *Pools) RecordReply(holder string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failingSince, holder)
}

// RecordFailure records that a holder did not reply. It returns true if the holder has
// not replied for at least holderSilenceThreshold.
func (p *Pools) RecordFailure(now time.Time, holder string) bool {
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

// Lend replies to a borrow of another instance.
func (p *Pools) Lend(now time.Time, workspace *catalog.Workspace, borrow fleet.Borrow) fleet.BorrowReply {
	n := min(max(borrow.Count, 1), maxBatch)
	if len(borrow.Unresponsive) > 0 && !p.isHolder(workspace.Name) {
		return p.lendFromFallback(now, workspace, n)
	}
	return p.lendFromPool(now, workspace, n)
}

func (p *Pools) lendFromPool(now time.Time, workspace *catalog.Workspace, n int) fleet.BorrowReply {
	return p.lendFrom(now, p.pool, workspace, n)
}

func (p *Pools) lendFromFallback(now time.Time, workspace *catalog.Workspace, n int) fleet.BorrowReply {
	reply := p.lendFrom(now, p.fallback, workspace, n)
	reply.Token.Fallback = true
	return reply
}

// lendFrom takes up to n tokens from a share of the quotas.
func (p *Pools) lendFrom(now time.Time, quotas *allowance.Quotas, workspace *catalog.Workspace, n int) fleet.BorrowReply {
	admission, granted := quotas.AdmitUpTo(now, workspace, n)
	return fleet.BorrowReply{Granted: granted, Count: admission.Tokens, RetryAfterMillis: admission.RetryAfter.Milliseconds(),
		Token: fleet.Token{Incarnation: p.incarnation, Period: admission.Period}}
}

// TakeBack takes back tokens that this instance lent and that no request has spent. It
// returns their number: none if they are of another run or their period has left the window.
func (p *Pools) TakeBack(now time.Time, returned fleet.Return) int {
	token := returned.Token
	if token.Incarnation != p.incarnation || token.Period == 0 {
		return 0
	}
	if token.Fallback {
		return p.fallback.Return(now, returned.Workspace, token.Period, returned.Count)
	}
	return p.pool.Return(now, returned.Workspace, token.Period, returned.Count)
}
