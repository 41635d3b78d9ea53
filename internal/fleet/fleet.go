// Package fleet knows the other instances: who is registered in the store, who
// is heard, and what they do.
//
// Registration gives identities and addresses, reports give life. Each instance
// reports to the delegates of its region, the first instances by name that
// answer; a delegate sums up what its region does in a digest, exchanges digests
// with the delegates of the other regions and answers reports with all of them.
// So traffic grows with instances and regions, not with their products.
//
// How it fails: a delegate that does not answer is passed over for SuspectFor, longer
// each time, and the next one by name takes its place. An instance that reaches no other one
// of its region is its own delegate. A member that is silent for SilentAfter gets
// no callers; its demand counts until it is forgotten, so that a partition gives
// no share of a quota away twice. One that is neither registered nor heard for
// ForgottenAfter is forgotten.
package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Times of what is known of an instance.
const (
	// SilentAfter is the silence after which callers are not sent to an instance.
	SilentAfter = 2500 * time.Millisecond
	// ForgottenAfter is the silence after which an unregistered one is dropped.
	ForgottenAfter = 10 * time.Second
	// SuspectFor is how long a delegate that did not answer is passed over, the first
	// time; it grows by as much each further time, up to maxSuspect.
	SuspectFor = 2 * time.Second
	maxSuspect = 6 * time.Second
)

// delegates is the number of a region's delegates.
const delegates = 2

// peer is what is known of another instance.
type peer struct {
	status     Status
	registered bool
	knownSince time.Time
	// heardAt is the last sign of life, by a report or by a digest.
	heardAt time.Time
	// reportedAt is the last report to this instance.
	reportedAt   time.Time
	activity     Activity
	suspectUntil time.Time
	// failures are the times that it was passed over since it answered last, the first
	// one at failingSince.
	failures     int
	failingSince time.Time
}

func (p *peer) live(now time.Time) bool {
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) <= SilentAfter
}

func (p *peer) reports(now time.Time, within time.Duration) bool {
	return !p.reportedAt.IsZero() && now.Sub(p.reportedAt) <= within
}

// stale reports whether the instance should have reported by now. One that leaves
// has no demand to come.
func (p *peer) stale(now time.Time) bool {
	return !p.reports(now, SilentAfter) && now.Sub(p.knownSince) > SilentAfter && p.status.State != Leaving
}

// Core is the set of instances as one of them sees it. It is not safe for
// concurrent use.
type Core struct {
	self Status
	// acknowledged says that others may know of this instance.
	acknowledged bool
	peers        map[string]*peer
	// digests are the last ones of each region, the own one as a delegate gave it.
	digests map[string]*received
	// demands is the demand on the other regions, as their delegates told it.
	demands map[string]toldDemand
	// told is what a delegate of this region told of all demand, without this
	// instance's own; nil before.
	told *demandView
}

// New returns a core that knows its own instance only.
func New(self Member) *Core {
	return &Core{self: Status{Member: self}, peers: make(map[string]*peer), digests: make(map[string]*received),
		demands: make(map[string]toldDemand)}
}

// Self returns the instance's own record.
func (c *Core) Self() Member { return c.self.Member }

// SetState changes the instance's own state.
func (c *Core) SetState(state State) { c.self.State = state }

// State returns the instance's own state.
func (c *Core) State() State { return c.self.State }

// Acknowledged reports whether others may know of this run of the instance: its
// registration is in force, or one of them answered a report.
func (c *Core) Acknowledged() bool { return c.acknowledged }

// Registered learns of a registration.
func (c *Core) Registered(now time.Time, member Member) {
	c.acknowledged = c.acknowledged || member == c.self.Member
	if p := c.learn(now, Status{Member: member}); p != nil {
		p.registered = true
	}
}

// Unregistered learns that the instance's registration is gone.
func (c *Core) Unregistered(instance string) {
	if p, found := c.peers[instance]; found {
		p.registered = false
	}
}

// learn returns the record of the instance, renewed by a later run; nil for the
// instance itself and for an earlier run.
func (c *Core) learn(now time.Time, status Status) *peer {
	member := status.Member
	if member.Instance == c.self.Member.Instance {
		return nil
	}
	p, found := c.peers[member.Instance]
	switch {
	case !found:
		p = &peer{status: status, knownSince: now}
		c.peers[member.Instance] = p
	case member.Incarnation > p.status.Member.Incarnation:
		// Its callers come back to it: until it reports, its demand is what it was.
		before := Activity{Demand: p.activity.Demand}
		*p = peer{status: status, knownSince: now, registered: p.registered, activity: before}
	case member.Incarnation < p.status.Member.Incarnation:
		return nil
	}
	return p
}

// Heard takes a report. It returns false for one of an earlier run.
func (c *Core) Heard(now time.Time, report Report) bool {
	p := c.learn(now, report.Status)
	if p == nil {
		return false
	}
	p.heardAt = now
	p.reportedAt = now
	p.failures = 0
	p.status.State = report.Status.State
	p.activity = report.Activity
	return true
}

// Failed learns that an instance did not answer.
func (c *Core) Failed(now time.Time, instance string) {
	p, found := c.peers[instance]
	if !found || now.Before(p.suspectUntil) {
		return
	}
	if p.failures == 0 {
		p.failingSince = now
	}
	p.failures++
	p.suspectUntil = now.Add(min(time.Duration(p.failures)*SuspectFor, maxSuspect))
}

// Answered learns that an instance answered.
func (c *Core) Answered(instance string) {
	c.acknowledged = true
	if p, found := c.peers[instance]; found {
		p.failures = 0
	}
}

// Expire forgets instances that are neither registered nor heard.
func (c *Core) Expire(now time.Time) {
	for name, p := range c.peers {
		last := p.heardAt
		if last.IsZero() {
			last = p.knownSince
		}
		if !p.registered && now.Sub(last) > ForgottenAfter {
			delete(c.peers, name)
		}
	}
}

// Delegates returns the delegates of a region, this instance perhaps among them.
func (c *Core) Delegates(now time.Time, region string) []Member {
	answering := c.answering(now, func(m Member) bool { return m.Region == region })
	return answering[:min(len(answering), delegates)]
}

// Holders returns the instances of this instance's region, by zone, that hold the
// pools of their zone, this one perhaps among them; none while this instance hears
// nobody, though others are known.
func (c *Core) Holders(now time.Time) map[string][]Member {
	if c.isolated(now) {
		return nil
	}
	zones := make(map[string][]Member)
	for _, m := range c.answering(now, func(m Member) bool { return m.Region == c.self.Member.Region }) {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	return zones
}

// elsewhere reports whether others have heard the instance since it does not answer
// this one: it lives, and only the way to it is cut.
func (p *peer) elsewhere() bool {
	return p.failures > 0 && p.heardAt.Sub(p.failingSince) > overdueAfter
}

// HoldersPart returns which part of its zone's instances this one reaches. The others
// may hold the zone's pools too, if they are alive and do not reach this one; those
// that leave do not. It is the even part while others reach one that this one does
// not: that one goes on with its pools.
func (c *Core) HoldersPart(now time.Time) float64 {
	reached, silent, elsewhere := 1, 0, false
	for _, p := range c.peers {
		switch {
		case p.status.Member.Zone != c.self.Member.Zone || p.status.State == Leaving:
		case now.Before(p.suspectUntil) || !p.live(now):
			silent++
			elsewhere = elsewhere || p.elsewhere()
		default:
			reached++
		}
	}
	if elsewhere {
		return 1 / float64(reached+silent)
	}
	return float64(reached) / float64(reached+silent)
}

// answering returns the members that are asked for, do not leave and answer,
// ordered by name.
func (c *Core) answering(now time.Time, asked func(Member) bool) []Member {
	var members []Member
	if asked(c.self.Member) && c.self.State != Leaving {
		members = append(members, c.self.Member)
	}
	for _, p := range c.peers {
		if asked(p.status.Member) && p.status.State != Leaving && !now.Before(p.suspectUntil) {
			members = append(members, p.status.Member)
		}
	}
	sortMembers(members)
	return members
}

// isolated reports whether other instances are known and none is heard.
func (c *Core) isolated(now time.Time) bool {
	for _, p := range c.peers {
		if p.live(now) {
			return false
		}
	}
	return len(c.peers) > 0
}

// IsDelegate reports whether this instance is a delegate of its region.
func (c *Core) IsDelegate(now time.Time) bool {
	return slices.Contains(c.Delegates(now, c.self.Member.Region), c.self.Member)
}

// Leads reports whether this instance is the first delegate of its region.
func (c *Core) Leads(now time.Time) bool {
	delegates := c.Delegates(now, c.self.Member.Region)
	return len(delegates) > 0 && delegates[0] == c.self.Member
}

// Peers returns the other instances, ordered by name.
func (c *Core) Peers() []Member {
	var members []Member
	for _, p := range c.peers {
		members = append(members, p.status.Member)
	}
	sortMembers(members)
	return members
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
}

// Takes returns the instances that take callers, this one included, ordered by
// name.
func (c *Core) Takes(now time.Time) []Member {
	var members []Member
	if c.self.State == Ready {
		members = append(members, c.self.Member)
	}
	for _, p := range c.peers {
		if p.status.State == Ready && p.live(now) {
			members = append(members, p.status.Member)
		}
	}
	sortMembers(members)
	return members
}

// Size returns the number of instances that may be running: this one and those
// that are registered or were heard lately.
func (c *Core) Size() int { return len(c.peers) + 1 }

// KnownInRegion returns the number of instances of the region that may be
// running, this one included.
func (c *Core) KnownInRegion(region string) int {
	return c.known(func(m Member) bool { return m.Region == region })
}

// KnownInZone returns the number of instances of this instance's zone that may be
// running, this one included.
func (c *Core) KnownInZone() int {
	return c.known(func(m Member) bool { return m.Zone == c.self.Member.Zone })
}

func (c *Core) known(counts func(Member) bool) int {
	n := 0
	if counts(c.self.Member) {
		n++
	}
	for _, p := range c.peers {
		if counts(p.status.Member) {
			n++
		}
	}
	return n
}

// Entries returns the addresses that a caller of the region is told: those of
// its region, or all where its region has none.
func (c *Core) Entries(now time.Time, region string, limit int) []string {
	takes := c.Takes(now)
	addresses := addressesOf(takes, func(m Member) bool { return m.Region == region })
	if len(addresses) == 0 {
		addresses = addressesOf(takes, func(Member) bool { return true })
	}
	return addresses[:min(len(addresses), limit)]
}

func addressesOf(members []Member, keep func(Member) bool) []string {
	addresses := []string{}
	for _, member := range members {
		if keep(member) {
			addresses = append(addresses, member.Callers)
		}
	}
	return addresses
}
