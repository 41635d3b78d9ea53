package joint

import (
	"fmt"
	"time"

	"lovagescale/internal/action"
	"lovagescale/internal/call"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// outcome takes what a stage of a request came to.
type outcome func(*call.Result, error)

// send is one try of a caller, of a new key or of a recent one.
func (f *fleet) send(n *node) {
	if !n.up() {
		return
	}
	if len(f.keys) == 0 || f.draw(3) == 0 {
		f.keys = append(f.keys, f.newKey())
	}
	recent := f.keys[max(0, len(f.keys)-4):]
	k := recent[f.draw(len(recent))]
	k.open++
	k.notRun = false
	settled := false
	settle := func(s action.Step) {
		if settled {
			return
		}
		settled = true
		k.open--
		f.told(k, s)
	}
	f.serve(n, k, nil, settle)
	// A caller that gives up learns nothing; its request may still run.
	f.at(nil, bound, func() {
		if !settled {
			settled = true
			f.at(nil, 2*bound, func() { k.open-- })
		}
	})
}

func (f *fleet) newKey() *key {
	owner := f.nodes[f.draw(len(f.nodes))]
	text := fmt.Sprintf("key%d", f.serial)
	if f.draw(4) > 0 {
		text = action.OwnerToken(owner.incarnation, f.now) + "." + text
	}
	return &key{text: text}
}

// told checks an answer against what is known of the key.
func (f *fleet) told(k *key, s action.Step) {
	if s.Refused == nil || s.Refused.Outcome == refusal.Ran {
		k.answered = true
		return
	}
	if s.Refused.Outcome == refusal.NotRun && k.open == 0 {
		k.notRun = true
	}
}

// check compares what callers were told with what ran.
func (f *fleet) check() {
	for _, k := range f.keys {
		if k.runs > 1 {
			f.fail("key %q ran %d times", k.text, k.runs)
		}
		if k.notRun && k.open == 0 && k.runs > 0 {
			f.fail("key %q is said to be not-run and ran", k.text)
		}
	}
}

// serve takes a try through the at-most-once stage of a node.
func (f *fleet) serve(n *node, k *key, handed *action.ForwardInfo, reply func(action.Step)) {
	visible := func(incarnation string) bool { return f.locate(n, incarnation) != nil }
	t, s := n.actions.Begin(f.now, k.call(), visible, handed)
	f.carryOut(n, k, t, s, reply)
}

// locate returns the node that n believes to run the incarnation.
func (f *fleet) locate(n *node, incarnation string) *node {
	for _, other := range f.nodes {
		reachable := other.zone == n.zone || !f.cut[n.zone] && !f.cut[other.zone]
		if other.up() && other.incarnation == incarnation && reachable {
			return other
		}
	}
	return nil
}

func (f *fleet) carryOut(n *node, k *key, t *action.Attempt, s action.Step, reply func(action.Step)) {
	next := func(s action.Step) { f.carryOut(n, k, t, s, reply) }
	switch s.Kind {
	case action.StepDone:
		reply(s)
	case action.StepRun:
		f.route(n, k, 0, func(result *call.Result, err error) { next(t.RunDone(f.now, result, err)) })
	case action.StepForward:
		f.forward(n, k, t, s, next)
	case action.StepClaim:
		write, err := t.ClaimWrite(f.now)
		if err == nil {
			_, err = f.set(n, write)
		}
		f.later(n, false, func() { next(t.ClaimDone(f.now, err)) })
	case action.StepReadClaim:
		entry, err := f.get(n, t.ClaimKey())
		visible := func(incarnation string) bool { return f.locate(n, incarnation) != nil }
		f.later(n, false, func() { next(t.ClaimReadDone(f.now, entry, err, visible)) })
	case action.StepReadJournal:
		journal := f.readJournal(n, s.Owner)
		f.later(n, false, func() { next(t.JournalReadDone(journal)) })
	}
}

func (f *fleet) readJournal(n *node, owner string) *action.Journal {
	entry, err := f.get(n, action.JournalKey(owner))
	if err != nil {
		return nil
	}
	journal, err := action.DecodeJournal(entry.Value)
	if err != nil {
		f.fail("journal of %s: %v", owner, err)
	}
	return journal
}

// forward hands a try to the owner of its key.
func (f *fleet) forward(n *node, k *key, t *action.Attempt, s action.Step, next func(action.Step)) {
	settled := false
	settle := func(r *action.Reply, err error) {
		if !settled {
			settled = true
			next(t.ForwardDone(r, err))
		}
	}
	f.at(n, bound, func() { settle(nil, &action.OwnerGoneError{Owner: s.Owner}) })
	owner := f.locate(n, s.Owner)
	if owner == nil {
		return
	}
	f.message(n, owner, func() {
		handed := &action.ForwardInfo{Owner: s.Owner, TombstoneSequence: s.TombstoneSequence}
		f.serve(owner, k, handed, func(done action.Step) {
			r := &action.Reply{Result: done.Result, Refused: done.Refused, Stale: done.Stale, TombstoneSequence: owner.actions.TombstoneSequence()}
			f.message(owner, n, func() { settle(r, nil) })
		})
	})
}

// route runs a started action at an endpoint that the node holds, or hands it
// to a sibling once.
func (f *fleet) route(n *node, k *key, hops int, done outcome) {
	if e := f.free(n); e != nil {
		f.run(n, e, k, done)
		return
	}
	sibling := f.sibling(n)
	if hops > 0 || sibling == nil {
		done(nil, notRun())
		return
	}
	settled := false
	settle := func(result *call.Result, err error) {
		if !settled {
			settled = true
			done(result, err)
		}
	}
	f.at(n, bound, func() {
		if f.broken.softened {
			settle(nil, notRun())
		}
		settle(nil, unknown())
	})
	f.message(n, sibling, func() {
		f.route(sibling, k, hops+1, func(result *call.Result, err error) {
			f.message(sibling, n, func() { settle(result, err) })
		})
	})
}

func (f *fleet) sibling(n *node) *node {
	for _, other := range f.nodes {
		if other != n && other.zone == n.zone && other.up() {
			return other
		}
	}
	return nil
}

// free returns an endpoint of the node with a free slot.
func (f *fleet) free(n *node) *endpoint {
	if f.now.After(n.owners.Expiry()) {
		return nil
	}
	held := n.owners.Held()
	for _, e := range f.endpoints {
		mine := f.broken.shared && e.zone == n.zone
		for _, name := range held {
			mine = mine || name == e.name
		}
		if mine && n.inFlight[e.name] < slots {
			return e
		}
	}
	return nil
}

// run runs an action at an endpoint; its answer may be lost.
func (f *fleet) run(n *node, e *endpoint, k *key, done outcome) {
	takes := time.Duration(1+f.draw(int(bound/tick))) * tick
	f.arrive(n, e, k, takes)
	n.inFlight[e.name]++
	f.at(n, takes, func() {
		n.inFlight[e.name]--
		if f.draw(6) > 0 {
			done(&call.Result{Answer: &upstream.Answer{Status: 200, Body: []byte("done")}}, nil)
			return
		}
		if f.broken.repeated {
			f.arrive(n, e, k, takes)
		}
		done(nil, unknown())
	})
}

// arrive is the endpoint's side.
func (f *fleet) arrive(n *node, e *endpoint, k *key, takes time.Duration) {
	k.runs++
	f.ran++
	e.works = append(e.works, &work{process: n.process, ends: f.now.Add(takes)})
	running := 0
	for _, w := range e.works {
		if w.ends.After(f.now) {
			running++
		}
	}
	if running > slots {
		f.fail("endpoint %q runs %d requests on %d slots", e.name, running, slots)
	}
}
