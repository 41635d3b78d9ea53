package edge

import (
	"cmp"
	"context"
	"maps"
	"slices"
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
	// holderSilentAfter is how long a holder may answer no borrow before another one
	// takes its place. Single answers that come late must not divide a pool.
	holderSilentAfter = 250 * time.Millisecond
	// failureMemory is how long a borrow without an answer counts.
	failureMemory = 2 * time.Second
	// maxBorrowPause bounds the time in which a workspace that got no loan is not
	// asked for again.
	maxBorrowPause = 250 * time.Millisecond
)

// maxHolders bounds the holders that are asked for one request.
const maxHolders = 2

// lending is an instance's access to the pools of its zone. Each workspace's pool
// lies with one of the zone's instances, by rendezvous hashing; when that one does
// not answer, the next one is asked, which takes its place when it gets no answer
// either. When the pool is empty, those of the region's other zones are asked. An
// instance that hears nobody has its even part of the pools. It is safe for
// concurrent use.
type lending struct {
	// pool holds what this instance lends as a holder, spare what it has while it
	// hears nobody: by then the others count it as silent.
	pool  *allowance.Quotas
	spare *allowance.Quotas
	// self and zone name this instance.
	self, zone string
	// holders are the instances of the region, by zone.
	holders atomic.Pointer[map[string][]fleet.Member]
	mu      sync.Mutex
	// pauses are the times until which a workspace's pool is not asked.
	pauses map[string]time.Time
	// failing is when a holder first did not answer since its last answer.
	failing map[string]time.Time
}

func newLending(self, zone string, window time.Duration) *lending {
	l := &lending{
		self:    self,
		zone:    zone,
		pool:    allowance.NewQuotas(window),
		spare:   allowance.NewQuotas(window),
		pauses:  make(map[string]time.Time),
		failing: make(map[string]time.Time),
	}
	l.setHolders(nil)
	return l
}

func (l *lending) setWindow(window time.Duration) {
	l.pool.SetWindow(window)
	l.spare.SetWindow(window)
}

// pausedAfter is the time between two ticks after which this process was paused: its
// places may have been taken.
const pausedAfter = tickInterval + 2*holderSilentAfter

// tick ends a period of the quotas' windows and forgets what is over.
func (l *lending) tick(now time.Time, elapsed time.Duration) {
	if elapsed > pausedAfter {
		l.pool.DiscardTokens(now)
		l.spare.DiscardTokens(now)
	}
	l.pool.Tick(elapsed)
	l.spare.Tick(elapsed)
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.pauses, func(_ string, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(l.failing, func(_ string, since time.Time) bool { return now.Sub(since) > failureMemory })
}

// parts are the parts of the zone's quotas that an instance has as a holder, and when
// no holder answers. Without entitled it has none: nobody knows of it yet, so that the
// others hold the whole.
type parts struct {
	pool, spare float64
	entitled    bool
}

// divide sets this instance's parts of the quotas.
func (l *lending) divide(now time.Time, c *catalog.Catalog, division allowance.Division, of parts) {
	division.Fraction = of.spare
	division.IsHolder = func(string) bool { return of.entitled && l.alone() }
	l.spare.Divide(now, c, division)
	division.Fraction = of.pool
	division.IsHolder = func(workspace string) bool { return of.entitled && l.holds(workspace) }
	l.pool.Divide(now, c, division)
}

// holds reports whether this instance has the workspace's pool of its zone.
func (l *lending) holds(workspace string) bool {
	order := l.order(l.zone, workspace)
	return len(order) > 0 && order[0].Instance == l.self
}

// members returns the instances of the zone among those named.
func (l *lending) members(instances []string) []fleet.Member {
	var named []fleet.Member
	for _, member := range (*l.holders.Load())[l.zone] {
		if slices.Contains(instances, member.Instance) {
			named = append(named, member)
		}
	}
	return named
}

func (l *lending) setHolders(holders map[string][]fleet.Member) { l.holders.Store(&holders) }

// alone reports whether this instance hears no other one, though some are known.
func (l *lending) alone() bool {
	return len(*l.holders.Load()) == 0
}

// siblings returns the other zones of the region with their members.
func (l *lending) siblings() []string {
	var zones []string
	for zone := range *l.holders.Load() {
		if zone != l.zone {
			zones = append(zones, zone)
		}
	}
	return zones
}

// order returns the instances that are asked for a workspace's pool of a zone, its
// holder first.
func (l *lending) order(zone, workspace string) []fleet.Member {
	var order []fleet.Member
	var ranks []uint64
	for _, member := range (*l.holders.Load())[zone] {
		rank := xxhash.Sum64String(member.Instance + "\x00" + workspace)
		place, _ := slices.BinarySearchFunc(ranks, rank, func(a, b uint64) int { return cmp.Compare(b, a) })
		if place == maxHolders {
			continue
		}
		order = slices.Insert(order, place, member)
		ranks = slices.Insert(ranks, place, rank)
		order, ranks = order[:min(len(order), maxHolders)], ranks[:min(len(ranks), maxHolders)]
	}
	return order
}

// paused returns how long the workspace's pool is not asked.
func (l *lending) paused(now time.Time, workspace string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pauses[workspace].Sub(now)
}

func (l *lending) pause(now time.Time, workspace string, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauses[workspace] = now.Add(min(wait, maxBorrowPause))
}

// admit takes a request from the zone's pool of the workspace. Without one it
// returns when to come back.
func (e *Edge) admit(ctx context.Context, q *request) (time.Duration, bool) {
	if q.workspace == nil {
		return 0, true
	}
	e.arrivals.Count(q.workspace.Name)
	if q.workspace.Rate <= 0 {
		return 0, true
	}
	now := time.Now()
	if left := e.lending.paused(now, q.workspace.Name); left > 0 {
		return left, false
	}
	loan := e.lending.borrow(now, q.workspace, func(holder fleet.Member, ask fleet.Borrow) (fleet.BorrowReply, bool) {
		return e.ask(ctx, holder, ask)
	})
	wait := time.Duration(loan.RetryAfterMillis) * time.Millisecond
	if !loan.Granted {
		e.lending.pause(now, q.workspace.Name, wait)
		return wait, false
	}
	e.counters.loans.Inc(1)
	return 0, true
}

// asking sends a borrow to a holder and reports whether it answered.
type asking func(holder fleet.Member, ask fleet.Borrow) (fleet.BorrowReply, bool)

// borrow asks for a loan of one request: the zone's holder, then those of the
// region's other zones.
func (l *lending) borrow(now time.Time, workspace *catalog.Workspace, ask asking) fleet.BorrowReply {
	loan := l.borrowAtHome(now, workspace, ask)
	if loan.Granted {
		return loan
	}
	for _, zone := range l.siblings() {
		order := l.order(zone, workspace.Name)
		if len(order) == 0 {
			continue
		}
		if other, answered := ask(order[0], fleet.Borrow{Workspace: workspace.Name}); answered && other.Granted {
			return other
		}
	}
	return loan
}

// borrowAtHome asks the zone's holders.
func (l *lending) borrowAtHome(now time.Time, workspace *catalog.Workspace, ask asking) fleet.BorrowReply {
	borrow := fleet.Borrow{Workspace: workspace.Name}
	for _, holder := range l.order(l.zone, workspace.Name) {
		if holder.Instance == l.self {
			return grant(now, l.pool, workspace)
		}
		if loan, answered := ask(holder, borrow); answered {
			return loan
		}
		borrow.Unresponsive = append(borrow.Unresponsive, holder.Instance)
	}
	return grant(now, l.spare, workspace)
}

// ask asks a holder, which is passed over for a while if it goes on not answering.
func (e *Edge) ask(ctx context.Context, holder fleet.Member, ask fleet.Borrow) (fleet.BorrowReply, bool) {
	calling, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var loan fleet.BorrowReply
	err := e.peers.Client(holder.Link).Call(calling, fleet.TypeBorrow, ask, &loan)
	if err == nil {
		e.lending.answered(holder.Instance)
		return loan, true
	}
	if ctx.Err() != nil {
		return fleet.BorrowReply{}, false
	}
	e.counters.talkFailures.Inc(1)
	silent := e.lending.failed(time.Now(), holder.Instance)
	e.log.Info().Err(err).Str("peer", holder.Instance).Str("workspace", ask.Workspace).Bool("silent", silent).Msg("pool did not answer")
	if silent {
		e.loop.TryPost(func() { e.state.silent(time.Now(), holder.Instance) })
	}
	return fleet.BorrowReply{}, false
}

// answered notes that a holder lives.
func (l *lending) answered(holder string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.failing, holder)
}

// failed notes that a holder did not answer, and reports whether that lasts.
func (l *lending) failed(now time.Time, holder string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, found := l.failing[holder]
	if !found || now.Sub(since) > failureMemory {
		l.failing[holder] = now
		return false
	}
	if now.Sub(since) < holderSilentAfter {
		return false
	}
	delete(l.failing, holder)
	return true
}

// silent passes over an instance that did not answer, and takes its place where it
// held a pool and this one is next.
func (s *state) silent(now time.Time, instance string) {
	s.fleet.RecordFailure(now, instance)
	s.divide(now)
}

// lend answers a borrow of another instance.
func (l *lending) lend(now time.Time, workspace *catalog.Workspace, borrow fleet.Borrow) fleet.BorrowReply {
	if len(borrow.Unresponsive) > 0 && !l.holds(workspace.Name) {
		return grant(now, l.spare, workspace)
	}
	return grant(now, l.pool, workspace)
}

// grant takes a request from a part of the quotas.
func grant(now time.Time, quotas *allowance.Quotas, workspace *catalog.Workspace) fleet.BorrowReply {
	wait, granted := quotas.Admit(now, workspace)
	return fleet.BorrowReply{Granted: granted, RetryAfterMillis: wait.Milliseconds()}
}

// lend answers an instance of the zone.
func (e *Edge) lend(ctx context.Context, request wire.Envelope) (any, error) {
	var borrow fleet.Borrow
	if err := request.Decode(&borrow); err != nil {
		return nil, err
	}
	for _, holder := range e.lending.members(borrow.Unresponsive) {
		// It takes the place of a holder that does not answer itself either; until then
		// it lends from its even part.
		go e.ask(context.WithoutCancel(ctx), holder, fleet.Borrow{})
	}
	c := e.catalog.Load()
	if c == nil || c.Workspaces[borrow.Workspace] == nil {
		return fleet.BorrowReply{RetryAfterMillis: maxBorrowPause.Milliseconds()}, nil
	}
	return e.lending.lend(time.Now(), c.Workspaces[borrow.Workspace], borrow), nil
}
