package quota

import (
	"time"
)

// Serve answers the asks of a holder.
func (c *Core) Serve(now time.Time, holder string, asks []Ask) []Grant {
	c.touch(now)
	grants := make([]Grant, 0, len(asks))
	for _, ask := range asks {
		grants = append(grants, c.serve(now, holder, ask))
	}
	return grants
}

func (c *Core) serve(now time.Time, holder string, ask Ask) Grant {
	g := Grant{Workspace: ask.Workspace, Part: ask.Part, Sequence: ask.Sequence}
	if ask.Part >= 0 && ask.Part < ownerShares {
		g.Owner = c.owners[ask.Part]
	}
	s, known := c.spaces[ask.Workspace]
	if !known || c.released || ask.Held < 0 || ask.Want < 0 || ask.Returned < 0 {
		return g
	}
	b := s.owned[ask.Part]
	if ask.Part == reservedPart {
		b = s.reserved
	}
	if b == nil {
		return g
	}
	g.Issues = true
	g.Refill = b.refillTime()
	level := b.level
	g.Amount = b.grant(now, holder, ask, c.options.GrantTTL)
	if c.creditBeforeDebit {
		b.level = max(0, level-b.unpaid)
		b.unpaid = g.Amount
	}
	return g
}

// Granted takes the answers of an issuer.
func (c *Core) Granted(now time.Time, issuer string, grants []Grant) {
	c.touch(now)
	for _, g := range grants {
		s, known := c.spaces[g.Workspace]
		if !known {
			continue
		}
		src := s.source(issuer, g.Part)
		if src == nil {
			continue
		}
		if c.leaseFromReply && src.pending {
			src.askedAt = now
		}
		if !src.credit(now, g, c.options.GrantTTL) {
			continue
		}
		c.heard(now, s, src, g)
		c.settle(now, s)
	}
}

// heard notes how well an issuer could serve.
func (c *Core) heard(now time.Time, s *space, src *source, g Grant) {
	if g.Part >= 0 && g.Part < ownerShares && !g.Issues && g.Owner != "" {
		c.owners[g.Part] = g.Owner
	}
	src.lost = false
	src.issues = g.Issues
	if g.Issues && g.Amount >= src.want/2 {
		src.retryAt = now
		src.pause = 0
		return
	}
	if g.Part == reservedPart && g.Amount >= Token {
		src.pause = 0
		src.retryAt = now.Add(min(lastSiblingPause, max(firstSiblingPause, g.Refill)))
		return
	}
	if g.Part == reservedPart || !g.Issues {
		src.pause = min(lastSiblingPause, max(firstSiblingPause, 2*src.pause))
		src.retryAt = now.Add(src.pause)
		return
	}
	src.retryAt = now.Add(ownerPause)
}

// noAnswer notes an ask that was lost.
func (s *source) noAnswer(now time.Time) {
	s.pending = false
	s.lost = true
	s.retryAt = now.Add(lostPause)
}

// Lost reports asks that got no answer.
func (c *Core) Lost(now time.Time, issuer string, asks []Ask) {
	c.touch(now)
	for _, ask := range asks {
		s, known := c.spaces[ask.Workspace]
		if !known {
			continue
		}
		src := s.source(issuer, ask.Part)
		if src == nil || src.sequence != ask.Sequence || !src.pending {
			continue
		}
		src.noAnswer(now)
		c.settle(now, s)
	}
}
