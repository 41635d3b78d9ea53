package ownership

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Tick updates the state to the current time and returns the statements that are due.
func (c *Core) Tick(now time.Time) []Outgoing {
	if now.Sub(c.lastTick) > c.options.TickTimeout {
		c.reclaimAfterPause(now)
	}
	c.lastTick = now
	c.declareUnresponsiveDead(now)
	c.updatePhases(now)
	due := c.statementChanged || len(c.inPhase(claiming)) > 0 || now.Sub(c.lastSent) >= c.options.RefreshInterval
	if !due || len(c.siblings) == 0 {
		return nil
	}
	return c.newStatements(now)
}

// reclaimAfterPause claims the endpoints again that this instance held before a pause.
// It forgets which instances were declared dead, since they may have restarted during
// the pause. The silence of the siblings and the wait for the list count from now on.
func (c *Core) reclaimAfterPause(now time.Time) {
	c.listWaitSince = now
	clear(c.dead)
	for _, sibling := range c.siblings {
		sibling.lastHeard = now
	}
	for _, e := range c.endpoints {
		if e.phase == held || e.phase == yielding {
			e.startClaim()
			e.usedBeforePause = true
		}
	}
}

// updatePhases moves each endpoint to the phase that follows from the siblings, the
// grants and the time, and removes endpoints that are no longer needed.
func (c *Core) updatePhases(now time.Time) {
	live := c.updateLiveInstances()
	for endpoint, e := range c.endpoints {
		if e.generation != c.generation {
			e.preferred = Preferred(endpoint, live)
			e.generation = c.generation
		}
		preferred := ""
		if e.configured {
			preferred = e.preferred
		}
		c.updatePhase(now, e, preferred)
		if !e.configured && e.phase == unowned && e.grantedTo == "" && !now.Before(e.blockedUntil) {
			delete(c.endpoints, endpoint)
		}
	}
}

// updatePhase applies the phase transitions of one endpoint. A held endpoint is
// yielded only when the preferred owner has claimed it or it is no longer configured.
// A claim that is given up while requests from before a pause may be in flight goes to
// yielding, so that they end before the release.
func (c *Core) updatePhase(now time.Time, e *endpointState, preferred string) {
	switch e.phase {
	case unowned:
		if preferred == c.self && c.listWaitOver(now) {
			e.startClaim()
			c.statementChanged = true
		}
	case claiming:
		if preferred != c.self && e.usedBeforePause {
			e.phase = yielding
		} else if preferred != c.self {
			c.relinquish(e)
		}
	case held:
		if !e.configured || (preferred != c.self && preferred != "" && preferred == e.lastClaimant) {
			e.phase = yielding
		}
	case yielding:
		if preferred == c.self && e.usedBeforePause {
			e.startClaim()
		} else if preferred == c.self {
			e.phase = held
		}
	}
	if e.phase == claiming && c.claimComplete(now, e) {
		e.phase = held
		e.usedBeforePause = false
	}
}

// claimComplete reports whether a claimed endpoint may be used: all siblings have
// granted it, this instance has granted it to none, the wait for the platform's list is
// over and no request of an earlier owner can be in flight.
func (c *Core) claimComplete(now time.Time, e *endpointState) bool {
	if now.Before(c.usableFrom) || !c.listWaitOver(now) || e.grantedTo != "" || now.Before(e.blockedUntil) {
		return false
	}
	for instance := range c.siblings {
		if !e.grantedBy[instance] {
			return false
		}
	}
	return true
}

// listWaitOver reports whether a platform list has contained this instance or the
// wait for it has timed out.
func (c *Core) listWaitOver(now time.Time) bool {
	return c.listWaitSince.IsZero() || now.Sub(c.listWaitSince) >= c.options.ListWait
}

// updateLiveInstances returns the sorted live instances and starts a new generation
// if they have changed.
func (c *Core) updateLiveInstances() []string {
	var live []string
	if !c.leaving {
		live = append(live, c.self)
	}
	for instance, sibling := range c.siblings {
		if sibling.Live {
			live = append(live, instance)
		}
	}
	slices.Sort(live)
	if names := strings.Join(live, keySeparator); names != c.liveNames || c.generation == 0 {
		c.liveNames = names
		c.generation++
	}
	return live
}

// startClaim starts a new claim, for which grants of earlier claims do not count.
func (e *endpointState) startClaim() {
	e.lastClaimant = ""
	e.phase = claiming
	e.claimSequence = 0
	e.grantedBy = make(map[string]bool)
}

// relinquish gives up a claimed or held endpoint. The next statement releases it by
// omitting it.
func (c *Core) relinquish(e *endpointState) {
	e.phase = unowned
	e.usedBeforePause = false
	e.grantedBy = nil
	c.statementChanged = true
}

// newStatements returns, for each sibling, the statement of the endpoints that this
// instance holds or claims.
func (c *Core) newStatements(now time.Time) []Outgoing {
	c.sequence++
	c.recordSent(now)
	c.statementChanged = false
	c.lastSent = now
	statement := Statement{Instance: c.self, Incarnation: c.incarnation, Sequence: c.sequence}
	for _, endpoint := range slices.Sorted(maps.Keys(c.endpoints)) {
		e := c.endpoints[endpoint]
		if e.phase == unowned {
			continue
		}
		if e.phase != claiming {
			statement.Held = append(statement.Held, endpoint)
			continue
		}
		if e.claimSequence == 0 {
			e.claimSequence = c.sequence
		}
		statement.Claims = append(statement.Claims, endpoint)
	}
	var outgoing []Outgoing
	for _, sibling := range c.sortedSiblings() {
		outgoing = append(outgoing, Outgoing{To: sibling.Sibling, Statement: statement})
	}
	return outgoing
}

// recordSent records when the current statement is sent and drops entries that are
// older than the silence limit.
func (c *Core) recordSent(now time.Time) {
	c.sentAt[c.sequence] = now
	for sequence, sentAt := range c.sentAt {
		if now.Sub(sentAt) > c.silenceLimit() {
			delete(c.sentAt, sequence)
		}
	}
}

// HandleStatement processes a sibling's statement and returns the reply to it.
func (c *Core) HandleStatement(now time.Time, statement Statement) Reply {
	reply := Reply{Instance: c.self, Incarnation: c.incarnation, Sequence: statement.Sequence}
	if statement.Instance == c.self || statement.Incarnation == c.replaced[statement.Instance] ||
		len(statement.Held)+len(statement.Claims) > MaxEndpoints {
		return reply
	}
	sender := c.markHeard(now, statement.Instance, statement.Incarnation)
	if statement.Sequence <= sender.lastSequence {
		return reply
	}
	sender.lastSequence = statement.Sequence
	c.releaseUnnamed(statement)
	for _, endpoint := range statement.Held {
		c.grant(now, endpoint, statement.Instance)
	}
	for _, endpoint := range statement.Claims {
		if c.grant(now, endpoint, statement.Instance) {
			reply.Granted = append(reply.Granted, endpoint)
		}
	}
	for _, endpoint := range statement.namedEndpoints() {
		if c.endpoints[endpoint].mayBeInUse() {
			reply.Held = append(reply.Held, endpoint)
		}
	}
	c.updatePhases(now)
	return reply
}

// markHeard records that a statement was received and returns its sender. A new
// incarnation of the sender proves that the previous one is dead. If the sender was
// considered unresponsive, the slots stay limited until it replies to a new statement.
func (c *Core) markHeard(now time.Time, instance, incarnation string) *siblingState {
	sibling, found := c.siblings[instance]
	if found && sibling.Incarnation != "" && sibling.Incarnation != incarnation {
		link := sibling.Link
		c.recordReplacement(now, sibling)
		sibling = &siblingState{Sibling: Sibling{Instance: instance, Link: link}, ackedSentAt: now}
		c.siblings[instance] = sibling
	}
	delete(c.dead, instance)
	if !found {
		sibling = &siblingState{Sibling: Sibling{Instance: instance}}
		sibling.ackedSentAt = now
		c.siblings[instance] = sibling
	}
	if c.unresponsive[instance] {
		delete(c.unresponsive, instance)
		sibling.ackedSentAt = time.Time{}
		sibling.ackFromSequence = c.sequence + 1
	}
	sibling.Incarnation = incarnation
	sibling.lastHeard = now
	sibling.everHeard = true
	return sibling
}

// mayBeInUse reports whether this instance can have requests in flight.
func (e *endpointState) mayBeInUse() bool {
	return e.phase == held || e.phase == yielding || e.usedBeforePause
}

// namedEndpoints returns all endpoints that the statement names.
func (s *Statement) namedEndpoints() []string { return slices.Concat(s.Held, s.Claims) }

// releaseUnnamed ends the grants to the sender for endpoints that its statement omits.
func (c *Core) releaseUnnamed(statement Statement) {
	named := make(map[string]bool, len(statement.Held)+len(statement.Claims))
	for _, endpoint := range statement.namedEndpoints() {
		named[endpoint] = true
	}
	for endpoint, e := range c.endpoints {
		if e.grantedTo == statement.Instance && !named[endpoint] {
			e.grantedTo = ""
		}
	}
}

// grant grants the endpoint to the instance and reports whether it did. It refuses
// while this instance may be using the endpoint, claims it and outranks the other, has
// granted it to a third instance, or a dead sibling's requests may be in flight.
func (c *Core) grant(now time.Time, endpoint, instance string) bool {
	e := c.ensureEndpoint(endpoint)
	if e.phase == held || e.phase == yielding {
		e.lastClaimant = instance
		return false
	}
	if e.grantedTo == instance {
		return true
	}
	if e.grantedTo != "" || now.Before(e.blockedUntil) {
		return false
	}
	if e.phase == claiming {
		if e.usedBeforePause || outranks(endpoint, c.self, instance) {
			return false
		}
		c.relinquish(e)
	}
	e.grantedTo = instance
	return true
}

// HandleReply processes a sibling's reply to a statement.
func (c *Core) HandleReply(now time.Time, reply Reply) {
	sibling, found := c.siblings[reply.Instance]
	if !found || reply.Incarnation == c.replaced[reply.Instance] {
		return
	}
	if sibling.Incarnation != "" && sibling.Incarnation != reply.Incarnation {
		return
	}
	sibling.Incarnation = reply.Incarnation
	sibling.lastHeard = now
	sibling.everHeard = true
	c.recordAck(sibling, reply)
	for _, endpoint := range reply.Granted {
		e, exists := c.endpoints[endpoint]
		if exists && e.phase == claiming && e.claimSequence != 0 && e.claimSequence <= reply.Sequence {
			e.grantedBy[reply.Instance] = true
		}
	}
	c.updatePhases(now)
}

// recordAck records that the sibling has replied to a statement and which endpoints both
// instances hold. It ignores a reply to a statement that was sent longer ago than the
// silence limit, precedes the latest one that has a reply or precedes ackFromSequence.
func (c *Core) recordAck(sibling *siblingState, reply Reply) {
	sentAt, recent := c.sentAt[reply.Sequence]
	if !recent || reply.Sequence < sibling.ackFromSequence || sentAt.Before(sibling.ackedSentAt) {
		return
	}
	sibling.ackedSentAt = sentAt
	heldByBoth := make(map[string]bool, len(reply.Held))
	for _, endpoint := range reply.Held {
		heldByBoth[endpoint] = true
	}
	for endpoint, e := range c.endpoints {
		if !heldByBoth[endpoint] {
			delete(e.alsoHeldBy, reply.Instance)
			continue
		}
		if e.alsoHeldBy == nil {
			e.alsoHeldBy = make(map[string]bool)
		}
		e.alsoHeldBy[reply.Instance] = true
	}
}
