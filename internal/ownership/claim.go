package ownership

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Tick advances time and returns the statements that are due.
func (c *Core) Tick(now time.Time) []Outgoing {
	if now.Sub(c.lastTick) > c.options.Hold {
		c.resume(now)
	}
	c.lastTick = now
	c.buryTheSilent(now)
	c.settle(now)
	due := c.changed || len(c.in(claiming)) > 0 || now.Sub(c.lastSent) >= c.options.Refresh
	if !due || len(c.peers) == 0 {
		return nil
	}
	return c.state(now)
}

// resume gives up the rights of an instance that was paused. What was proved
// dead before can have started again meanwhile.
func (c *Core) resume(now time.Time) {
	c.listSince = now
	clear(c.buried)
	for _, known := range c.peers {
		known.lastHeard = now
	}
	for _, r := range c.rights {
		if r.phase == held || r.phase == yielding {
			r.claim()
			r.used = true
		}
	}
}

// settle moves each endpoint to the phase that peers, grants and time call for.
func (c *Core) settle(now time.Time) {
	live := c.liveInstances()
	for endpoint, r := range c.rights {
		if r.generation != c.generation {
			r.preferred = Preferred(endpoint, live)
			r.generation = c.generation
		}
		preferred := ""
		if r.listed {
			preferred = r.preferred
		}
		c.settleRight(now, r, preferred)
		if !r.listed && r.phase == idle && r.promised == "" && !now.Before(r.blockedUntil) {
			delete(c.rights, endpoint)
		}
	}
}

func (c *Core) settleRight(now time.Time, r *right, preferred string) {
	switch r.phase {
	case idle:
		if preferred == c.self && c.listKnown(now) {
			r.claim()
			c.changed = true
		}
	case claiming:
		if preferred != c.self && r.used {
			r.phase = yielding
		} else if preferred != c.self {
			c.drop(r)
		}
	case held:
		if !r.listed || (preferred != c.self && preferred != "" && preferred == r.asked) {
			r.phase = yielding
		}
	case yielding:
		if preferred == c.self && r.used {
			r.claim()
		} else if preferred == c.self {
			r.phase = held
		}
	}
	if r.phase == claiming && c.granted(now, r) {
		r.phase = held
		r.used = false
	}
}

// granted reports whether a claim is complete.
func (c *Core) granted(now time.Time, r *right) bool {
	if now.Before(c.usableFrom) || !c.listKnown(now) || r.promised != "" || now.Before(r.blockedUntil) {
		return false
	}
	for instance := range c.peers {
		if !r.granted[instance] {
			return false
		}
	}
	return true
}

func (c *Core) listKnown(now time.Time) bool {
	return c.listSince.IsZero() || now.Sub(c.listSince) >= c.options.ListWait
}

// liveInstances returns the live instances in order and counts its changes.
func (c *Core) liveInstances() []string {
	var live []string
	if !c.leaving {
		live = append(live, c.self)
	}
	for instance, known := range c.peers {
		if known.Live {
			live = append(live, instance)
		}
	}
	slices.Sort(live)
	if names := strings.Join(live, rankSeparator); names != c.live || c.generation == 0 {
		c.live = names
		c.generation++
	}
	return live
}

func (r *right) claim() {
	r.asked = ""
	r.phase = claiming
	r.since = 0
	r.granted = make(map[string]bool)
}

// drop ends a claim or a right; the next statement releases it.
func (c *Core) drop(r *right) {
	r.phase = idle
	r.used = false
	r.granted = nil
	c.changed = true
}

// state makes the statements of what this instance holds or claims.
func (c *Core) state(now time.Time) []Outgoing {
	c.sequence++
	c.remember(now)
	c.changed = false
	c.lastSent = now
	statement := Statement{Instance: c.self, Incarnation: c.incarnation, Sequence: c.sequence}
	for _, endpoint := range slices.Sorted(maps.Keys(c.rights)) {
		r := c.rights[endpoint]
		if r.phase == idle {
			continue
		}
		if r.phase != claiming {
			statement.Held = append(statement.Held, endpoint)
			continue
		}
		if r.since == 0 {
			r.since = c.sequence
		}
		statement.Claims = append(statement.Claims, endpoint)
	}
	var outgoing []Outgoing
	for _, known := range c.sortedPeers() {
		outgoing = append(outgoing, Outgoing{To: known.Peer, Statement: statement})
	}
	return outgoing
}

// remember notes when a statement is sent and forgets old ones.
func (c *Core) remember(now time.Time) {
	c.sent[c.sequence] = now
	for sequence, at := range c.sent {
		if now.Sub(at) > c.silence() {
			delete(c.sent, sequence)
		}
	}
}

// Receive takes a sibling's statement and returns the answer to send back.
func (c *Core) Receive(now time.Time, s Statement) Answer {
	answer := Answer{Instance: c.self, Incarnation: c.incarnation, Sequence: s.Sequence}
	if s.Instance == c.self || s.Incarnation == c.replaced[s.Instance] || len(s.Held)+len(s.Claims) > MaxEndpoints {
		return answer
	}
	from := c.hear(now, s.Instance, s.Incarnation)
	if s.Sequence <= from.sequence {
		return answer
	}
	from.sequence = s.Sequence
	c.release(s)
	for _, endpoint := range s.Held {
		c.grant(now, endpoint, s.Instance)
	}
	for _, endpoint := range s.Claims {
		if c.grant(now, endpoint, s.Instance) {
			answer.Granted = append(answer.Granted, endpoint)
		}
	}
	for _, endpoint := range s.named() {
		if c.rights[endpoint].mayBeInUse() {
			answer.Held = append(answer.Held, endpoint)
		}
	}
	c.settle(now)
	return answer
}

// hear returns the peer that spoke. A new incarnation proves the death of the
// one before.
func (c *Core) hear(now time.Time, instance, incarnation string) *peer {
	known, found := c.peers[instance]
	if found && known.Incarnation != "" && known.Incarnation != incarnation {
		link := known.Link
		c.replace(now, known)
		known = &peer{Peer: Peer{Instance: instance, Link: link}, acked: now}
		c.peers[instance] = known
	}
	delete(c.buried, instance)
	if !found {
		known = &peer{Peer: Peer{Instance: instance}}
		known.acked = now
		c.peers[instance] = known
	}
	if c.silent[instance] {
		delete(c.silent, instance)
		known.acked = time.Time{}
		known.ackFrom = c.sequence + 1
	}
	known.Incarnation = incarnation
	known.lastHeard = now
	known.spoke = true
	return known
}

// mayBeInUse reports whether this instance can have requests in flight.
func (r *right) mayBeInUse() bool { return r.phase == held || r.phase == yielding || r.used }

// named returns the endpoints that the statement does not release.
func (s *Statement) named() []string { return slices.Concat(s.Held, s.Claims) }

// release frees what the statement's sender no longer names.
func (c *Core) release(s Statement) {
	named := make(map[string]bool, len(s.Held)+len(s.Claims))
	for _, endpoint := range s.named() {
		named[endpoint] = true
	}
	for endpoint, r := range c.rights {
		if r.promised == s.Instance && !named[endpoint] {
			r.promised = ""
		}
	}
}

// grant promises the endpoint to the instance if nothing stands against it.
func (c *Core) grant(now time.Time, endpoint, instance string) bool {
	r := c.right(endpoint)
	if r.phase == held || r.phase == yielding {
		r.asked = instance
		return false
	}
	if r.promised == instance {
		return true
	}
	if r.promised != "" || now.Before(r.blockedUntil) {
		return false
	}
	if r.phase == claiming {
		if r.used || outranks(endpoint, c.self, instance) {
			return false
		}
		c.drop(r)
	}
	r.promised = instance
	return true
}

// Answered takes the answer to a statement.
func (c *Core) Answered(now time.Time, a Answer) {
	known, found := c.peers[a.Instance]
	if !found || a.Incarnation == c.replaced[a.Instance] {
		return
	}
	if known.Incarnation != "" && known.Incarnation != a.Incarnation {
		return
	}
	known.Incarnation = a.Incarnation
	known.lastHeard = now
	known.spoke = true
	c.acknowledge(known, a)
	for _, endpoint := range a.Granted {
		r, exists := c.rights[endpoint]
		if exists && r.phase == claiming && r.since != 0 && r.since <= a.Sequence {
			r.granted[a.Instance] = true
		}
	}
	c.settle(now)
}

// acknowledge records that the sibling answered, and which endpoints both hold.
func (c *Core) acknowledge(known *peer, a Answer) {
	at, recent := c.sent[a.Sequence]
	if !recent || a.Sequence < known.ackFrom || at.Before(known.acked) {
		return
	}
	known.acked = at
	both := make(map[string]bool, len(a.Held))
	for _, endpoint := range a.Held {
		both[endpoint] = true
	}
	for endpoint, r := range c.rights {
		if !both[endpoint] {
			delete(r.contested, a.Instance)
			continue
		}
		if r.contested == nil {
			r.contested = make(map[string]bool)
		}
		r.contested[a.Instance] = true
	}
}
