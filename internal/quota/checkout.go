package quota

import (
	"time"
)

// CheckOut lends all tokens of a workspace to the request path until expiresAt.
func (c *Core) CheckOut(now time.Time, workspace string) (amount Units, expiresAt, refuseUntil time.Time, retryAfter time.Duration) {
	c.touch(now)
	s := c.spaces[workspace]
	amount = s.available(now)
	s.checkedOut = amount
	expiresAt = now.Add(c.options.PauseLimit)
	for _, src := range s.sources {
		if src.tokens > 0 && src.expiresAt.Before(expiresAt) {
			expiresAt = src.expiresAt
		}
	}
	for part := range s.owned {
		if until := c.shares[part].until; until.Before(expiresAt) {
			expiresAt = until
		}
	}
	return amount, expiresAt, s.refuseUntil, c.retryAfter(now, s, len(s.queue))
}

// CheckIn takes back what the request path has left of its tokens and the
// number of requests that it saw.
func (c *Core) CheckIn(now time.Time, workspace string, left Units, attempts int) {
	s, known := c.spaces[workspace]
	if !known {
		return
	}
	s.available(now)
	s.spend(now, s.checkedOut-max(0, left))
	s.checkedOut = 0
	s.attempts += attempts
}
