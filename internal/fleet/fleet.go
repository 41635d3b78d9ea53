// Package fleet knows the other instances: who is registered in the store, who
// is heard, and what each of them does.
//
// Registration gives identities and addresses, heartbeats give life. An
// instance that is heard lives, whether its registration has lapsed or not; one
// that is silent for SilentAfter is given no callers, and one that is neither
// registered nor heard for ForgottenAfter is forgotten.
//
// How it fails: an instance that hears nobody names itself and counts the
// others' last demand for RememberDemand, so that no share of a quota is taken
// twice by a short partition.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// Times of what is known of an instance.
const (
	// SilentAfter is the silence after which callers are not sent to an instance.
	SilentAfter = 2500 * time.Millisecond
	// ForgottenAfter is the silence after which an unregistered one is dropped.
	ForgottenAfter = 10 * time.Second
	// RememberDemand is how long the demand of a silent instance is counted.
	RememberDemand = 15 * time.Second
)

// peer is what is known of another instance.
type peer struct {
	member     Member
	registered bool
	state      State
	heardAt    time.Time
	knownSince time.Time
	last       Heartbeat
}

// Core is the set of instances as one of them sees it. It is not safe for
// concurrent use.
type Core struct {
	self  Member
	state State
	peers map[string]*peer
}

// New returns a core that knows its own instance only.
func New(self Member) *Core { return &Core{self: self, peers: make(map[string]*peer)} }

// Self returns the instance's own record.
func (c *Core) Self() Member { return c.self }

// SetState changes the instance's own state.
func (c *Core) SetState(state State) { c.state = state }

// State returns the instance's own state.
func (c *Core) State() State { return c.state }

// Registered learns of a registration.
func (c *Core) Registered(now time.Time, member Member) {
	if p := c.learn(now, member); p != nil {
		p.registered = true
	}
}

// Unregistered learns that the instance's registration is gone.
func (c *Core) Unregistered(instance string) {
	if p, found := c.peers[instance]; found {
		p.registered = false
	}
}

// Heard takes a heartbeat. It reports false for one of an earlier run of the
// instance.
func (c *Core) Heard(now time.Time, beat Heartbeat) bool {
	p := c.learn(now, beat.Member)
	if p == nil || p.member.Incarnation != beat.Member.Incarnation {
		return false
	}
	p.heardAt = now
	p.state = beat.State
	p.last = beat
	return true
}

// learn returns the record of the instance, renewed by a later run; nil for the
// instance itself.
func (c *Core) learn(now time.Time, member Member) *peer {
	if member.Instance == c.self.Instance {
		return nil
	}
	p, found := c.peers[member.Instance]
	if !found {
		p = &peer{member: member, knownSince: now}
		c.peers[member.Instance] = p
	}
	if member.Incarnation > p.member.Incarnation {
		*p = peer{member: member, knownSince: now, registered: p.registered}
	}
	return p
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

// Peers returns the other instances, ordered by name.
func (c *Core) Peers() []Member {
	var members []Member
	for _, p := range c.peers {
		members = append(members, p.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Instance, b.Instance) })
	return members
}

// Takes returns the instances that take callers, this one included, ordered by
// name.
func (c *Core) Takes(now time.Time) []Member {
	var members []Member
	if c.state == Ready {
		members = append(members, c.self)
	}
	for _, p := range c.peers {
		if p.state == Ready && p.live(now) {
			members = append(members, p.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Instance, b.Instance) })
	return members
}

func (p *peer) live(now time.Time) bool {
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) <= SilentAfter
}

// Live returns the last heartbeats of the instances that are heard.
func (c *Core) Live(now time.Time) []Heartbeat { return c.heard(now, SilentAfter) }

// Remembered returns the last heartbeats of the instances whose demand counts.
func (c *Core) Remembered(now time.Time) []Heartbeat { return c.heard(now, RememberDemand) }

func (c *Core) heard(now time.Time, within time.Duration) []Heartbeat {
	var beats []Heartbeat
	for _, p := range c.peers {
		if !p.heardAt.IsZero() && now.Sub(p.heardAt) <= within {
			beats = append(beats, p.last)
		}
	}
	return beats
}

// Size returns the number of instances that may be running: this one and those
// that are registered or were heard lately.
func (c *Core) Size() int { return len(c.peers) + 1 }

// LiveInRegion returns the number of instances of the region that are heard,
// this one included.
func (c *Core) LiveInRegion(now time.Time, region string) int {
	n := 0
	if c.self.Region == region {
		n++
	}
	for _, p := range c.peers {
		if p.member.Region == region && p.live(now) {
			n++
		}
	}
	return n
}

// KnownInRegion returns the number of instances of the region that may be
// running, this one included.
func (c *Core) KnownInRegion(region string) int {
	n := 0
	if c.self.Region == region {
		n++
	}
	for _, p := range c.peers {
		if p.member.Region == region {
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
