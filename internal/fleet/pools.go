package fleet

import "time"

// PoolHolders returns the instances of this instance's region that may hold the quota
// pools of their zone, by zone. They may include this instance. It returns none if other
// instances are known but this one hears from none of them.
func (v *View) PoolHolders(now time.Time) map[string][]Member {
	if v.isolated(now) {
		return nil
	}
	holders := make(map[string][]Member)
	for _, m := range v.available(now, func(m Member) bool { return m.Region == v.self.Member.Region }) {
		holders[m.Zone] = append(holders[m.Zone], m)
	}
	return holders
}

// reachedByOthers reports whether other instances have heard from the peer since it
// stopped replying to this one. The peer is then alive and only the connection to it is
// broken.
func (p *peer) reachedByOthers() bool {
	return p.consecutiveFailures > 0 && p.lastSeenAt.Sub(p.failingSince) > overdueAfter
}

// PoolFraction returns the fraction of its zone's quota pools that this instance may use.
// It is the fraction of the zone's instances that this one reaches: the others may be
// alive without reaching this one and hold the pools of the zone as well. Instances that
// are leaving do not count. If other instances reach one that this instance does not,
// that one continues to hold its pools, and the fraction is one divided by the number of
// the zone's instances.
func (v *View) PoolFraction(now time.Time) float64 {
	reachable, unreachable, reachedByOthers := 1, 0, false
	for _, p := range v.peers {
		switch {
		case p.status.Member.Zone != v.self.Member.Zone || p.status.State == Leaving:
		case now.Before(p.suspectUntil) || !p.isLive(now):
			unreachable++
			reachedByOthers = reachedByOthers || p.reachedByOthers()
		default:
			reachable++
		}
	}
	if reachedByOthers {
		return 1 / float64(reachable+unreachable)
	}
	return float64(reachable) / float64(reachable+unreachable)
}

// contestTime is how long after a peer's first failure it may be alive without a report of
// others that tells so: a report, an exchange between delegates and a reply.
const contestTime = SilentAfter

// Contested returns the instances of this zone that have stopped replying to this one so
// lately that others may still reach them. They may go on holding their pools.
func (v *View) Contested(now time.Time) []Member {
	var contested []Member
	for _, p := range v.peers {
		member := p.status.Member
		if member.Zone != v.self.Member.Zone || p.status.State == Leaving || p.consecutiveFailures == 0 {
			continue
		}
		if now.Sub(p.failingSince) < contestTime || p.reachedByOthers() {
			contested = append(contested, member)
		}
	}
	sortMembers(contested)
	return contested
}
