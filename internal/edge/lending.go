package edge

import (
	"cmp"
	"context"
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
	// maxBorrowPause bounds the time in which a workspace that got no loan is not
	// asked for again.
	maxBorrowPause = 250 * time.Millisecond
)

// maxHolders bounds the holders that are asked for one request.
const maxHolders = 2

// lending is an instance's access to the pools of its zone. Each workspace's pool
// lies with one of the zone's instances, by rendezvous hashing; when that one does
// not answer, the next one is asked and takes its place. When the pool is empty,
// those of the region's other zones are asked. An instance that reaches no holder
// of its zone has its even part of the pools. It is safe for concurrent use.
type lending struct {
	// pool holds what this instance lends as a holder, spare what it has when no
	// holder answers.
	pool  *allowance.Quotas
	spare *allowance.Quotas
	zone  string
	// holders are the instances of the region, by zone.
	holders atomic.Pointer[map[string][]fleet.Member]
	mu      sync.Mutex
	// pauses are the times until which a workspace's pool is not asked.
	pauses map[string]time.Time
}

func newLending(zone string, window time.Duration) *lending {
	return &lending{
		zone:   zone,
		pool:   allowance.NewQuotas(window),
		spare:  allowance.NewQuotas(window),
		pauses: make(map[string]time.Time),
	}
}

func (l *lending) setWindow(window time.Duration) {
	l.pool.SetWindow(window)
	l.spare.SetWindow(window)
}

func (l *lending) tick(elapsed time.Duration) {
	l.pool.Tick(elapsed)
	l.spare.Tick(elapsed)
}

// divide sets the parts of the zone, and of this one among its instances.
func (l *lending) divide(now time.Time, c *catalog.Catalog, division allowance.Division, self string, instances int) {
	spare := division
	spare.Fraction = 1 / float64(instances)
	l.spare.Divide(now, c, spare)
	division.Holds = func(workspace string) bool {
		order := l.order(l.zone, workspace)
		return len(order) > 0 && order[0].Instance == self
	}
	l.pool.Divide(now, c, division)
}

func (l *lending) setHolders(holders map[string][]fleet.Member) { l.holders.Store(&holders) }

// siblings returns the other zones of the region with their members.
func (l *lending) siblings() []string {
	holders := l.holders.Load()
	if holders == nil {
		return nil
	}
	var zones []string
	for zone := range *holders {
		if zone != l.zone {
			zones = append(zones, zone)
		}
	}
	return zones
}

// order returns the instances that are asked for a workspace's pool of a zone, its
// holder first.
func (l *lending) order(zone, workspace string) []fleet.Member {
	holders := l.holders.Load()
	if holders == nil {
		return nil
	}
	var order []fleet.Member
	var ranks []uint64
	for _, member := range (*holders)[zone] {
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
	loan := e.borrow(ctx, q.workspace)
	wait := time.Duration(loan.WaitMillis) * time.Millisecond
	if !loan.Granted {
		e.lending.pause(now, q.workspace.Name, wait)
		return wait, false
	}
	e.counters.loans.Inc(1)
	return 0, true
}

// borrow asks for a loan of one request: the zone's holder, then those of the
// region's other zones.
func (e *Edge) borrow(ctx context.Context, workspace *catalog.Workspace) fleet.Loan {
	loan := e.borrowAtHome(ctx, workspace)
	if loan.Granted {
		return loan
	}
	ask := fleet.Borrow{Workspace: workspace.Name}
	for _, zone := range e.lending.siblings() {
		order := e.lending.order(zone, workspace.Name)
		if len(order) == 0 {
			continue
		}
		if other, answered := e.ask(ctx, order[0], ask); answered && other.Granted {
			return other
		}
	}
	return loan
}

// borrowAtHome asks the zone's holders.
func (e *Edge) borrowAtHome(ctx context.Context, workspace *catalog.Workspace) fleet.Loan {
	ask := fleet.Borrow{Workspace: workspace.Name}
	for _, holder := range e.lending.order(e.lending.zone, workspace.Name) {
		if holder.Instance == e.settings.Instance {
			return grant(e.lending.pool, workspace)
		}
		if loan, answered := e.ask(ctx, holder, ask); answered {
			return loan
		}
		ask.Silent = append(ask.Silent, holder.Instance)
	}
	return grant(e.lending.spare, workspace)
}

// ask asks a holder, which is passed over for a while if it does not answer.
func (e *Edge) ask(ctx context.Context, holder fleet.Member, ask fleet.Borrow) (fleet.Loan, bool) {
	calling, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var loan fleet.Loan
	err := e.peers.Client(holder.Link).Call(calling, fleet.TypeBorrow, ask, &loan)
	if err == nil {
		return loan, true
	}
	if ctx.Err() == nil {
		e.counters.talkFailures.Inc(1)
		e.log.Info().Err(err).Str("peer", holder.Instance).Str("workspace", ask.Workspace).Msg("pool did not answer")
		e.loop.TryPost(func() { e.state.silent(time.Now(), holder.Instance) })
	}
	return fleet.Loan{}, false
}

// silent passes over instances that did not answer, and takes the place of those
// that held pools.
func (s *state) silent(now time.Time, instances ...string) {
	for _, instance := range instances {
		s.fleet.Failed(now, instance)
	}
	s.divide(now)
}

// grant takes a request from a part of the quotas.
func grant(quotas *allowance.Quotas, workspace *catalog.Workspace) fleet.Loan {
	wait, granted := quotas.Admit(time.Now(), workspace)
	return fleet.Loan{Granted: granted, WaitMillis: wait.Milliseconds()}
}

// lend answers an instance of the zone.
func (e *Edge) lend(_ context.Context, request wire.Envelope) (any, error) {
	var borrow fleet.Borrow
	if err := request.Decode(&borrow); err != nil {
		return nil, err
	}
	if len(borrow.Silent) > 0 {
		e.loop.TryPost(func() { e.state.silent(time.Now(), borrow.Silent...) })
	}
	c := e.catalog.Load()
	if c == nil || c.Workspaces[borrow.Workspace] == nil {
		return fleet.Loan{WaitMillis: maxBorrowPause.Milliseconds()}, nil
	}
	return grant(e.lending.pool, c.Workspaces[borrow.Workspace]), nil
}
