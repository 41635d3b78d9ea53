// Package allowance bounds what all instances together do with what each of
// them knows: requests of a workspace, and tries beyond a request's first.
//
// Quotas divides a workspace's rate and burst among its holders: some evenly, so
// that each always has a little, and the rest by the demand that they tell each
// other. The parts add up to the whole when all know the same. The holders are
// pools, one a zone: shares of single instances would be too small for requests
// that come unevenly. RetryBudget lets an upstream's further tries grow with the
// first ones that this instance sends.
//
// How it fails: a holder that has never heard some others takes no more than an even
// part, one that hears them no longer no more than it had before. A part that shrinks
// here and grows there is exceeded by at most one exchange of heartbeats.
package allowance

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lovagescale/internal/catalog"
)

// evenPart is the part of a quota that is divided evenly.
const evenPart = 0.05

// chanceFactor weighs the demand that holders may see beside the measured one. The
// chance of single requests grows with the root of their number, so that it
// matters for small demands spread over many holders.
const chanceFactor = 0.6

// demandFloor is the demand, in requests per second, that the holders count with
// together, so that a first request finds a share.
const demandFloor = 0.2

// Depth of the buckets of holders with a small part of the burst, in requests: they
// would refuse requests that come unevenly. What a window may hold is counted
// apart.
const (
	minDepth = 5
	// extraDepth bounds what the buckets of all holders are deeper together.
	extraDepth = 16
)

// maxWait bounds what a refused caller is told to wait.
const maxWait = 2 * time.Second

// Quotas holds this instance's parts of the workspaces' quotas. It is safe for
// concurrent use.
type Quotas struct {
	window     time.Duration
	mu         sync.Mutex
	workspaces map[string]*part
}

// part is this instance's part of one workspace's quota.
type part struct {
	limiter *rate.Limiter
	// recent are the requests admitted in the last periods, of which window is the
	// sum; most is what a window may hold.
	recent []period
	window int
	most   float64
	// share is the part of the quota that this holder has.
	share float64
	// informed are the shares of the last time in which all holders were heard.
	informed informedShares
	// lostAt is when another holder took this one's place; zero while it holds.
	lostAt time.Time
	// aboveSince is when the demand on all holders last rose above the rate, or this
	// one took its place; zero while it is not.
	aboveSince time.Time
}

// NewQuotas returns quotas without workspaces. A workspace may send its burst
// beside its rate in each window.
func NewQuotas(window time.Duration) *Quotas {
	return &Quotas{window: window, workspaces: make(map[string]*part)}
}

// SetWindow changes the window.
func (q *Quotas) SetWindow(window time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window = window
}

// Admit takes a token of the workspace. Without one it returns false and when to
// come back.
func (q *Quotas) Admit(now time.Time, workspace *catalog.Workspace) (time.Duration, bool) {
	if workspace == nil || workspace.Rate <= 0 {
		return 0, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.part(now, workspace.Name)
	if float64(p.window+1) <= p.most && p.limiter.AllowN(now, 1) {
		p.window++
		p.recent[len(p.recent)-1].admitted++
		return 0, true
	}
	missing := 1 - p.limiter.TokensAt(now)
	wait := time.Duration(missing / math.Max(float64(p.limiter.Limit()), 1) * float64(time.Second))
	return min(wait, maxWait), false
}

// Shares returns the parts of the workspaces' quotas that this holder has.
func (q *Quotas) Shares() map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	shares := make(map[string]float64)
	for name, p := range q.workspaces {
		if p.share > 0 {
			shares[name] = p.share
		}
	}
	return shares
}

// part returns the part of a workspace, which starts empty and uninformed.
func (q *Quotas) part(now time.Time, workspace string) *part {
	p, found := q.workspaces[workspace]
	if !found {
		p = &part{limiter: rate.NewLimiter(0, 0), recent: make([]period, 1)}
		p.limiter.SetLimitAt(now, 0)
		q.workspaces[workspace] = p
	}
	return p
}

// Tick ends a period of the windows.
func (q *Quotas) Tick(elapsed time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range q.workspaces {
		p.roll(elapsed, q.window)
	}
}

// Forfeit takes away what has gathered in this holder's parts.
func (q *Quotas) Forfeit(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range q.workspaces {
		if gathered := int(p.limiter.TokensAt(now)); gathered > 0 {
			p.limiter.AllowN(now, gathered)
		}
	}
}

// period is the requests admitted in a part of a window.
type period struct {
	admitted int
	length   time.Duration
}

// minPeriod is the shortest period: it bounds those that a window is divided into.
const minPeriod = 50 * time.Millisecond

// roll ends a period of a length, of which one may be long after a pause of the whole
// process, and drops those that have left the window.
func (p *part) roll(elapsed, window time.Duration) {
	last := &p.recent[len(p.recent)-1]
	last.length += elapsed
	if last.length < minPeriod {
		return
	}
	covered := time.Duration(0)
	for _, period := range p.recent {
		covered += period.length
	}
	for len(p.recent) > 1 && covered-p.recent[0].length >= window {
		covered -= p.recent[0].length
		p.window -= p.recent[0].admitted
		p.recent = p.recent[1:]
	}
	p.recent = append(p.recent, period{})
}

// Demands is the demand on one holder and on all others, in requests per second.
type Demands struct{ Own, Others float64 }

// Division is what a quota is divided by.
type Division struct {
	// Demand returns the demand of a workspace.
	Demand func(workspace string) Demands
	// Holders is the number of holders, this one included.
	Holders int
	// Blind says that the demand on some holders has never been heard, Stale that it
	// has not been heard lately: it may be more by now.
	Blind, Stale bool
	// Fraction is the part of this holder's share that is meant; 0 is all of it.
	Fraction float64
	// Holds reports whether this is the workspace's holder now; nil is always. One
	// that is not lends what it has left and gets nothing new, so that a pool that
	// goes to and fro does not grow.
	Holds func(workspace string) bool
	// Reserve is the part of the quotas that is kept back: shares that move count
	// twice until all holders have heard of it.
	Reserve float64
}

// Divide sets this holder's parts.
func (q *Quotas) Divide(now time.Time, c *catalog.Catalog, by Division) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name := range q.workspaces {
		if _, known := c.Workspaces[name]; !known {
			delete(q.workspaces, name)
		}
	}
	for name, workspace := range c.Workspaces {
		p := q.part(now, name)
		d := by.Demand(name)
		share := p.shareNow(now, d, by)
		limit := workspace.Rate
		holds := by.Holds == nil || by.Holds(name)
		if p.above(now, workspace.Rate, d, holds) >= q.window {
			limit = Sustained(limit, workspace.Burst, q.window)
		}
		p.most = (workspace.Rate*q.window.Seconds() + workspace.Burst) * share
		depth := p.depth(workspace.Burst*share, by.Holders)
		p.share = share
		if !holds {
			limit, p.share = 0, 0
		}
		if p.lost(now, holds) >= handOverTime {
			depth = 0
		}
		p.limiter.SetLimitAt(now, rate.Limit(limit*share))
		p.limiter.SetBurstAt(now, depth)
	}
}

// shareNow returns the holder's part of the workspace's quota.
func (p *part) shareNow(now time.Time, d Demands, by Division) float64 {
	share := ShareOf(d.Own, d.Others, by.Holders)
	if by.Blind {
		share = min(share, 1/float64(max(by.Holders, 1)))
	}
	if by.Stale {
		share = min(share, p.informed.before())
	} else {
		p.informed.add(now, share)
	}
	if by.Fraction > 0 {
		share *= by.Fraction
	}
	return (1 - by.Reserve) * share
}

// handOverTime is how long a holder that lost its place lends what it has left, while
// others hear of it.
const handOverTime = time.Second

// lost returns how long ago this holder lost its place, 0 while it holds.
func (p *part) lost(now time.Time, holds bool) time.Duration {
	if holds {
		p.lostAt = time.Time{}
		return 0
	}
	if p.lostAt.IsZero() {
		p.lostAt = now
	}
	return now.Sub(p.lostAt)
}

// depth returns the depth of the bucket for a part of the burst.
func (p *part) depth(burst float64, holders int) int {
	small := math.Ceil(burst + extraDepth/float64(max(holders, 1)))
	return max(int(burst), min(minDepth, int(small), int(p.most)))
}

// informedAge is how long it takes until a holder that is heard no longer counts as
// silent: its demand may have risen as long unheard.
const informedAge = 4 * time.Second

// informedShares are a holder's shares of the last informedAge, the oldest first.
type informedShares []informedShare

type informedShare struct {
	at    time.Time
	share float64
}

// add notes the share of now.
func (s *informedShares) add(now time.Time, share float64) {
	*s = append(*s, informedShare{now, share})
	for len(*s) > 1 && now.Sub((*s)[1].at) >= informedAge {
		*s = (*s)[1:]
	}
}

// before returns the share from before the silence, the whole quota without one.
func (s informedShares) before() float64 {
	if len(s) == 0 {
		return 1
	}
	return s[0].share
}

// above returns how long the demand on all holders has been above the rate while
// this one held the quota.
func (p *part) above(now time.Time, rate float64, d Demands, holds bool) time.Duration {
	if !holds || d.Own+d.Others <= rate {
		p.aboveSince = time.Time{}
		return 0
	}
	if p.aboveSince.IsZero() {
		p.aboveSince = now
	}
	return now.Sub(p.aboveSince)
}

// Sustained returns the rate of a workspace that has been above its rate for a
// whole window. Its burst is spent by then and comes again in each window, so it
// is spread over the window. The depth of the buckets stays, since shallow ones
// lose tokens wherever requests come unevenly; what a window may hold is counted
// apart.
func Sustained(limit, burst float64, window time.Duration) float64 {
	return limit + burst/window.Seconds()
}

// ShareOf returns a holder's share of a quota, given its own demand, that of the
// others and the number of holders. The shares of all add up to 1.
func ShareOf(own, others float64, holders int) float64 {
	n := float64(max(holders, 1))
	total := own + others
	chance := chanceFactor*math.Sqrt(n*total) + demandFloor
	return evenPart/n + (1-evenPart)*(own+chance/n)/(total+chance)
}
