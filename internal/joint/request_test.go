package joint

import (
	"fmt"
	"time"

	"lovagescale/internal/action"
	"lovagescale/internal/call"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// resultHandler handles the result or the error of a request.
type resultHandler func(*call.Result, error)

// sendAttempt sends one attempt of a caller to a node, with a new key or one of the last
// four.
func (sim *simulation) sendAttempt(n *node) {
	if !n.isRunning() {
		return
	}
	if len(sim.keys) == 0 || sim.draw(3) == 0 {
		sim.keys = append(sim.keys, sim.newKey())
	}
	recent := sim.keys[max(0, len(sim.keys)-4):]
	k := recent[sim.draw(len(recent))]
	k.openAttempts++
	k.reportedNotRun = false
	completed := false
	complete := func(s action.Step) {
		if completed {
			return
		}
		completed = true
		k.openAttempts--
		sim.recordAnswer(k, s)
	}
	sim.serveAttempt(n, k, nil, complete)
	// A caller that abandons its attempt gets no answer, but the action may still run
	// for some time.
	sim.schedule(nil, requestTimeout, func() {
		if !completed {
			completed = true
			sim.schedule(nil, 2*requestTimeout, func() { k.openAttempts-- })
		}
	})
}

func (sim *simulation) newKey() *keyOracle {
	owner := sim.nodes[sim.draw(len(sim.nodes))]
	text := fmt.Sprintf("key%d", sim.lastID)
	if sim.draw(4) > 0 {
		text = action.OwnerToken(owner.incarnation, sim.now) + "." + text
	}
	return &keyOracle{idempotencyKey: text}
}

// recordAnswer records what a caller was told about its action.
func (sim *simulation) recordAnswer(k *keyOracle, step action.Step) {
	if step.Refused == nil || step.Refused.Outcome == refusal.Ran {
		k.reportedRan = true
		return
	}
	if step.Refused.Outcome == refusal.NotRun && k.openAttempts == 0 {
		k.reportedNotRun = true
	}
}

// checkOracles checks that no action ran twice and that none ran that was last reported
// as not-run.
func (sim *simulation) checkOracles() {
	for _, k := range sim.keys {
		if k.runCount > 1 {
			sim.recordViolation("key %q ran %d times", k.idempotencyKey, k.runCount)
		}
		if k.reportedNotRun && k.openAttempts == 0 && k.runCount > 0 {
			sim.recordViolation("key %q was reported as not-run but ran", k.idempotencyKey)
		}
	}
}

// serveAttempt passes an attempt through the at-most-once stage of a node.
func (sim *simulation) serveAttempt(n *node, k *keyOracle, forwardInfo *action.ForwardInfo, reply func(action.Step)) {
	isLive := func(incarnation string) bool { return sim.findNode(n, incarnation) != nil }
	attempt, step := n.actionCore.Begin(sim.now, k.newCall(), isLive, forwardInfo)
	sim.executeStep(n, k, attempt, step, reply)
}

// findNode returns the node that runs the incarnation, if n can reach it.
func (sim *simulation) findNode(n *node, incarnation string) *node {
	for _, other := range sim.nodes {
		reachable := other.zone == n.zone || !sim.partitionedZones[n.zone] && !sim.partitionedZones[other.zone]
		if other.isRunning() && other.incarnation == incarnation && reachable {
			return other
		}
	}
	return nil
}

func (sim *simulation) executeStep(n *node, k *keyOracle, attempt *action.Attempt, step action.Step, reply func(action.Step)) {
	next := func(step action.Step) { sim.executeStep(n, k, attempt, step, reply) }
	switch step.Kind {
	case action.StepDone:
		reply(step)
	case action.StepRun:
		sim.routeAction(n, k, 0, func(result *call.Result, err error) { next(attempt.RunDone(sim.now, result, err)) })
	case action.StepForward:
		sim.forward(n, k, attempt, step, next)
	case action.StepClaim:
		write, err := attempt.ClaimWrite(sim.now)
		if err == nil {
			_, err = sim.storeCompareAndSet(n, write)
		}
		sim.scheduleAfterRandomDelay(n, false, func() { next(attempt.ClaimDone(sim.now, err)) })
	case action.StepReadClaim:
		entry, err := sim.storeGet(n, attempt.ClaimKey())
		isLive := func(incarnation string) bool { return sim.findNode(n, incarnation) != nil }
		sim.scheduleAfterRandomDelay(n, false, func() { next(attempt.ClaimReadDone(sim.now, entry, err, isLive)) })
	case action.StepReadJournal:
		journal := sim.readJournal(n, step.Owner)
		sim.scheduleAfterRandomDelay(n, false, func() { next(attempt.JournalReadDone(journal)) })
	}
}

func (sim *simulation) readJournal(n *node, owner string) *action.Journal {
	entry, err := sim.storeGet(n, action.JournalKey(owner))
	if err != nil {
		return nil
	}
	journal, err := action.DecodeJournal(entry.Value)
	if err != nil {
		sim.recordViolation("journal of %s: %v", owner, err)
	}
	return journal
}

// forward forwards an attempt to the owner of its key.
func (sim *simulation) forward(n *node, k *keyOracle, attempt *action.Attempt, step action.Step, next func(action.Step)) {
	completed := false
	complete := func(r *action.Reply, err error) {
		if !completed {
			completed = true
			next(attempt.ForwardDone(r, err))
		}
	}
	sim.schedule(n, requestTimeout, func() { complete(nil, &action.OwnerGoneError{Owner: step.Owner}) })
	owner := sim.findNode(n, step.Owner)
	if owner == nil {
		return
	}
	sim.sendMessage(n, owner, func() {
		forwardInfo := &action.ForwardInfo{Owner: step.Owner, TombstoneSequence: step.TombstoneSequence}
		sim.serveAttempt(owner, k, forwardInfo, func(done action.Step) {
			r := &action.Reply{Result: done.Result, Refused: done.Refused, Stale: done.Stale, TombstoneSequence: owner.actionCore.TombstoneSequence()}
			sim.sendMessage(owner, n, func() { complete(r, nil) })
		})
	})
}

// routeAction runs a started action at an endpoint that the node holds. Without a free
// slot it hands the action over to a sibling, at most once.
func (sim *simulation) routeAction(n *node, k *keyOracle, hops int, done resultHandler) {
	if e := sim.freeEndpoint(n); e != nil {
		sim.runAction(n, e, k, done)
		return
	}
	sibling := sim.sibling(n)
	if hops > 0 || sibling == nil {
		done(nil, notRunRefusal())
		return
	}
	completed := false
	complete := func(result *call.Result, err error) {
		if !completed {
			completed = true
			done(result, err)
		}
	}
	sim.schedule(n, requestTimeout, func() {
		if sim.faults.lostHandoverIsNotRun {
			complete(nil, notRunRefusal())
		}
		complete(nil, unknownRefusal())
	})
	sim.sendMessage(n, sibling, func() {
		sim.routeAction(sibling, k, hops+1, func(result *call.Result, err error) {
			sim.sendMessage(sibling, n, func() { complete(result, err) })
		})
	})
}

func (sim *simulation) sibling(n *node) *node {
	for _, other := range sim.nodes {
		if other != n && other.zone == n.zone && other.isRunning() {
			return other
		}
	}
	return nil
}

// freeEndpoint returns an endpoint with a free slot that the node may use, or nil.
func (sim *simulation) freeEndpoint(n *node) *endpoint {
	if sim.now.After(n.ownershipCore.Expiry()) {
		return nil
	}
	held := n.ownershipCore.Held()
	for _, e := range sim.endpoints {
		allowed := sim.faults.ignoreOwnership && e.zone == n.zone
		for _, name := range held {
			allowed = allowed || name == e.name
		}
		if allowed && n.inFlight[e.name] < slotsPerEndpoint {
			return e
		}
	}
	return nil
}

// runAction runs an action at an endpoint. One answer of six is lost.
func (sim *simulation) runAction(n *node, e *endpoint, k *keyOracle, done resultHandler) {
	duration := time.Duration(1+sim.draw(int(requestTimeout/tickInterval))) * tickInterval
	sim.startAtEndpoint(n, e, k, duration)
	n.inFlight[e.name]++
	sim.schedule(n, duration, func() {
		n.inFlight[e.name]--
		if sim.draw(6) > 0 {
			done(&call.Result{Answer: &upstream.Answer{Status: 200, Body: []byte("done")}}, nil)
			return
		}
		if sim.faults.resendAfterLostAnswer {
			sim.startAtEndpoint(n, e, k, duration)
		}
		done(nil, unknownRefusal())
	})
}

// startAtEndpoint starts an action at an endpoint and checks the limit of its slots.
func (sim *simulation) startAtEndpoint(n *node, e *endpoint, k *keyOracle, duration time.Duration) {
	k.runCount++
	sim.runCount++
	e.requests = append(e.requests, &endpointRequest{processID: n.processID, endsAt: sim.now.Add(duration)})
	inProgress := 0
	for _, request := range e.requests {
		if request.endsAt.After(sim.now) {
			inProgress++
		}
	}
	if inProgress > slotsPerEndpoint {
		sim.recordViolation("endpoint %q runs %d requests on %d slots", e.name, inProgress, slotsPerEndpoint)
	}
}
