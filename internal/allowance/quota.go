// Package allowance limits what all instances together admit by what each of them knows:
// the requests of a workspace, and the retries of requests at an upstream.
//
// Quotas divides the rate and the burst of a workspace among its holders. A small part is
// divided evenly, so that each holder always has a share, and the rest by the demand that
// the holders report to each other. The shares add up to the whole quota if all holders
// know the same demand. There is one holder per zone, which keeps a pool for the
// instances of the zone: shares of single instances would be too small for requests that
// arrive unevenly. RetryBudget lets the retries at an upstream grow with the first
// attempts that this instance sends.
//
// Failure modes: a holder that has never received the demand on some others takes at most
// an even share. A holder that does not receive it any more takes at most the share that
// it had before. While a share shrinks at one holder and grows at another, the quota may
// be exceeded for at most one exchange of reports.
package allowance

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lovagescale/internal/catalog"
)

// evenFraction is the fraction of a quota that is divided evenly.
const evenFraction = 0.05

// fluctuationFactor is the weight of the demand that may arrive at a holder in addition
// to the measured one. Random fluctuations grow with the square root of the number of
// requests, so they matter for small demand that is spread over many holders.
const fluctuationFactor = 0.6

// demandFloor is the demand, in requests per second, that all holders together assume in
// addition to the measured one, so that a first request finds a share.
const demandFloor = 0.2

// Depth of the token buckets of holders with a small share of the burst, in requests.
// Buckets as shallow as that share would refuse requests that arrive unevenly. The limit
// of a window is enforced separately.
const (
	minBucketDepth = 5
	// extraBucketDepth limits by how much the buckets of all holders together are deeper
	// than the burst.
	extraBucketDepth = 16
)

// minRetryAfter and maxRetryAfter bound the wait that is returned for a refused request.
// The bucket may hold tokens when the window is what limits.
const (
	minRetryAfter = minPeriod
	maxRetryAfter = 2 * time.Second
)

// Quotas holds this instance's shares of the workspaces' quotas. It is safe for
// concurrent use.
type Quotas struct {
	window     time.Duration
	mu         sync.Mutex
	workspaces map[string]*workspaceQuota
	// lastPeriod is the number of the period that was begun last, of any workspace.
	lastPeriod uint64
}

// Admission is the result of asking for tokens.
type Admission struct {
	// Tokens is the number of tokens taken.
	Tokens int
	// Period identifies the period in which they were taken, see Quotas.Return.
	Period uint64
	// RetryAfter is the time after which to ask again if none was left.
	RetryAfter time.Duration
}

// workspaceQuota is this instance's share of the quota of one workspace.
type workspaceQuota struct {
	limiter *rate.Limiter
	// periods are the requests admitted in the last periods, the oldest first.
	// admittedInWindow is their sum, windowLimit the limit of it.
	periods          []period
	admittedInWindow int
	windowLimit      float64
	// share is the fraction of the quota that this holder has.
	share float64
	// freshShares are the recent shares computed while reports of all holders arrived.
	freshShares shareHistory
	// replacedAt is the time at which another holder replaced this one, or zero while
	// this one is the holder.
	replacedAt time.Time
	// overRateSince is the time since which the demand on all holders has been above the
	// rate while this one was the holder, or zero if it is not above it now.
	overRateSince time.Time
}

// NewQuotas returns quotas without workspaces. In each window a workspace may send its
// burst in addition to its rate.
func NewQuotas(window time.Duration) *Quotas {
	return &Quotas{window: window, workspaces: make(map[string]*workspaceQuota)}
}

// SetWindow changes the length of the window.
func (q *Quotas) SetWindow(window time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window = window
}

// Admit takes a token for a request of the workspace. It returns false if there is none.
func (q *Quotas) Admit(now time.Time, workspace *catalog.Workspace) (Admission, bool) {
	return q.AdmitUpTo(now, workspace, 1)
}

// maxBatchFraction is the fraction of the tokens left that one borrower gets beyond its
// first one, so that the others find some too.
const maxBatchFraction = 0.25

// AdmitUpTo takes up to n tokens for requests of the workspace. It returns false if there
// is none.
func (q *Quotas) AdmitUpTo(now time.Time, workspace *catalog.Workspace, n int) (Admission, bool) {
	if workspace == nil || workspace.Rate <= 0 {
		return Admission{Tokens: n}, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	quota := q.workspaceQuota(now, workspace.Name)
	current := &quota.periods[len(quota.periods)-1]
	n = max(min(n, int(maxBatchFraction*quota.limiter.TokensAt(now))), 1)
	taken := 0
	for taken < n && float64(quota.admittedInWindow+1) <= quota.windowLimit && quota.limiter.AllowN(now, 1) {
		quota.admittedInWindow++
		current.admitted++
		taken++
	}
	if taken > 0 {
		return Admission{Tokens: taken, Period: current.number}, true
	}
	missing := 1 - quota.limiter.TokensAt(now)
	wait := time.Duration(missing / math.Max(float64(quota.limiter.Limit()), 1) * float64(time.Second))
	return Admission{RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}, false
}

// Shares returns this holder's shares of the workspaces' quotas.
func (q *Quotas) Shares() map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	shares := make(map[string]float64)
	for name, quota := range q.workspaces {
		if quota.share > 0 {
			shares[name] = quota.share
		}
	}
	return shares
}

// workspaceQuota returns the quota of a workspace. A new one starts without tokens and
// without a share.
func (q *Quotas) workspaceQuota(now time.Time, workspace string) *workspaceQuota {
	quota, found := q.workspaces[workspace]
	if !found {
		quota = &workspaceQuota{limiter: rate.NewLimiter(0, 0), periods: []period{q.newPeriod()}}
		quota.limiter.SetLimitAt(now, 0)
		q.workspaces[workspace] = quota
	}
	return quota
}

// Tick ends a period of the windows.
func (q *Quotas) Tick(elapsed time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, quota := range q.workspaces {
		if quota.advanceWindow(elapsed, q.window) {
			quota.periods = append(quota.periods, q.newPeriod())
		}
	}
}

// DiscardTokens drops the tokens that have accumulated in this holder's buckets.
func (q *Quotas) DiscardTokens(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, quota := range q.workspaces {
		if tokens := int(quota.limiter.TokensAt(now)); tokens > 0 {
			quota.limiter.AllowN(now, tokens)
		}
	}
}

// Demands is the demand on one holder and on all others, in requests per second.
type Demands struct{ Own, Others float64 }

// Division holds what the shares of the quotas are computed from.
type Division struct {
	// Demand returns the demand of a workspace.
	Demand func(workspace string) Demands
	// Holders is the number of holders, including this one.
	Holders int
	// Incomplete is set if the demand on some holders was never received, Stale if it was
	// not received lately. It may have risen in the meantime.
	Incomplete, Stale bool
	// Fraction returns the fraction of the holder's share that this instance may use; nil
	// means all of it.
	Fraction func(workspace string) float64
	// IsHolder reports whether this instance is the workspace's holder now; nil means
	// always. An instance that is not the holder any more admits requests with the tokens
	// it has left but gets no new ones, so that a pool that moves back and forth does not
	// grow.
	IsHolder func(workspace string) bool
	// Reserve is the fraction of the quotas that is kept back: a share that moves counts
	// at two holders until all of them know of the move.
	Reserve float64
}

// Divide sets this holder's shares of the quotas.
func (q *Quotas) Divide(now time.Time, c *catalog.Catalog, division Division) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name := range q.workspaces {
		if _, known := c.Workspaces[name]; !known {
			delete(q.workspaces, name)
		}
	}
	for name, workspace := range c.Workspaces {
		quota := q.workspaceQuota(now, name)
		demands := division.Demand(name)
		share := quota.currentShare(now, demands, division)
		if division.Fraction != nil {
			share *= division.Fraction(name)
		}
		rateLimit := workspace.Rate
		isHolder := division.IsHolder == nil || division.IsHolder(name)
		if quota.timeOverRate(now, workspace.Rate, demands, isHolder) >= q.window {
			rateLimit = SustainedRate(rateLimit, workspace.Burst, q.window)
		}
		quota.windowLimit = (workspace.Rate*q.window.Seconds() + workspace.Burst) * share
		depth := quota.bucketDepth(workspace.Burst*share, division.Holders)
		quota.share = share
		if !isHolder {
			rateLimit, quota.share = 0, 0
		}
		if quota.timeSinceReplaced(now, isHolder) >= handoverTime {
			depth = 0
		}
		quota.limiter.SetLimitAt(now, rate.Limit(rateLimit*share))
		quota.limiter.SetBurstAt(now, depth)
	}
}

// currentShare returns the holder's share of the workspace's quota.
func (w *workspaceQuota) currentShare(now time.Time, demands Demands, division Division) float64 {
	share := HolderShare(demands.Own, demands.Others, division.Holders)
	if division.Incomplete {
		share = min(share, 1/float64(max(division.Holders, 1)))
	}
	if division.Stale {
		share = min(share, w.freshShares.beforeSilence())
	} else {
		w.freshShares.add(now, share)
	}
	return (1 - division.Reserve) * share
}

// handoverTime is how long a replaced holder uses up the tokens that it has left, until
// others know of the new holder.
const handoverTime = time.Second

// timeSinceReplaced returns how long ago another holder replaced this one, or 0 while
// this one is the holder.
func (w *workspaceQuota) timeSinceReplaced(now time.Time, isHolder bool) time.Duration {
	if isHolder {
		w.replacedAt = time.Time{}
		return 0
	}
	if w.replacedAt.IsZero() {
		w.replacedAt = now
	}
	return now.Sub(w.replacedAt)
}

// bucketDepth returns the depth of the token bucket for a share of the burst.
func (w *workspaceQuota) bucketDepth(burst float64, holders int) int {
	raised := math.Ceil(burst + extraBucketDepth/float64(max(holders, 1)))
	return max(int(burst), min(minBucketDepth, int(raised), int(w.windowLimit)))
}

// silenceDetectionTime is how long it takes until a holder that stopped reporting counts
// as silent. In that time its demand may rise without being reported.
const silenceDetectionTime = 4 * time.Second

// shareHistory is a holder's shares of the last silenceDetectionTime, the oldest first.
type shareHistory []timedShare

type timedShare struct {
	at    time.Time
	share float64
}

// add adds the present share.
func (h *shareHistory) add(now time.Time, share float64) {
	*h = append(*h, timedShare{now, share})
	for len(*h) > 1 && now.Sub((*h)[1].at) >= silenceDetectionTime {
		*h = (*h)[1:]
	}
}

// beforeSilence returns the share from before the silence, or the whole quota if there is
// none.
func (h shareHistory) beforeSilence() float64 {
	if len(h) == 0 {
		return 1
	}
	return h[0].share
}

// timeOverRate returns how long the demand on all holders has been above the rate while
// this one was the holder.
func (w *workspaceQuota) timeOverRate(now time.Time, rate float64, demands Demands, isHolder bool) time.Duration {
	if !isHolder || demands.Own+demands.Others <= rate {
		w.overRateSince = time.Time{}
		return 0
	}
	if w.overRateSince.IsZero() {
		w.overRateSince = now
	}
	return now.Sub(w.overRateSince)
}

// SustainedRate returns the rate of a workspace whose demand has been above its rate for
// a whole window. Its burst is used up by then and is granted again in each window, so it
// is spread over the window. The depth of the buckets stays, because shallow buckets lose
// tokens where requests arrive unevenly. The limit of a window is enforced separately.
func SustainedRate(limit, burst float64, window time.Duration) float64 {
	return limit + burst/window.Seconds()
}

// HolderShare returns a holder's share of a quota, given the demand on this holder, the
// demand on all others and the number of holders. The shares of all holders add up to 1.
func HolderShare(own, others float64, holders int) float64 {
	n := float64(max(holders, 1))
	total := own + others
	fluctuation := fluctuationFactor*math.Sqrt(n*total) + demandFloor
	return evenFraction/n + (1-evenFraction)*(own+fluctuation/n)/(total+fluctuation)
}
