package action

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"lovagescale/internal/call"
	"lovagescale/internal/refusal"
	"lovagescale/internal/store"
	"lovagescale/internal/upstream"
)

// simulation runs cores with a faulty store, faulty links and faulty upstreams.
// Each pending operation or message is a task. The fuzzer picks the task to run
// next, so that messages overtake each other, arrive late or are lost.
type simulation struct {
	t *rapid.T
	// rng has uniform draws; those of rapid prefer small values.
	rng            *rand.Rand
	options        Options
	injectedFaults injectedFaults
	// reuseNames gives a restarted process the incarnation name of the previous one.
	reuseNames bool

	now              time.Time
	incarnationCount int
	nodes            []*node
	tasks            []*task
	delayed          []*task // messages held back until releaseDelayed
	keys             []*keyOracle
	storeEntries     map[string]store.Entry
	revision         uint64
	storeDown        bool
}

// node is an entry.
type node struct {
	id          int
	name        string // of the incarnation
	core        *Core
	writer      *JournalWriterState
	paused      bool
	unreachable map[int]bool   // nodes that this one cannot send to
	view        map[string]int // node ID by incarnation, as of the last refreshView
}

// task is a pending operation or message. It is lost when the node has restarted
// since it was enqueued. A task without a node is never lost.
type task struct {
	node *node
	core *Core
	run  func()
}

// keyOracle records what happened to one idempotency key of a workspace and what
// its callers were told.
type keyOracle struct {
	workspace, text string
	runs            int
	waitingAttempts int // attempts that were neither answered nor abandoned
	latestAttempt   *callerAttempt
	// reportedNotRun is true when the latest attempt got "not-run" and no other one
	// was waiting when it started.
	reportedNotRun bool
	reportedRan    bool
}

// callerAttempt is one request of a caller.
type callerAttempt struct {
	key  *keyOracle
	body string
	// settled is true when the caller got an answer or abandoned the attempt.
	settled bool
	// onlyWaiting is true when no other attempt of the key was waiting at its start.
	onlyWaiting bool
	// startedAfterRan is true when a caller had been told before its start that the
	// action ran.
	startedAfterRan bool
}

func newSimulation(t *rapid.T, faults injectedFaults, reuseNames bool) *simulation {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	s := &simulation{t: t, rng: rng, injectedFaults: faults, reuseNames: reuseNames, now: time.Unix(1_700_000_000, 0), storeEntries: make(map[string]store.Entry)}
	s.options = Options{Capacity: 6, Retention: 5 * time.Minute, AnswersBytes: 1200, JournalBytes: 500, JournalAnswerBytes: 300}
	for id := range 3 {
		n := &node{id: id, unreachable: make(map[int]bool)}
		s.nodes = append(s.nodes, n)
		s.startIncarnation(n)
	}
	for _, n := range s.nodes {
		s.refreshView(n)
	}
	return s
}

// startIncarnation starts or restarts the node as a new incarnation.
func (s *simulation) startIncarnation(n *node) {
	if n.name == "" || !s.reuseNames {
		s.incarnationCount++
		n.name = fmt.Sprintf("n%d-%012x", n.id, s.incarnationCount)
	}
	n.core = NewCore(n.name, s.options)
	n.core.injectedFaults = s.injectedFaults
	n.core.tombstones.capacity = 5
	n.writer = NewJournalWriterState(s.options.Retention)
	n.paused = false
	n.view = make(map[string]int)
}

// refreshView updates the node's view to the present incarnations.
func (s *simulation) refreshView(n *node) {
	n.view = make(map[string]int)
	for _, other := range s.nodes {
		n.view[other.name] = other.id
	}
}

func (n *node) isLive(incarnation string) bool {
	_, found := n.view[incarnation]
	return found
}

func (s *simulation) enqueue(n *node, run func()) {
	t := &task{node: n, run: run}
	if n != nil {
		t.core = n.core
	}
	s.tasks = append(s.tasks, t)
}

// enqueueDelayed enqueues a message, or holds it back in a third of the cases, like
// a link that resends after a partition.
func (s *simulation) enqueueDelayed(n *node, run func()) {
	if s.rng.IntN(3) > 0 {
		s.enqueue(n, run)
		return
	}
	s.delayed = append(s.delayed, &task{node: n, core: n.core, run: run})
}

// releaseDelayed enqueues one of the messages that were held back.
func (s *simulation) releaseDelayed() {
	if len(s.delayed) == 0 {
		return
	}
	i := s.rng.IntN(len(s.delayed))
	s.tasks = append(s.tasks, s.delayed[i])
	s.delayed = slices.Delete(s.delayed, i, i+1)
}

// runTask runs one pending task, unless its node is paused.
func (s *simulation) runTask() {
	if len(s.tasks) == 0 {
		return
	}
	i := s.rng.IntN(len(s.tasks))
	t := s.tasks[i]
	if t.node != nil && t.node.core == t.core && t.node.paused {
		return
	}
	s.tasks = slices.Delete(s.tasks, i, i+1)
	if t.node == nil || t.node.core == t.core {
		t.run()
	}
}

// newKey adds a key without an owner, with an owner, or with an owner and a stamp,
// for each of two workspaces.
func (s *simulation) newKey() {
	n := s.anyNode()
	text := fmt.Sprintf("plain%d", len(s.keys))
	switch s.rng.IntN(4) {
	case 1:
		text = n.name + "." + text
	case 2, 3:
		text = OwnerToken(n.name, s.now) + "." + text
	}
	s.keys = append(s.keys, &keyOracle{workspace: "azul", text: text}, &keyOracle{workspace: "verde", text: text})
}

func (s *simulation) anyNode() *node { return s.nodes[s.rng.IntN(len(s.nodes))] }

// send starts an attempt of a recent key at a node. In a tenth of the cases the
// request is refused before it reaches the core. In a quarter of the other cases
// the caller abandons the attempt at some later time.
func (s *simulation) send() {
	if len(s.keys) == 0 {
		s.newKey()
	}
	recent := s.keys[max(0, len(s.keys)-6):]
	key := recent[s.rng.IntN(len(recent))]
	n := s.anyNode()
	if n.paused {
		return
	}
	attempt := &callerAttempt{key: key, body: "body", onlyWaiting: key.waitingAttempts == 0, startedAfterRan: key.reportedRan}
	key.latestAttempt = attempt
	if s.rng.IntN(10) == 0 {
		attempt.body = "other body"
	}
	key.waitingAttempts++
	key.reportedNotRun = false
	if s.rng.IntN(10) == 0 {
		s.checkAnswer(attempt, Step{Kind: StepDone, Refused: refusal.New(429, refusal.RateExceeded, n.core.RefusalOutcome(key.workspace, key.text), "")})
		return
	}
	s.begin(n, attempt, nil, func(step Step) { s.checkAnswer(attempt, step) })
	if s.rng.IntN(4) == 0 {
		s.enqueue(nil, func() { s.abandon(attempt) })
	}
}

func (s *simulation) abandon(attempt *callerAttempt) {
	if !attempt.settled {
		attempt.settled = true
		attempt.key.waitingAttempts--
	}
}

// checkAnswer checks the answer that the caller got, unless the attempt is settled.
func (s *simulation) checkAnswer(attempt *callerAttempt, step Step) {
	if attempt.settled {
		return
	}
	attempt.settled = true
	key := attempt.key
	key.waitingAttempts--
	outcome := refusal.Ran
	if step.Refused != nil {
		outcome = step.Refused.Outcome
	} else if string(step.Result.Answer.Body) != key.workspace+key.text+attempt.body {
		s.t.Fatalf("key %q got the answer %q", key.text, step.Result.Answer.Body)
	}
	if outcome == refusal.NotRun && attempt.startedAfterRan {
		s.t.Fatalf("key %q was answered and then reported as not-run", key.text)
	}
	key.reportedRan = key.reportedRan || outcome == refusal.Ran
	key.reportedNotRun = outcome == refusal.NotRun && attempt.onlyWaiting && key.latestAttempt == attempt
}

func (s *simulation) begin(n *node, caller *callerAttempt, forwardInfo *ForwardInfo, reply func(Step)) {
	c := &call.Call{Workspace: caller.key.workspace, IdempotencyKey: caller.key.text,
		Request: upstream.Request{Method: "POST", Target: "/send", Body: []byte(caller.body)}}
	attempt, step := n.core.Begin(s.now, c, n.isLive, forwardInfo)
	s.executeStep(n, attempt, caller, step, reply)
}

// executeStep carries out a step. An attempt that its caller has abandoned neither
// starts the action nor forwards the call any more.
func (s *simulation) executeStep(n *node, attempt *Attempt, caller *callerAttempt, step Step, reply func(Step)) {
	next := func(step Step) { s.executeStep(n, attempt, caller, step, reply) }
	switch step.Kind {
	case StepDone:
		reply(step)
	case StepRun:
		s.enqueue(n, func() { s.runUpstream(n, attempt, caller, next) })
	case StepForward:
		s.enqueue(n, func() { s.forward(n, attempt, caller, step, next) })
	case StepClaim:
		s.enqueue(n, func() { s.claim(n, attempt, next) })
	case StepReadClaim:
		s.enqueue(n, func() {
			entry, err := s.get(attempt.ClaimKey())
			next(attempt.ClaimReadDone(s.now, entry, err, n.isLive))
		})
	case StepReadJournal:
		s.enqueue(n, func() { next(attempt.JournalReadDone(s.readJournal(step.Owner))) })
	}
}

// runUpstream runs an action or fails to. The answer may be lost, and the entry may
// restart before or after the run.
func (s *simulation) runUpstream(n *node, attempt *Attempt, caller *callerAttempt, next func(Step)) {
	key := caller.key
	finish := func(result *call.Result, err error) {
		s.enqueue(n, func() { next(attempt.RunDone(s.now, result, err)) })
	}
	status, kind := 200, s.rng.IntN(6)
	answer := &upstream.Answer{Status: status, Body: []byte(key.workspace + key.text + caller.body)}
	switch {
	case caller.settled && attempt.forwardInfo == nil:
		next(attempt.RunDone(s.now, nil, refuseAbandoned()))
	case kind == 0: // no free slot, or no connection
		finish(nil, refusal.New(503, refusal.NoCapacity, refusal.NotRun, ""))
	case kind == 1: // the upstream states that it did no work
		finish(&call.Result{Answer: &upstream.Answer{Status: 503, Header: map[string][]string{upstream.HeaderOutcome: {upstream.OutcomeNotRun}}}}, nil)
	case kind == 2: // the request crashes the endpoint, or its answer is lost
		s.enqueue(nil, func() { s.recordRun(key) })
		finish(nil, refusal.New(502, refusal.UpstreamFailed, refusal.Unknown, ""))
	default:
		s.recordRun(key)
		finish(&call.Result{Answer: answer}, nil)
	}
}

func (s *simulation) recordRun(key *keyOracle) {
	key.runs++
	if key.runs > 1 {
		s.t.Fatalf("key %q of %s ran %d times", key.text, key.workspace, key.runs)
	}
}

// forward sends an attempt to the owner. The sender may give up at any time, and
// the message may arrive after that.
func (s *simulation) forward(n *node, attempt *Attempt, caller *callerAttempt, step Step, next func(Step)) {
	settled := false
	settle := func(r *Reply, err error) {
		if !settled {
			settled = true
			next(attempt.ForwardDone(r, err))
		}
	}
	id, found := n.view[step.Owner]
	if !found || caller.settled {
		settle(nil, &OwnerGoneError{Owner: step.Owner})
		return
	}
	owner := s.nodes[id]
	if !n.unreachable[id] {
		s.enqueueDelayed(owner, func() {
			s.begin(owner, caller, &ForwardInfo{Owner: step.Owner, TombstoneSequence: step.TombstoneSequence}, func(done Step) {
				r := &Reply{Result: done.Result, Refused: done.Refused, Stale: done.Stale, TombstoneSequence: owner.core.TombstoneSequence()}
				s.enqueue(n, func() {
					if !owner.unreachable[n.id] && !(r.Stale && caller.settled) {
						settle(r, nil)
					}
				})
			})
		})
	}
	s.enqueue(n, func() { settle(nil, &OwnerGoneError{Owner: step.Owner}) })
}

// check fails if a key that was reported as "not-run" has run.
func (s *simulation) check() {
	for _, key := range s.keys {
		if key.reportedNotRun && key.runs > 0 {
			s.t.Fatalf("key %q of %s was reported as not-run and ran", key.text, key.workspace)
		}
	}
}
