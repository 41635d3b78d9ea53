package quota

import (
	"math"
	"slices"
	"time"
)

// Pauses before an issuer that granted less than was asked is asked again. Those
// between asks of another entry double from the first to the last.
const (
	ownerPause        = 50 * time.Millisecond
	firstSiblingPause = 200 * time.Millisecond
	lastSiblingPause  = 8 * time.Second
	// lostPause follows an ask without an answer.
	lostPause = time.Second
)

// Rounds of asks of other entries: ahead of demand a few at each tick, and many
// at once, not too often, while requests wait.
const (
	aheadFanout    = 2
	urgentInterval = 200 * time.Millisecond
)

// recentTime is how long an owner counts as reachable after an ask.
const recentTime = time.Second

// soonTime is how long a request may wait for a token that the entry's own parts
// will issue.
const soonTime = 250 * time.Millisecond

// idleTime is how long an issuer is remembered of which nothing is held.
const idleTime = 30 * time.Second

// neverRetry is the retry time of a request for which no token can exist until
// shares change hands.
const neverRetry = time.Minute

// Request asks for one token. It is admitted, refused or made to wait while
// tokens are borrowed; the decision is drained.
func (c *Core) Request(now time.Time, workspace string, id uint64, deadline time.Time) {
	c.touch(now)
	s, known := c.spaces[workspace]
	if !known {
		c.decisions = append(c.decisions, Decision{ID: id})
		return
	}
	s.queue = append(s.queue, waiter{id: id, deadline: deadline})
	if now.Before(s.refuseUntil) && s.available(now) < Token && len(s.queue) > s.soon() {
		c.refuseFrom(now, s, len(s.queue)-1)
		return
	}
	c.settle(now, s)
}

// Take admits or refuses a request at once.
func (c *Core) Take(now time.Time, workspace string) bool {
	c.touch(now)
	s, known := c.spaces[workspace]
	if !known {
		return false
	}
	s.attempts++
	if s.available(now) < Token {
		return false
	}
	s.spend(now, Token)
	return true
}

// settle admits waiting requests, borrows for the rest and refuses them when
// nothing is left to ask.
func (c *Core) settle(now time.Time, s *space) {
	for len(s.queue) > 0 && s.available(now) >= Token {
		s.spend(now, Token)
		c.decisions = append(c.decisions, Decision{ID: s.queue[0].id, Admitted: true})
		s.queue = s.queue[1:]
	}
	if len(s.queue) == 0 {
		return
	}
	want := Units(len(s.queue))*Token + units(s.demand*c.options.Horizon.Seconds())
	asked := c.askOwners(now, s, want)
	if !asked && !s.pending(true) && !now.Before(s.urgentAt) {
		s.urgentAt = now.Add(urgentInterval)
		asked = c.askSiblings(now, s, want, c.options.Fanout, true)
	}
	if asked || s.pending(false) || c.starting(now, s) {
		c.refuseLate(now, s)
		return
	}
	if len(s.queue) > s.soon() {
		s.refuseUntil = now.Add(refuseTime)
		c.refuseFrom(now, s, s.soon())
	}
	c.refuseLate(now, s)
}

// starting reports whether this entry has just started and does not yet know
// the issuers of the workspace's owner shares.
func (c *Core) starting(now time.Time, s *space) bool {
	if now.Sub(c.settledAt) >= c.options.startTime() {
		return false
	}
	for _, part := range s.parts {
		hold, held := c.shares[part]
		issues := held && !now.Before(hold.startAt)
		if !issues && !slices.ContainsFunc(s.sources, func(src *source) bool { return src.part == part && src.issues }) {
			return true
		}
	}
	return false
}

// soon returns the number of requests that the entry's own parts can serve
// within a short time. These wait.
func (s *space) soon() int {
	var rate float64
	for _, b := range s.buckets() {
		if b.capacity >= Token {
			rate += b.rate
		}
	}
	return int(rate * soonTime.Seconds())
}

// refuseFrom refuses the waiting requests from a position in the queue on.
func (c *Core) refuseFrom(now time.Time, s *space, position int) {
	retryAfter := c.retryAfter(now, s, position)
	for _, w := range s.queue[position:] {
		c.decisions = append(c.decisions, Decision{ID: w.id, RetryAfter: retryAfter})
	}
	s.queue = s.queue[:position]
}

// refuseLate refuses the requests that are past their deadline or too many.
func (c *Core) refuseLate(now time.Time, s *space) {
	kept := s.queue[:0]
	for i, w := range s.queue {
		if now.Before(w.deadline) && i < maxQueue {
			kept = append(kept, w)
			continue
		}
		c.decisions = append(c.decisions, Decision{ID: w.id, RetryAfter: c.retryAfter(now, s, len(kept))})
	}
	s.queue = kept
}

// pending reports whether an ask is on its way, to any issuer or to owners.
func (s *space) pending(ownersOnly bool) bool {
	for _, src := range s.sources {
		if src.pending && (!ownersOnly || src.part != reservedPart) {
			return true
		}
	}
	return false
}

// giveBack returns what is held of others' parts to them.
func (c *Core) giveBack(now time.Time, s *space) {
	for _, src := range s.sources {
		held := src.held(now)
		if held == 0 || src.pending || src.lost {
			continue
		}
		src.tokens = 0
		c.sequence++
		ask := src.ask(now, s.name, c.sequence, 0)
		ask.Returned = held
		c.asks = append(c.asks, Outgoing{To: src.issuer, Ask: ask})
	}
}

// expected returns the amount that was asked for and may still come.
func (s *space) expected() Units {
	var sum Units
	for _, src := range s.sources {
		if src.pending && !src.lost {
			sum += src.want
		}
	}
	return sum
}

// askOwners asks the owners of the workspace's shares and reports whether it
// asked any.
func (c *Core) askOwners(now time.Time, s *space, want Units) bool {
	asked := false
	for _, part := range s.parts {
		if _, own := c.shares[part]; own {
			continue
		}
		owner := c.ownerOf(part)
		if owner == "" {
			continue
		}
		asked = c.ask(now, s, owner, part, want/sharesPerWorkspace+Token) || asked
	}
	return asked
}

// askSiblings asks other entries for tokens of their reserved shares: those of
// the own zone first, the rest in turn. Urgent asks ignore most of the pauses.
func (c *Core) askSiblings(now time.Time, s *space, want Units, fanout int, urgent bool) bool {
	asked := 0
	for i := range c.peers {
		if asked == fanout {
			break
		}
		peer := c.peers[(c.next+i)%len(c.peers)]
		src := s.source(peer.Incarnation, reservedPart)
		if urgent && src != nil && now.Sub(src.askedAt) >= firstSiblingPause && !src.lost {
			src.retryAt = now
		}
		if c.ask(now, s, peer.Incarnation, reservedPart, want/2+Token) {
			asked++
		}
	}
	c.next += asked
	return asked > 0
}

func (c *Core) ask(now time.Time, s *space, issuer string, part int, want Units) bool {
	src := s.source(issuer, part)
	if src == nil {
		src = &source{issuer: issuer, part: part}
		s.sources = append(s.sources, src)
	}
	if src.pending || now.Before(src.retryAt) {
		return false
	}
	c.sequence++
	c.asks = append(c.asks, Outgoing{To: issuer, Ask: src.ask(now, s.name, c.sequence, want)})
	return true
}

// Tick measures demand, gives up on asks without an answer and borrows ahead
// of demand.
func (c *Core) Tick(now time.Time, elapsed time.Duration) {
	c.touch(now)
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTime.Seconds())
	if c.reservedFraction(now) != c.fraction {
		c.reconfigure(now)
	}
	for _, name := range c.names {
		s := c.spaces[name]
		if s.asleep() {
			continue
		}
		s.demand += weight * (float64(s.attempts)/elapsed.Seconds() - s.demand)
		if s.attempts > 0 {
			s.usedAt = now
		}
		s.attempts = 0
		c.tickSpace(now, s)
	}
}

// sleepDemand is the demand in requests per second below which a workspace
// needs no periodic work.
const sleepDemand = 0.01

// asleep reports whether a tick would change nothing.
func (s *space) asleep() bool {
	return s.attempts == 0 && s.demand < sleepDemand && len(s.queue) == 0 && len(s.sources) == 0
}

func (c *Core) tickSpace(now time.Time, s *space) {
	for _, src := range s.sources {
		if src.pending && now.Sub(src.askedAt) >= c.options.AskTimeout {
			src.noAnswer(now)
		}
	}
	s.sources = slices.DeleteFunc(s.sources, func(src *source) bool {
		return !src.pending && src.held(now) == 0 && now.Sub(src.askedAt) > idleTime
	})
	c.settle(now, s)
	c.refuseLate(now, s)
	if now.Sub(s.usedAt) > c.options.ReturnAfter {
		c.giveBack(now, s)
		return
	}
	if s.demand < 1/c.options.GrantTTL.Seconds() {
		return
	}
	target := units(min(s.demand, s.limit.Rate)*c.options.Horizon.Seconds()) + 2*Token
	have := s.available(now) + s.expected()
	if have >= target {
		return
	}
	// Tokens of idle entries go first: at their burst they would be lost, while
	// owners have room to collect theirs.
	c.askSiblings(now, s, target-have, aheadFanout, false)
	if have = s.available(now) + s.expected(); have < target {
		c.askOwners(now, s, target-have)
	}
}

// retryAfter returns the time until the parts that can be reached have created
// the tokens for one request and those that wait ahead of it.
func (c *Core) retryAfter(now time.Time, s *space, ahead int) time.Duration {
	var rate float64
	var capacity Units
	add := func(b *bucket) {
		rate += b.rate
		capacity += b.capacity
	}
	for _, b := range s.buckets() {
		add(b)
	}
	for _, src := range s.sources {
		if src.part != reservedPart && now.Sub(src.askedAt) < recentTime && c.reachable(src.issuer) {
			rate += s.limit.Rate * (1 - c.options.Reserved) / sharesPerWorkspace
			capacity += units(s.limit.Burst * (1 - c.options.Reserved) / sharesPerWorkspace)
		}
	}
	missing := Units(ahead+1)*Token - s.available(now)
	if rate == 0 || capacity < Token {
		return neverRetry
	}
	return max(time.Millisecond, time.Duration(float64(missing)/float64(Token)/rate*float64(time.Second)))
}
