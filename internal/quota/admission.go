package quota

import (
	"math"
	"slices"
	"time"
)

// Delays before the next grant request to an issuer that granted less than half of
// the requested amount. The backoff of requests for the reserved shares of another
// entry, or to an entry that does not issue the requested share, doubles from
// minPeerBackoff to maxPeerBackoff.
const (
	ownerRetryDelay = 50 * time.Millisecond
	minPeerBackoff  = 200 * time.Millisecond
	maxPeerBackoff  = 8 * time.Second
	// lostRetryDelay applies after a grant request that got no reply.
	lostRetryDelay = time.Second
)

// Limits on grant requests for the reserved shares of other entries. Ahead of demand,
// each tick sends only a few. While requests wait for tokens, many are sent at once,
// but no more often than urgentInterval.
const (
	prefetchFanout = 2
	urgentInterval = 200 * time.Millisecond
)

// ownerReachablePeriod is how long after a grant request its owner counts as
// reachable.
const ownerReachablePeriod = time.Second

// maxLocalWait is how long a request may wait for a token that the buckets of this
// entry will create.
const maxLocalWait = 250 * time.Millisecond

// remoteShareIdleTTL is how long the state of a remote share is kept after the last
// grant request when no tokens of it are held.
const remoteShareIdleTTL = 30 * time.Second

// noTokenRetryAfter is the retry time for a request for which no token can exist
// until shares change their holder.
const noTokenRetryAfter = time.Minute

// Acquire asks for one token. The request is admitted, refused, or queued while
// grants are requested from other entries; Drain returns the decision.
func (c *Core) Acquire(now time.Time, workspace string, id uint64, deadline time.Time) {
	c.advanceClock(now)
	q, known := c.workspaces[workspace]
	if !known {
		c.decisions = append(c.decisions, Decision{ID: id})
		return
	}
	q.queue = append(q.queue, queuedRequest{id: id, deadline: deadline})
	if now.Before(q.refuseUntil) && q.available(now) < Token && len(q.queue) > q.locallyServable() {
		c.refuseQueueFrom(now, q, len(q.queue)-1)
		return
	}
	c.processQueue(now, q)
}

// TryAcquire takes one token without waiting and reports whether there was one.
func (c *Core) TryAcquire(now time.Time, workspace string) bool {
	c.advanceClock(now)
	q, known := c.workspaces[workspace]
	if !known {
		return false
	}
	q.attempts++
	if q.available(now) < Token {
		return false
	}
	q.spend(now, Token)
	return true
}

// processQueue admits queued requests while tokens are available and requests grants
// for the rest. When no grant is pending, none can be requested and the issuers are
// known, it refuses the requests that the buckets of this entry cannot serve soon.
func (c *Core) processQueue(now time.Time, q *workspaceQuota) {
	for len(q.queue) > 0 && q.available(now) >= Token {
		q.spend(now, Token)
		c.decisions = append(c.decisions, Decision{ID: q.queue[0].id, Admitted: true})
		q.queue = q.queue[1:]
	}
	if len(q.queue) == 0 {
		return
	}
	amount := Microtokens(len(q.queue))*Token + toMicrotokens(q.demand*c.options.DemandHorizon.Seconds())
	requested := c.requestFromOwners(now, q, amount)
	if !requested && !q.hasPendingRequest(true) && !now.Before(q.nextUrgentAt) {
		q.nextUrgentAt = now.Add(urgentInterval)
		requested = c.requestFromPeers(now, q, amount, c.options.Fanout, true)
	}
	if requested || q.hasPendingRequest(false) || c.discoveringIssuers(now, q) {
		c.trimQueue(now, q)
		return
	}
	if len(q.queue) > q.locallyServable() {
		q.refuseUntil = now.Add(refusalPeriod)
		c.refuseQueueFrom(now, q, q.locallyServable())
	}
	c.trimQueue(now, q)
}

// discoveringIssuers reports whether this entry has just started and does not yet
// know the issuers of all owner shares that serve the workspace.
func (c *Core) discoveringIssuers(now time.Time, q *workspaceQuota) bool {
	if now.Sub(c.configuredAt) >= c.options.startupWait() {
		return false
	}
	for _, share := range q.ownerShares {
		held, ok := c.ownerShares[share]
		issues := ok && !now.Before(held.issueStart)
		if !issues && !slices.ContainsFunc(q.remoteShares, func(remote *remoteShare) bool { return remote.share == share && remote.issues }) {
			return true
		}
	}
	return false
}

// locallyServable returns the number of requests that the buckets of this entry can
// serve within maxLocalWait. That many requests stay in the queue.
func (q *workspaceQuota) locallyServable() int {
	var rate float64
	for _, b := range q.buckets() {
		if b.capacity >= Token {
			rate += b.rate
		}
	}
	return int(rate * maxLocalWait.Seconds())
}

// refuseQueueFrom refuses the queued requests from the given position on.
func (c *Core) refuseQueueFrom(now time.Time, q *workspaceQuota, position int) {
	retryAfter := c.retryAfter(now, q, position)
	for _, queued := range q.queue[position:] {
		c.decisions = append(c.decisions, Decision{ID: queued.id, RetryAfter: retryAfter})
	}
	q.queue = q.queue[:position]
}

// trimQueue refuses the requests that are past their deadline or beyond the maximum
// length of the queue.
func (c *Core) trimQueue(now time.Time, q *workspaceQuota) {
	kept := q.queue[:0]
	for i, queued := range q.queue {
		if now.Before(queued.deadline) && i < maxQueuedRequests {
			kept = append(kept, queued)
			continue
		}
		c.decisions = append(c.decisions, Decision{ID: queued.id, RetryAfter: c.retryAfter(now, q, len(kept))})
	}
	q.queue = kept
}

// hasPendingRequest reports whether a grant request is in flight, to any issuer or,
// with ownersOnly, to an owner.
func (q *workspaceQuota) hasPendingRequest(ownersOnly bool) bool {
	for _, remote := range q.remoteShares {
		if remote.pending && (!ownersOnly || remote.share != reservedShare) {
			return true
		}
	}
	return false
}

// returnTokens returns the unspent tokens of remote shares to their issuers.
func (c *Core) returnTokens(now time.Time, q *workspaceQuota) {
	for _, remote := range q.remoteShares {
		held := remote.held(now)
		if held == 0 || remote.pending || remote.lost {
			continue
		}
		remote.tokens = 0
		c.lastSequence++
		request := remote.newRequest(now, q.name, c.lastSequence, 0)
		request.Returned = held
		c.outgoing = append(c.outgoing, OutgoingRequest{To: remote.issuer, Request: request})
	}
}

// pendingAmount returns the total amount of the grant requests that may still get a
// reply.
func (q *workspaceQuota) pendingAmount() Microtokens {
	var sum Microtokens
	for _, remote := range q.remoteShares {
		if remote.pending && !remote.lost {
			sum += remote.requested
		}
	}
	return sum
}

// requestFromOwners requests grants from the owners of the shares that serve the
// workspace and reports whether it sent any request.
func (c *Core) requestFromOwners(now time.Time, q *workspaceQuota, amount Microtokens) bool {
	requested := false
	for _, share := range q.ownerShares {
		if _, own := c.ownerShares[share]; own {
			continue
		}
		owner := c.ownerOf(share)
		if owner == "" {
			continue
		}
		requested = c.requestGrant(now, q, owner, share, amount/ownerSharesPerWorkspace+Token) || requested
	}
	return requested
}

// requestFromPeers requests grants from the reserved shares of other entries, in
// rotation over a list that begins with the entries of the same zone. Urgent requests
// ignore the backoff of an entry once minPeerBackoff has passed since the last
// request to it, unless that request got no reply.
func (c *Core) requestFromPeers(now time.Time, q *workspaceQuota, amount Microtokens, fanout int, urgent bool) bool {
	requested := 0
	for i := range c.peers {
		if requested == fanout {
			break
		}
		peer := c.peers[(c.nextPeer+i)%len(c.peers)]
		remote := q.findRemoteShare(peer.Incarnation, reservedShare)
		if urgent && remote != nil && now.Sub(remote.requestedAt) >= minPeerBackoff && !remote.lost {
			remote.retryAt = now
		}
		if c.requestGrant(now, q, peer.Incarnation, reservedShare, amount/2+Token) {
			requested++
		}
	}
	c.nextPeer += requested
	return requested > 0
}

// requestGrant requests a grant from an issuer, unless a request for the same share is
// pending or must not be repeated yet. It reports whether it sent a request.
func (c *Core) requestGrant(now time.Time, q *workspaceQuota, issuer string, share int, amount Microtokens) bool {
	remote := q.findRemoteShare(issuer, share)
	if remote == nil {
		remote = &remoteShare{issuer: issuer, share: share}
		q.remoteShares = append(q.remoteShares, remote)
	}
	if remote.pending || now.Before(remote.retryAt) {
		return false
	}
	c.lastSequence++
	c.outgoing = append(c.outgoing, OutgoingRequest{To: issuer, Request: remote.newRequest(now, q.name, c.lastSequence, amount)})
	return true
}

// Tick updates the measured demand, gives up on grant requests without a reply, and
// requests grants ahead of demand.
func (c *Core) Tick(now time.Time, elapsed time.Duration) {
	c.advanceClock(now)
	smoothing := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	if c.reservedFraction(now) != c.configuredFraction {
		c.configureBuckets(now)
	}
	for _, name := range c.workspaceNames {
		q := c.workspaces[name]
		if q.idle() {
			continue
		}
		q.demand += smoothing * (float64(q.attempts)/elapsed.Seconds() - q.demand)
		if q.attempts > 0 {
			q.lastUsedAt = now
		}
		q.attempts = 0
		c.tickWorkspace(now, q)
	}
}

// idleDemand is the demand in requests per second below which a workspace needs no
// periodic work.
const idleDemand = 0.01

// idle reports whether a tick would change nothing.
func (q *workspaceQuota) idle() bool {
	return q.attempts == 0 && q.demand < idleDemand && len(q.queue) == 0 && len(q.remoteShares) == 0
}

func (c *Core) tickWorkspace(now time.Time, q *workspaceQuota) {
	for _, remote := range q.remoteShares {
		if remote.pending && now.Sub(remote.requestedAt) >= c.options.GrantTimeout {
			remote.recordLoss(now)
		}
	}
	q.remoteShares = slices.DeleteFunc(q.remoteShares, func(remote *remoteShare) bool {
		return !remote.pending && remote.held(now) == 0 && now.Sub(remote.requestedAt) > remoteShareIdleTTL
	})
	c.processQueue(now, q)
	c.trimQueue(now, q)
	if now.Sub(q.lastUsedAt) > c.options.ReturnAfter {
		c.returnTokens(now, q)
		return
	}
	if q.demand < 1/c.options.GrantTTL.Seconds() {
		return
	}
	target := toMicrotokens(min(q.demand, q.limit.Rate)*c.options.DemandHorizon.Seconds()) + 2*Token
	supply := q.available(now) + q.pendingAmount()
	if supply >= target {
		return
	}
	// Request tokens of the reserved shares of other entries first: at idle entries
	// whose buckets are full, new tokens would be lost, while owners have room to
	// accumulate theirs.
	c.requestFromPeers(now, q, target-supply, prefetchFanout, false)
	if supply = q.available(now) + q.pendingAmount(); supply < target {
		c.requestFromOwners(now, q, target-supply)
	}
}

// retryAfter returns the time until the reachable issuers have created the tokens for
// one request and for those that are queued ahead of it.
func (c *Core) retryAfter(now time.Time, q *workspaceQuota, ahead int) time.Duration {
	var rate float64
	var capacity Microtokens
	add := func(b *bucket) {
		rate += b.rate
		capacity += b.capacity
	}
	for _, b := range q.buckets() {
		add(b)
	}
	for _, remote := range q.remoteShares {
		if remote.share != reservedShare && now.Sub(remote.requestedAt) < ownerReachablePeriod && c.reachable(remote.issuer) {
			rate += q.limit.Rate * (1 - c.options.ReservedFraction) / ownerSharesPerWorkspace
			capacity += toMicrotokens(q.limit.Burst * (1 - c.options.ReservedFraction) / ownerSharesPerWorkspace)
		}
	}
	missing := Microtokens(ahead+1)*Token - q.available(now)
	if rate == 0 || capacity < Token {
		return noTokenRetryAfter
	}
	return max(time.Millisecond, time.Duration(float64(missing)/float64(Token)/rate*float64(time.Second)))
}
