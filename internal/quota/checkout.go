package quota

import (
	"time"
)

// CheckOut hands all tokens of a workspace to the request path, which may spend them
// until expiresAt. Until refuseUntil, the request path refuses requests that find no
// token at once, with retryAfter as the retry time.
func (c *Core) CheckOut(now time.Time, workspace string) (amount Microtokens, expiresAt, refuseUntil time.Time, retryAfter time.Duration) {
	c.advanceClock(now)
	q := c.workspaces[workspace]
	amount = q.available(now)
	q.checkedOut = amount
	expiresAt = now.Add(c.options.PauseLimit)
	for _, remote := range q.remoteShares {
		if remote.tokens > 0 && remote.expiresAt.Before(expiresAt) {
			expiresAt = remote.expiresAt
		}
	}
	for share := range q.ownerBuckets {
		if leaseExpiresAt := c.ownerShares[share].leaseExpiresAt; leaseExpiresAt.Before(expiresAt) {
			expiresAt = leaseExpiresAt
		}
	}
	return amount, expiresAt, q.refuseUntil, c.retryAfter(now, q, len(q.queue))
}

// CheckIn takes back the tokens that the request path has not spent, and the number
// of requests that it has seen.
func (c *Core) CheckIn(now time.Time, workspace string, left Microtokens, attempts int) {
	q, known := c.workspaces[workspace]
	if !known {
		return
	}
	q.available(now)
	q.spend(now, q.checkedOut-max(0, left))
	q.checkedOut = 0
	q.attempts += attempts
}
