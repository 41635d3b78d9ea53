package joint

import (
	"fmt"
	"slices"
	"time"

	"lovagescale/internal/action"
	"lovagescale/internal/call"
	"lovagescale/internal/ownership"
	"lovagescale/internal/refusal"
	"lovagescale/internal/store"
	"lovagescale/internal/upstream"
)

const (
	slots = 2
	// bound is the longest that a request takes and that a caller waits.
	bound = 1500 * time.Millisecond
	// cancelMargin is how long an endpoint goes on with a closed connection.
	cancelMargin = 200 * time.Millisecond
	tick         = 50 * time.Millisecond
	maxDelay     = 40 // ticks of 5 ms
)

// broken are faults between the cores that the fuzzing must find.
type broken struct {
	// reusedName gives a new process the incarnation of the last one.
	reusedName bool
	// softened takes a lost hand-over for "not-run".
	softened bool
	// shared lets every entry of a zone use every endpoint.
	shared bool
	// repeated sends an action again after a lost answer.
	repeated bool
	// hasty takes a paused process for a dead one.
	hasty bool
}

// fleet is the model.
type fleet struct {
	now       time.Time
	draw      func(n int) int
	broken    broken
	nodes     []*node
	endpoints []*endpoint
	keys      []*key
	events    []event
	serial    int
	entries   map[string]store.Entry
	revision  uint64
	storeDown bool
	cut       map[string]bool
	ran       int
	violation string
}

// node is one entry instance; its cores are nil while it is down.
type node struct {
	instance, zone string
	incarnation    string
	process        int // differs for each start
	actions        *action.Core
	journal        *action.JournalWriterState
	owners         *ownership.Core
	inFlight       map[string]int
	paused         bool
	nextTick       time.Time
	died           string // the last incarnation that was killed
}

func (n *node) up() bool { return n.actions != nil && !n.paused }

type endpoint struct {
	name, zone string
	works      []*work
}

// work is one request as its endpoint sees it.
type work struct {
	process int
	ends    time.Time
}

// event happens at a node's process, or anywhere if node is nil.
type event struct {
	at      time.Time
	rank    int
	node    *node
	process int
	do      func()
}

// key is the oracle of one action.
type key struct {
	text     string
	runs     int
	open     int
	notRun   bool
	answered bool
}

func newFleet(draw func(n int) int, faults broken) *fleet {
	f := &fleet{now: time.Unix(1_700_000_000, 0), draw: draw, broken: faults,
		entries: make(map[string]store.Entry), cut: make(map[string]bool)}
	for _, zone := range []string{"z0", "z1"} {
		for i := range 2 {
			f.endpoints = append(f.endpoints, &endpoint{name: fmt.Sprintf("%s-e%d", zone, i), zone: zone})
			f.nodes = append(f.nodes, &node{instance: fmt.Sprintf("%s-n%d", zone, i), zone: zone})
		}
	}
	for _, n := range f.nodes {
		f.boot(n)
	}
	f.advance(10 * time.Second)
	return f
}

func (f *fleet) boot(n *node) {
	f.serial++
	n.process = f.serial
	if n.incarnation == "" || !f.broken.reusedName {
		n.incarnation = fmt.Sprintf("%s-%d", n.instance, f.serial)
	}
	n.actions = action.NewCore(n.incarnation, action.Options{Capacity: 100, Retention: 10 * time.Minute})
	n.journal = action.NewJournalWriterState(10 * time.Minute)
	n.owners = ownership.New(f.now, n.instance, fmt.Sprintf("%s-%d", n.instance, f.serial), ownership.Options{})
	n.inFlight = make(map[string]int)
	n.paused = false
	bounds := make(map[string]time.Duration)
	for _, e := range f.endpoints {
		if e.zone == n.zone {
			bounds[e.name] = bound
		}
	}
	n.owners.SetEndpoints(f.now, bounds)
	f.list(n)
}

// list gives a node the platform's list, which names all instances.
func (f *fleet) list(n *node) {
	var listed []ownership.Sibling
	for _, other := range f.nodes {
		if other.zone == n.zone {
			listed = append(listed, ownership.Sibling{Instance: other.instance})
		}
	}
	n.owners.SetInstanceList(f.now, listed)
}

// kill ends a process; its host closes its connections.
func (f *fleet) kill(n *node) {
	for _, e := range f.endpoints {
		for _, w := range e.works {
			if limit := f.now.Add(cancelMargin); w.process == n.process && w.ends.After(limit) {
				w.ends = limit
			}
		}
	}
	n.died = n.owners.Incarnation()
	n.actions, n.owners = nil, nil
}

// later queues an event at a node after a random delay. Some are lost if
// mayLose is set.
func (f *fleet) later(n *node, mayLose bool, do func()) {
	if mayLose && f.draw(10) == 0 {
		return
	}
	f.at(n, time.Duration(1+f.draw(maxDelay))*5*time.Millisecond, do)
}

func (f *fleet) at(n *node, delay time.Duration, do func()) {
	f.serial++
	e := event{at: f.now.Add(delay), rank: f.serial, node: n, do: do}
	if n != nil {
		e.process = n.process
	}
	f.events = append(f.events, e)
}

// message queues an event at another node; it is lost in a cut.
func (f *fleet) message(from, to *node, do func()) {
	f.later(to, true, func() {
		if from.zone == to.zone || !f.cut[from.zone] && !f.cut[to.zone] {
			do()
		}
	})
}

// advance lets time pass.
func (f *fleet) advance(by time.Duration) {
	for end := f.now.Add(by); f.now.Before(end) && f.violation == ""; {
		f.now = f.now.Add(tick)
		f.deliver()
		for _, e := range f.endpoints {
			e.works = slices.DeleteFunc(e.works, func(w *work) bool { return !w.ends.After(f.now) })
		}
		for _, n := range f.nodes {
			if n.up() && !f.now.Before(n.nextTick) {
				n.nextTick = f.now.Add(250 * time.Millisecond)
				f.tickNode(n)
			}
		}
	}
}

// deliver runs the events that are due, in order. Those at a paused node wait.
func (f *fleet) deliver() {
	slices.SortFunc(f.events, func(a, b event) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.rank - b.rank
	})
	due := f.events
	f.events = nil
	for i, e := range due {
		switch {
		case e.at.After(f.now):
			f.events = append(f.events, due[i:]...)
			return
		case e.node != nil && (e.node.actions == nil || e.node.process != e.process):
		case e.node != nil && e.node.paused:
			f.events = append(f.events, e)
		default:
			e.do()
		}
	}
}

func (f *fleet) tickNode(n *node) {
	var peers []ownership.Sibling
	for _, other := range f.nodes {
		if other == n || other.zone != n.zone {
			continue
		}
		if other.actions == nil && other.died != "" {
			n.owners.ReportDeath(f.now, other.instance, other.died, ownership.ProcessEnded)
		}
		if f.broken.hasty && other.actions != nil && other.paused {
			n.owners.ReportDeath(f.now, other.instance, other.owners.Incarnation(), ownership.ProcessEnded)
		}
		if other.up() {
			peers = append(peers, ownership.Sibling{Instance: other.instance, Incarnation: other.owners.Incarnation(), Live: true})
		}
	}
	n.owners.SetSiblings(f.now, peers)
	f.list(n)
	for _, e := range n.owners.Yielding() {
		if n.inFlight[e] == 0 {
			n.owners.ReportDrained(f.now, e)
		}
	}
	for _, out := range n.owners.Tick(f.now) {
		f.state(n, out)
	}
	f.keepJournal(n)
}

func (f *fleet) state(n *node, out ownership.Outgoing) {
	for _, to := range f.nodes {
		if to.instance != out.To.Instance || to.actions == nil {
			continue
		}
		f.message(n, to, func() {
			answer := to.owners.HandleStatement(f.now, out.Statement)
			f.message(to, n, func() { n.owners.HandleAnswer(f.now, answer) })
		})
	}
}

// keepJournal makes one call of the journal's upkeep.
func (f *fleet) keepJournal(n *node) {
	operation := n.journal.Next(f.now, n.actions.Changes())
	switch operation.Kind {
	case action.OpGrantLease:
		n.journal.GrantDone(f.now, "lease", nil)
	case action.OpRenewLease:
		n.journal.RenewDone(f.now, nil)
	case action.OpReadJournal:
		entry, err := f.get(n, action.JournalKey(n.incarnation))
		n.journal.ReadDone(entry, err)
	case action.OpWriteJournal:
		journal, changes := n.actions.Journal()
		value, err := journal.Encode()
		if err != nil {
			f.fail("journal of %s: %v", n.incarnation, err)
			return
		}
		revision, err := f.set(n, store.Write{Key: action.JournalKey(n.incarnation), Value: value, Expect: operation.Expect})
		n.journal.WriteDone(changes, revision, err)
	}
}

func (f *fleet) get(n *node, key string) (store.Entry, error) {
	if f.storeDown || f.cut[n.zone] {
		return store.Entry{}, &store.UnavailableError{Operation: "get"}
	}
	entry, found := f.entries[key]
	if !found {
		return store.Entry{}, &store.NotFoundError{Key: key}
	}
	return entry, nil
}

// set is the store's compare-and-set; one reply of eight is lost.
func (f *fleet) set(n *node, write store.Write) (uint64, error) {
	if f.storeDown || f.cut[n.zone] {
		return 0, &store.UnavailableError{Operation: "set"}
	}
	if found := f.entries[write.Key].Revision; found != write.Expect {
		return 0, &store.ConflictError{Key: write.Key, Expect: write.Expect, Found: found}
	}
	f.revision++
	f.entries[write.Key] = store.Entry{Key: write.Key, Value: write.Value, Revision: f.revision}
	if f.draw(8) == 0 {
		return 0, &store.OutcomeUnknownError{Operation: "set"}
	}
	return f.revision, nil
}

func (f *fleet) fail(format string, arguments ...any) {
	if f.violation == "" {
		f.violation = fmt.Sprintf(format, arguments...)
	}
}

// Outcomes of a stage of the model.
func notRun() error { return refusal.New(503, refusal.NoCapacity, refusal.NotRun, "") }

func unknown() error { return refusal.New(502, refusal.UpstreamFailed, refusal.Unknown, "") }

func (k *key) call() *call.Call {
	return &call.Call{Workspace: "azul", IdempotencyKey: k.text,
		Request: upstream.Request{Method: "POST", Target: "/send", Body: []byte("body")}}
}
