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

// world drives cores over a faulty store, faulty links and faulty upstreams.
// Everything in flight is a job; the fuzzer picks which one happens next, so
// that messages cross, are late or are lost.
type world struct {
	t *rapid.T
	// random draws without rapid's preference for small values.
	random  *rand.Rand
	options Options
	faults  broken
	// reuseNames gives a restarted process the name of the last one.
	reuseNames bool

	now       time.Time
	serial    int
	nodes     []*node
	jobs      []*job
	late      []*job // messages that are held up
	keys      []*actionKey
	entries   map[string]store.Entry
	revision  uint64
	storeDown bool
}

type node struct {
	id     int
	name   string
	core   *Core
	writer *Writer
	paused bool
	cut    map[int]bool // other nodes that cannot be reached
	view   map[string]int
}

// job is an event in flight. It is lost when its node has died; without a node
// it happens anywhere.
type job struct {
	at   *node
	core *Core
	run  func()
}

// actionKey is the oracle of one workspace and key.
type actionKey struct {
	workspace, text string
	runs            int
	waiting         int // tries without an answer that were not abandoned
	last            *clientTry
	lastNotRun      bool
	saidRan         bool
}

// clientTry is one try of a caller.
type clientTry struct {
	key       *actionKey
	body      string
	abandoned bool
	// alone is true when no other try of the key was waiting at its start.
	alone bool
	// afterRan is true when the caller knew at its start that the action ran.
	afterRan bool
}

func newWorld(t *rapid.T, faults broken, reuseNames bool) *world {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	w := &world{t: t, random: random, faults: faults, reuseNames: reuseNames, now: time.Unix(1_700_000_000, 0), entries: make(map[string]store.Entry)}
	w.options = Options{Capacity: 6, Retention: 5 * time.Minute, AnswersBytes: 1200, JournalBytes: 500, JournalAnswerBytes: 300}
	for id := range 3 {
		n := &node{id: id, cut: make(map[int]bool)}
		w.nodes = append(w.nodes, n)
		w.boot(n)
	}
	for _, n := range w.nodes {
		w.gossip(n)
	}
	return w
}

// boot starts a new incarnation.
func (w *world) boot(n *node) {
	if n.name == "" || !w.reuseNames {
		w.serial++
		n.name = fmt.Sprintf("n%d-%012x", n.id, w.serial)
	}
	n.core = NewCore(n.name, w.options)
	n.core.broken = w.faults
	n.core.refused.limit = 5
	n.writer = NewWriter(w.options.Retention)
	n.paused = false
	n.view = make(map[string]int)
}

func (w *world) gossip(n *node) {
	n.view = make(map[string]int)
	for _, other := range w.nodes {
		n.view[other.name] = other.id
	}
}

func (n *node) visible(incarnation string) bool {
	_, found := n.view[incarnation]
	return found
}

func (w *world) post(n *node, run func()) {
	j := &job{at: n, run: run}
	if n != nil {
		j.core = n.core
	}
	w.jobs = append(w.jobs, j)
}

// postLate holds some messages up, like a link that sends again after a cut.
func (w *world) postLate(n *node, run func()) {
	if w.random.IntN(3) > 0 {
		w.post(n, run)
		return
	}
	w.late = append(w.late, &job{at: n, core: n.core, run: run})
}

// release lets one message that was held up go on.
func (w *world) release() {
	if len(w.late) == 0 {
		return
	}
	i := w.random.IntN(len(w.late))
	w.jobs = append(w.jobs, w.late[i])
	w.late = slices.Delete(w.late, i, i+1)
}

// step makes one event in flight happen.
func (w *world) step() {
	if len(w.jobs) == 0 {
		return
	}
	i := w.random.IntN(len(w.jobs))
	j := w.jobs[i]
	if j.at != nil && j.at.core == j.core && j.at.paused {
		return
	}
	w.jobs = slices.Delete(w.jobs, i, i+1)
	if j.at == nil || j.at.core == j.core {
		j.run()
	}
}

func (w *world) newKey() {
	n := w.anyNode()
	text := fmt.Sprintf("plain%d", len(w.keys))
	switch w.random.IntN(4) {
	case 1:
		text = n.name + "." + text
	case 2, 3:
		text = OwnerToken(n.name, w.now) + "." + text
	}
	w.keys = append(w.keys, &actionKey{workspace: "azul", text: text}, &actionKey{workspace: "verde", text: text})
}

func (w *world) anyNode() *node { return w.nodes[w.random.IntN(len(w.nodes))] }

func (w *world) send() {
	if len(w.keys) == 0 {
		w.newKey()
	}
	recent := w.keys[max(0, len(w.keys)-6):]
	key := recent[w.random.IntN(len(recent))]
	n := w.anyNode()
	if n.paused {
		return
	}
	try := &clientTry{key: key, body: "body", alone: key.waiting == 0, afterRan: key.saidRan}
	key.last = try
	if w.random.IntN(10) == 0 {
		try.body = "other body"
	}
	key.waiting++
	key.lastNotRun = false
	if w.random.IntN(10) == 0 {
		w.answer(try, Step{Kind: Ended, Refused: refusal.New(429, refusal.RateExceeded, n.core.Vouch(key.workspace, key.text), "")})
		return
	}
	w.begin(n, try, nil, func(s Step) { w.answer(try, s) })
	if w.random.IntN(4) == 0 {
		w.post(nil, func() { w.abandon(try) })
	}
}

func (w *world) abandon(try *clientTry) {
	if !try.abandoned {
		try.abandoned = true
		try.key.waiting--
	}
}

// answer takes what the caller got, unless it has gone.
func (w *world) answer(try *clientTry, s Step) {
	if try.abandoned {
		return
	}
	try.abandoned = true
	key := try.key
	key.waiting--
	outcome := refusal.Ran
	if s.Refused != nil {
		outcome = s.Refused.Outcome
	} else if string(s.Result.Answer.Body) != key.workspace+key.text+try.body {
		w.t.Fatalf("key %q got the answer %q", key.text, s.Result.Answer.Body)
	}
	if outcome == refusal.NotRun && try.afterRan {
		w.t.Fatalf("key %q was answered and is then said to be not-run", key.text)
	}
	key.saidRan = key.saidRan || outcome == refusal.Ran
	key.lastNotRun = outcome == refusal.NotRun && try.alone && key.last == try
}

func (w *world) begin(n *node, try *clientTry, handed *Handed, reply func(Step)) {
	c := &call.Call{Workspace: try.key.workspace, IdempotencyKey: try.key.text,
		Request: upstream.Request{Method: "POST", Target: "/send", Body: []byte(try.body)}}
	t, s := n.core.Begin(w.now, c, n.visible, handed)
	w.carryOut(n, t, try, s, reply)
}

// carryOut does what a step asks for. A try that its caller gave up starts and
// sends nothing more.
func (w *world) carryOut(n *node, t *Try, try *clientTry, s Step, reply func(Step)) {
	next := func(s Step) { w.carryOut(n, t, try, s, reply) }
	switch s.Kind {
	case Ended:
		reply(s)
	case Run:
		w.post(n, func() { w.runUpstream(n, t, try, next) })
	case Forward:
		w.post(n, func() { w.forward(n, t, try, s, next) })
	case Claim:
		w.post(n, func() { w.claim(n, t, next) })
	case ReadClaim:
		w.post(n, func() {
			entry, err := w.get(t.ClaimKey())
			next(t.ClaimRead(w.now, entry, err, n.visible))
		})
	case ReadJournal:
		w.post(n, func() { next(t.JournalRead(w.readJournal(s.Owner))) })
	}
}

// runUpstream runs an action, or fails to; the answer may be lost, and the
// entry may die before or after it.
func (w *world) runUpstream(n *node, t *Try, try *clientTry, next func(Step)) {
	key := try.key
	end := func(result *call.Result, err error) {
		w.post(n, func() { next(t.Ran(w.now, result, err)) })
	}
	status, kind := 200, w.random.IntN(6)
	answer := &upstream.Answer{Status: status, Body: []byte(key.workspace + key.text + try.body)}
	switch {
	case try.abandoned && t.handed == nil:
		next(t.Ran(w.now, nil, refuseAbandoned()))
	case kind == 0: // no slot, or no connection
		end(nil, refusal.New(503, refusal.NoCapacity, refusal.NotRun, ""))
	case kind == 1: // documented refusal before work
		end(&call.Result{Answer: &upstream.Answer{Status: 503, Header: map[string][]string{upstream.HeaderOutcome: {upstream.OutcomeNotRun}}}}, nil)
	case kind == 2: // the request crashes the endpoint, or its answer is lost
		w.post(nil, func() { w.ran(key) })
		end(nil, refusal.New(502, refusal.UpstreamFailed, refusal.Unknown, ""))
	default:
		w.ran(key)
		end(&call.Result{Answer: answer}, nil)
	}
}

func (w *world) ran(key *actionKey) {
	key.runs++
	if key.runs > 1 {
		w.t.Fatalf("key %q of %s ran %d times", key.text, key.workspace, key.runs)
	}
}

// forward hands a try to its owner. The sender may give up at any time, and
// the message may arrive after that.
func (w *world) forward(n *node, t *Try, try *clientTry, s Step, next func(Step)) {
	settled := false
	settle := func(r *Reply, err error) {
		if !settled {
			settled = true
			next(t.Forwarded(r, err))
		}
	}
	id, found := n.view[s.Owner]
	if !found || try.abandoned {
		settle(nil, &OwnerGoneError{Owner: s.Owner})
		return
	}
	owner := w.nodes[id]
	if !n.cut[id] {
		w.postLate(owner, func() {
			w.begin(owner, try, &Handed{Owner: s.Owner, Reading: s.Reading}, func(done Step) {
				r := &Reply{Result: done.Result, Refused: done.Refused, Stale: done.Stale, Reading: owner.core.Reading()}
				w.post(n, func() {
					if !owner.cut[n.id] && !(r.Stale && try.abandoned) {
						settle(r, nil)
					}
				})
			})
		})
	}
	w.post(n, func() { settle(nil, &OwnerGoneError{Owner: s.Owner}) })
}

// check compares what callers were told with what ran.
func (w *world) check() {
	for _, key := range w.keys {
		if key.lastNotRun && key.runs > 0 {
			w.t.Fatalf("key %q of %s is said to be not-run and ran", key.text, key.workspace)
		}
	}
}
