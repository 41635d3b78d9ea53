package quota

import (
	"time"
)

// Serve returns the grants for the requests of a holder.
func (c *Core) Serve(now time.Time, holder string, requests []GrantRequest) []Grant {
	c.advanceClock(now)
	grants := make([]Grant, 0, len(requests))
	for _, request := range requests {
		grants = append(grants, c.serveRequest(now, holder, request))
	}
	return grants
}

func (c *Core) serveRequest(now time.Time, holder string, request GrantRequest) Grant {
	g := Grant{Workspace: request.Workspace, Share: request.Share, Sequence: request.Sequence}
	if request.Share >= 0 && request.Share < ownerShareCount {
		g.Owner = c.knownOwners[request.Share]
	}
	q, known := c.workspaces[request.Workspace]
	if !known || c.released || request.Held < 0 || request.Amount < 0 || request.Returned < 0 {
		return g
	}
	b := q.ownerBuckets[request.Share]
	if request.Share == reservedShare {
		b = q.reservedBucket
	}
	if b == nil {
		return g
	}
	g.Issues = true
	g.HalfRefillTime = b.halfRefillTime()
	level := b.level
	g.Amount = b.grant(now, holder, request, c.options.GrantTTL)
	if c.creditBeforeDebit {
		b.level = max(0, level-b.pendingDebit)
		b.pendingDebit = g.Amount
	}
	return g
}

// HandleGrants processes the grants in a reply of an issuer.
func (c *Core) HandleGrants(now time.Time, issuer string, grants []Grant) {
	c.advanceClock(now)
	for _, g := range grants {
		q, known := c.workspaces[g.Workspace]
		if !known {
			continue
		}
		remote := q.findRemoteShare(issuer, g.Share)
		if remote == nil {
			continue
		}
		if c.expiryFromReply && remote.pending {
			remote.requestedAt = now
		}
		if !remote.credit(now, g, c.options.GrantTTL) {
			continue
		}
		c.recordReply(now, q, remote, g)
		c.processQueue(now, q)
	}
}

// recordReply stores what a reply says about the issuer, and decides when the
// next grant request may be sent to it.
func (c *Core) recordReply(now time.Time, q *workspaceQuota, remote *remoteShare, g Grant) {
	if g.Share >= 0 && g.Share < ownerShareCount && !g.Issues && g.Owner != "" {
		c.knownOwners[g.Share] = g.Owner
	}
	remote.lost = false
	remote.issues = g.Issues
	if g.Issues && g.Amount >= remote.requested/2 {
		remote.retryAt = now
		remote.backoff = 0
		return
	}
	if g.Share == reservedShare && g.Amount >= Token {
		remote.backoff = 0
		remote.retryAt = now.Add(min(maxPeerBackoff, max(minPeerBackoff, g.HalfRefillTime)))
		return
	}
	if g.Share == reservedShare || !g.Issues {
		remote.backoff = min(maxPeerBackoff, max(minPeerBackoff, 2*remote.backoff))
		remote.retryAt = now.Add(remote.backoff)
		return
	}
	remote.retryAt = now.Add(ownerRetryDelay)
}

// recordLoss ends a grant request that got no reply.
func (r *remoteShare) recordLoss(now time.Time) {
	r.pending = false
	r.lost = true
	r.retryAt = now.Add(lostRetryDelay)
}

// HandleLost processes grant requests that got no reply.
func (c *Core) HandleLost(now time.Time, issuer string, requests []GrantRequest) {
	c.advanceClock(now)
	for _, request := range requests {
		q, known := c.workspaces[request.Workspace]
		if !known {
			continue
		}
		remote := q.findRemoteShare(issuer, request.Share)
		if remote == nil || remote.sequence != request.Sequence || !remote.pending {
			continue
		}
		remote.recordLoss(now)
		c.processQueue(now, q)
	}
}
