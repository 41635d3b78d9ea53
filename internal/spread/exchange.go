package spread

import (
	"time"

	"lovagescale/internal/membership"
)

// Tick ends a pull that has timed out and starts the periodic exchanges: with one sibling and
// with one instance of another zone, each chosen at random.
func (c *Core) Tick(now time.Time) Output {
	out := c.expirePull(now)
	var siblings, others []membership.Member
	for _, member := range c.members {
		if member.Zone == c.self.Zone {
			siblings = append(siblings, member)
		} else {
			others = append(others, member)
		}
	}
	for _, group := range [][]membership.Member{siblings, others} {
		if len(group) > 0 {
			out.Exchanges = append(out.Exchanges, c.newExchangeCalls(group[c.random.IntN(len(group)):][:1])...)
		}
	}
	return out
}

// HandleExchange processes a peer's summary and returns the summary of this instance as the
// reply.
func (c *Core) HandleExchange(now time.Time, s Summary) (Summary, Output) {
	out := c.handleSummary(now, s)
	return c.summary(now), out
}

// HandleExchangeReply processes the reply to an exchange that was sent at sentAt. It adopts
// the age in the reply if the peer has the revision that is active here.
func (c *Core) HandleExchangeReply(now, sentAt time.Time, s Summary) Output {
	out := c.handleSummary(now, s)
	if s.AgeMillis >= 0 && s.Revision == c.manifest.Revision && s.Revision > 0 {
		c.recordSync(sentAt.Add(-time.Duration(s.AgeMillis) * time.Millisecond))
	}
	return out
}

// handleSummary applies the withdrawals in a summary. It starts a pull from the sender if that
// is a listed member and has a higher revision.
func (c *Core) handleSummary(now time.Time, s Summary) Output {
	var out Output
	peer, listed := c.memberByInstance(s.Instance)
	for _, withdrawal := range s.Withdrawals {
		_, withdrawalOutput := c.Withdraw(withdrawal)
		out.add(withdrawalOutput)
	}
	if listed && c.accepts(s.Revision) {
		out.add(c.pullFrom(now, peer, s.Revision))
	}
	return out
}
