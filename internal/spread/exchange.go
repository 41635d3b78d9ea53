package spread

import (
	"time"

	"lovagescale/internal/membership"
)

// Tick starts the periodic exchanges: with one sibling and with one instance
// of another zone, each drawn at random.
func (c *Core) Tick(now time.Time) Output {
	out := c.giveUp(now)
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
			out.Exchanges = append(out.Exchanges, c.tell(group[c.random.IntN(len(group)):][:1])...)
		}
	}
	return out
}

// HandleExchange answers a peer's summary with this instance's.
func (c *Core) HandleExchange(now time.Time, s Summary) (Summary, Output) {
	out := c.learn(now, s)
	return c.summary(now), out
}

// ExchangeReplied takes the reply to an exchange that was sent at sentAt.
func (c *Core) ExchangeReplied(now, sentAt time.Time, s Summary) Output {
	out := c.learn(now, s)
	if s.AgeMillis >= 0 && s.Revision == c.manifest.Revision && s.Revision > 0 {
		c.inform(sentAt.Add(-time.Duration(s.AgeMillis) * time.Millisecond))
	}
	return out
}

// learn takes withdrawals of a listed peer and pulls its revision if higher.
func (c *Core) learn(now time.Time, s Summary) Output {
	var out Output
	peer, listed := c.memberOf(s.Instance)
	for _, withdrawal := range s.Withdrawals {
		_, followed := c.Withdraw(withdrawal)
		out.add(followed)
	}
	if listed && c.takes(s.Revision) {
		out.add(c.pullFrom(now, peer, s.Revision))
	}
	return out
}
