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
	slotsPerEndpoint = 2
	// requestTimeout is the longest time that a request takes, and the time after which
	// a caller abandons its attempt.
	requestTimeout = 1500 * time.Millisecond
	// cancelMargin is how long an endpoint continues to process a request whose
	// connection was closed.
	cancelMargin  = 200 * time.Millisecond
	tickInterval  = 50 * time.Millisecond
	maxDelaySteps = 40 // of 5 ms each
)

// injectedFaults are faults in the interaction of the cores that the fuzz test must find.
type injectedFaults struct {
	// reuseIncarnations gives a new process the incarnation of the previous one.
	reuseIncarnations bool
	// lostHandoverIsNotRun reports "not-run" for a handover that got no answer.
	lostHandoverIsNotRun bool
	// ignoreOwnership lets each entry of a zone use all endpoints of the zone.
	ignoreOwnership bool
	// resendAfterLostAnswer sends an action again after a lost answer.
	resendAfterLostAnswer bool
	// declarePausedDead reports the death of a process that is only paused.
	declarePausedDead bool
}

// simulation runs the cores of all entry instances with simulated endpoints, callers,
// links and a store.
type simulation struct {
	now              time.Time
	draw             func(n int) int // a random number from 0 to n-1
	faults           injectedFaults
	nodes            []*node
	endpoints        []*endpoint
	keys             []*keyOracle
	events           []event
	lastID           int // of a process or an event
	storeEntries     map[string]store.Entry
	storeRevision    uint64
	storeDown        bool
	partitionedZones map[string]bool // cut off from the other zones and the store
	runCount         int             // of all actions
	violation        string
}

// node is one entry instance. Its action and ownership cores are nil while it is down.
type node struct {
	instance, zone    string
	incarnation       string // of the action core
	processID         int    // unique for each start
	actionCore        *action.Core
	journalWriter     *action.JournalWriterState
	ownershipCore     *ownership.Core
	inFlight          map[string]int // requests by endpoint
	paused            bool
	nextTickAt        time.Time
	killedIncarnation string // of the ownership core that was killed last
}

func (n *node) isRunning() bool { return n.actionCore != nil && !n.paused }

type endpoint struct {
	name, zone string
	requests   []*endpointRequest
}

// endpointRequest is a request that an endpoint is processing.
type endpointRequest struct {
	processID int
	endsAt    time.Time
}

// event runs at a node and is dropped if the node's process has ended. An event without
// a node always runs.
type event struct {
	at        time.Time
	sequence  int // orders events of the same time
	node      *node
	processID int
	run       func()
}

// keyOracle records how often one action ran and what its callers were told.
type keyOracle struct {
	idempotencyKey string
	runCount       int
	openAttempts   int  // attempts that may still run the action
	reportedNotRun bool // after the latest attempt, while none was open
	reportedRan    bool
}

func newSimulation(draw func(n int) int, faults injectedFaults) *simulation {
	sim := &simulation{now: time.Unix(1_700_000_000, 0), draw: draw, faults: faults,
		storeEntries: make(map[string]store.Entry), partitionedZones: make(map[string]bool)}
	for _, zone := range []string{"z0", "z1"} {
		for i := range 2 {
			sim.endpoints = append(sim.endpoints, &endpoint{name: fmt.Sprintf("%s-e%d", zone, i), zone: zone})
			sim.nodes = append(sim.nodes, &node{instance: fmt.Sprintf("%s-n%d", zone, i), zone: zone})
		}
	}
	for _, n := range sim.nodes {
		sim.startProcess(n)
	}
	sim.advance(10 * time.Second)
	return sim
}

func (sim *simulation) startProcess(n *node) {
	sim.lastID++
	n.processID = sim.lastID
	if n.incarnation == "" || !sim.faults.reuseIncarnations {
		n.incarnation = fmt.Sprintf("%s-%d", n.instance, sim.lastID)
	}
	n.actionCore = action.NewCore(n.incarnation, action.Options{Capacity: 100, Retention: 10 * time.Minute})
	n.journalWriter = action.NewJournalWriterState(10 * time.Minute)
	n.ownershipCore = ownership.New(sim.now, n.instance, fmt.Sprintf("%s-%d", n.instance, sim.lastID), ownership.Options{})
	n.inFlight = make(map[string]int)
	n.paused = false
	requestTimeouts := make(map[string]time.Duration)
	for _, e := range sim.endpoints {
		if e.zone == n.zone {
			requestTimeouts[e.name] = requestTimeout
		}
	}
	n.ownershipCore.SetEndpoints(sim.now, requestTimeouts)
	sim.updateInstanceList(n)
}

// updateInstanceList passes the platform's list, which contains all instances, to a
// node.
func (sim *simulation) updateInstanceList(n *node) {
	var instances []ownership.Sibling
	for _, other := range sim.nodes {
		if other.zone == n.zone {
			instances = append(instances, ownership.Sibling{Instance: other.instance})
		}
	}
	n.ownershipCore.SetInstanceList(sim.now, instances)
}

// kill ends a process. The host closes its connections, so that endpoints stop
// processing its requests after cancelMargin.
func (sim *simulation) kill(n *node) {
	for _, e := range sim.endpoints {
		for _, request := range e.requests {
			if limit := sim.now.Add(cancelMargin); request.processID == n.processID && request.endsAt.After(limit) {
				request.endsAt = limit
			}
		}
	}
	n.killedIncarnation = n.ownershipCore.Incarnation()
	n.actionCore, n.ownershipCore = nil, nil
}

// scheduleAfterRandomDelay schedules an event at a node after a random delay. If mayLose
// is set, one event of ten is lost.
func (sim *simulation) scheduleAfterRandomDelay(n *node, mayLose bool, run func()) {
	if mayLose && sim.draw(10) == 0 {
		return
	}
	sim.schedule(n, time.Duration(1+sim.draw(maxDelaySteps))*5*time.Millisecond, run)
}

func (sim *simulation) schedule(n *node, delay time.Duration, run func()) {
	sim.lastID++
	e := event{at: sim.now.Add(delay), sequence: sim.lastID, node: n, run: run}
	if n != nil {
		e.processID = n.processID
	}
	sim.events = append(sim.events, e)
}

// sendMessage schedules an event at another node after a random delay. The message may
// be lost, and is always lost if a partition separates the nodes on its arrival.
func (sim *simulation) sendMessage(from, to *node, run func()) {
	sim.scheduleAfterRandomDelay(to, true, func() {
		if from.zone == to.zone || !sim.partitionedZones[from.zone] && !sim.partitionedZones[to.zone] {
			run()
		}
	})
}

// advance advances the clock, runs due events and ticks the nodes until the duration
// has passed or a violation was found.
func (sim *simulation) advance(duration time.Duration) {
	for end := sim.now.Add(duration); sim.now.Before(end) && sim.violation == ""; {
		sim.now = sim.now.Add(tickInterval)
		sim.runDueEvents()
		for _, e := range sim.endpoints {
			e.requests = slices.DeleteFunc(e.requests, func(request *endpointRequest) bool { return !request.endsAt.After(sim.now) })
		}
		for _, n := range sim.nodes {
			if n.isRunning() && !sim.now.Before(n.nextTickAt) {
				n.nextTickAt = sim.now.Add(250 * time.Millisecond)
				sim.tickNode(n)
			}
		}
	}
}

// runDueEvents runs the events that are due, in order. Events at a paused node wait
// until it resumes.
func (sim *simulation) runDueEvents() {
	slices.SortFunc(sim.events, func(a, b event) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.sequence - b.sequence
	})
	due := sim.events
	sim.events = nil
	for i, e := range due {
		switch {
		case e.at.After(sim.now):
			sim.events = append(sim.events, due[i:]...)
			return
		case e.node != nil && (e.node.actionCore == nil || e.node.processID != e.processID):
		case e.node != nil && e.node.paused:
			sim.events = append(sim.events, e)
		default:
			e.run()
		}
	}
}

func (sim *simulation) tickNode(n *node) {
	var siblings []ownership.Sibling
	for _, other := range sim.nodes {
		if other == n || other.zone != n.zone {
			continue
		}
		if other.actionCore == nil && other.killedIncarnation != "" {
			n.ownershipCore.ReportDeath(sim.now, other.instance, other.killedIncarnation, ownership.ProcessEnded)
		}
		if sim.faults.declarePausedDead && other.actionCore != nil && other.paused {
			n.ownershipCore.ReportDeath(sim.now, other.instance, other.ownershipCore.Incarnation(), ownership.ProcessEnded)
		}
		if other.isRunning() {
			siblings = append(siblings, ownership.Sibling{Instance: other.instance, Incarnation: other.ownershipCore.Incarnation(), Live: true})
		}
	}
	n.ownershipCore.SetSiblings(sim.now, siblings)
	sim.updateInstanceList(n)
	for _, e := range n.ownershipCore.Yielding() {
		if n.inFlight[e] == 0 {
			n.ownershipCore.ReportDrained(sim.now, e)
		}
	}
	for _, out := range n.ownershipCore.Tick(sim.now) {
		sim.sendStatement(n, out)
	}
	sim.runJournalWriter(n)
}

func (sim *simulation) sendStatement(n *node, out ownership.Outgoing) {
	for _, to := range sim.nodes {
		if to.instance != out.To.Instance || to.actionCore == nil {
			continue
		}
		sim.sendMessage(n, to, func() {
			reply := to.ownershipCore.HandleStatement(sim.now, out.Statement)
			sim.sendMessage(to, n, func() { n.ownershipCore.HandleReply(sim.now, reply) })
		})
	}
}

// runJournalWriter executes the next store call of the node's journal writer.
func (sim *simulation) runJournalWriter(n *node) {
	operation := n.journalWriter.Next(sim.now, n.actionCore.Changes())
	switch operation.Kind {
	case action.OpGrantLease:
		n.journalWriter.GrantDone(sim.now, "lease", nil)
	case action.OpRenewLease:
		n.journalWriter.RenewDone(sim.now, nil)
	case action.OpReadJournal:
		entry, err := sim.storeGet(n, action.JournalKey(n.incarnation))
		n.journalWriter.ReadDone(entry, err)
	case action.OpWriteJournal:
		journal, changes := n.actionCore.Journal()
		value, err := journal.Encode()
		if err != nil {
			sim.recordViolation("journal of %s: %v", n.incarnation, err)
			return
		}
		revision, err := sim.storeCompareAndSet(n, store.Write{Key: action.JournalKey(n.incarnation), Value: value, Expect: operation.Expect})
		n.journalWriter.WriteDone(changes, revision, err)
	}
}

func (sim *simulation) storeGet(n *node, key string) (store.Entry, error) {
	if sim.storeDown || sim.partitionedZones[n.zone] {
		return store.Entry{}, &store.UnavailableError{Operation: "get"}
	}
	stored, found := sim.storeEntries[key]
	if !found {
		return store.Entry{}, &store.NotFoundError{Key: key}
	}
	return stored, nil
}

// storeCompareAndSet executes a compare-and-set of the store. One reply of eight is
// lost.
func (sim *simulation) storeCompareAndSet(n *node, write store.Write) (uint64, error) {
	if sim.storeDown || sim.partitionedZones[n.zone] {
		return 0, &store.UnavailableError{Operation: "set"}
	}
	if found := sim.storeEntries[write.Key].Revision; found != write.Expect {
		return 0, &store.ConflictError{Key: write.Key, Expect: write.Expect, Found: found}
	}
	sim.storeRevision++
	sim.storeEntries[write.Key] = store.Entry{Key: write.Key, Value: write.Value, Revision: sim.storeRevision}
	if sim.draw(8) == 0 {
		return 0, &store.OutcomeUnknownError{Operation: "set"}
	}
	return sim.storeRevision, nil
}

func (sim *simulation) recordViolation(format string, arguments ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, arguments...)
	}
}

// notRunRefusal is the refusal of a request that found no capacity.
func notRunRefusal() error { return refusal.New(503, refusal.NoCapacity, refusal.NotRun, "") }

// unknownRefusal is the refusal of a request whose answer was lost.
func unknownRefusal() error { return refusal.New(502, refusal.UpstreamFailed, refusal.Unknown, "") }

func (k *keyOracle) newCall() *call.Call {
	return &call.Call{Workspace: "azul", IdempotencyKey: k.idempotencyKey,
		Request: upstream.Request{Method: "POST", Target: "/send", Body: []byte("body")}}
}
