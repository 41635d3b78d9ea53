package spread

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagescale/internal/configuration"
	_ "lovagescale/internal/fuzzseed"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/membership"
	"lovagescale/internal/store"
	"lovagescale/internal/store/storetest"
	"lovagescale/internal/workspacekey"
)

// baseText is the configuration text of the simulation. Its client block and the port of its
// endpoint identify the edit.
const baseText = `
[region.north]
[region.south]
[zone.a]
region = "north"
client_blocks = ["10.%d.0.0/16"]
[zone.b]
region = "north"
[zone.c]
region = "south"
[service.files]
slots = 1
connections = 1
timeout = "1s"
endpoints = {a = ["127.0.0.1:%d"]}
route.read = {path = "/", methods = ["GET"], kind = "lookup"}
[workspace.azul]
rate = "10/s"
burst = 10
services = ["files"]
`

// simulation is a fleet of entry instances with a store, a network and an oracle. The network
// is a queue of messages.
type simulation struct {
	now                  time.Time
	random               *rand.Rand
	store                *storetest.Store
	nodes                []*node
	messages             []func()
	acceptLowerRevisions bool

	editCount int
	violation string // the first one found
	// publishedSums maps each revision to the digest of its manifest.
	publishedSums map[uint64]string
	keys          map[string]string // key by identifier
	storeSnapshot map[string]store.Entry
	storeRestored bool
	publications  []publication
}

// publication records the revision that the store had at a time.
type publication struct {
	at       time.Time
	revision uint64
}

// node is one entry instance.
type node struct {
	member       membership.Member
	core         *Core
	disconnected bool
	// The oracle's record of the current incarnation.
	highestRevision  uint64
	active           *configuration.Configuration
	knownWithdrawals map[string]bool // identifiers of the keys that it has known to be withdrawn
}

// newSimulation returns a simulation of seven instances in three zones. The parameter
// acceptLowerRevisions injects that fault into all of them.
func newSimulation(seed uint64, acceptLowerRevisions bool) *simulation {
	s := &simulation{
		now:                  time.Unix(1000, 0),
		random:               rand.New(rand.NewPCG(seed, 1)),
		store:                storetest.New(),
		acceptLowerRevisions: acceptLowerRevisions,
		publishedSums:        make(map[uint64]string),
		keys:                 make(map[string]string),
	}
	for i := range 7 {
		zone := string("abc"[i%3])
		name := fmt.Sprintf("%s-%d", zone, i)
		s.nodes = append(s.nodes, &node{member: membership.Member{Instance: name, Zone: zone, State: instancelist.Live}})
	}
	for i := range s.nodes {
		s.startNode(i)
	}
	return s
}

// startNode starts a new incarnation of a node, without any configuration.
func (s *simulation) startNode(i int) {
	n := s.nodes[i]
	n.core = New(n.member, s.random, Options{MaxReplyBytes: 256})
	n.core.acceptLowerRevisions = s.acceptLowerRevisions
	n.highestRevision = 0
	n.active = nil
	n.knownWithdrawals = make(map[string]bool)
	var others []membership.Member
	for _, other := range s.nodes {
		others = append(others, other.member)
	}
	n.core.SetMembers(others)
}

// failf records a violation unless there is one already.
func (s *simulation) failf(format string, arguments ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, arguments...)
	}
}

// applyOutput carries out the output of node i's core. A reply is dropped if the node has
// restarted since its request.
func (s *simulation) applyOutput(i int, out Output) {
	n := s.nodes[i]
	core := n.core
	if c := out.Activate; c != nil {
		n.active = c
		s.checkActivation(n)
	}
	s.checkAge(n)
	for _, call := range out.Exchanges {
		s.send(i, call.Peer, func(sentAt time.Time, to *node, j int) {
			reply, peerOutput := to.core.HandleExchange(s.now, call.Summary)
			s.applyOutput(j, peerOutput)
			s.send(j, n.member, func(time.Time, *node, int) {
				if n.core == core {
					s.applyOutput(i, core.HandleExchangeReply(s.now, sentAt, reply))
				}
			})
		})
	}
	for _, call := range out.Pulls {
		s.send(i, call.Peer, func(sentAt time.Time, to *node, j int) {
			reply := to.core.HandlePull(s.now, call.Request)
			s.send(j, n.member, func(time.Time, *node, int) {
				if n.core == core {
					s.applyOutput(i, core.HandlePullReply(s.now, sentAt, to.member.Instance, call.Request, reply))
				}
			})
		})
	}
}

// send queues a message. It is lost if either node is disconnected at the time of delivery.
func (s *simulation) send(from int, to membership.Member, deliver func(time.Time, *node, int)) {
	j := slices.IndexFunc(s.nodes, func(n *node) bool { return n.member.Instance == to.Instance })
	sentAt := s.now
	s.messages = append(s.messages, func() {
		if !s.nodes[from].disconnected && !s.nodes[j].disconnected {
			deliver(sentAt, s.nodes[j], j)
		}
	})
}

// checkActivation compares the configuration that a node activated with the oracle's record.
func (s *simulation) checkActivation(n *node) {
	revision := n.core.Revision()
	if revision < n.highestRevision {
		s.failf("%s went back from revision %d to %d", n.member.Instance, n.highestRevision, revision)
	}
	n.highestRevision = revision
	if want, known := s.publishedSums[revision]; known && !s.storeRestored && n.core.manifest.Sum() != want {
		s.failf("%s has content that differs from that of revision %d in the store", n.member.Instance, revision)
	}
	if reassembled, err := configuration.Assemble(n.core.manifest, n.core.chunks); err != nil {
		s.failf("%s holds a mix of revisions: %v", n.member.Instance, err)
	} else if reassembled.Services["files"].Endpoints["a"][0] != n.active.Services["files"].Endpoints["a"][0] ||
		reassembled.ClientBlocks("a")[0] != n.active.ClientBlocks("a")[0] {
		s.failf("%s activated a mix of revisions", n.member.Instance)
	}
	for identifier, key := range s.keys {
		record, known := n.active.Keys[identifier]
		verdict := workspacekey.Unknown
		if known {
			verdict = record.Verify(key)
		}
		if verdict == workspacekey.Withdrawn {
			n.knownWithdrawals[identifier] = true
		}
		if verdict == workspacekey.Valid && n.knownWithdrawals[identifier] {
			s.failf("%s accepts withdrawn key %s again", n.member.Instance, identifier)
		}
	}
}

// checkAge requires that the revision of a node is at least as high as the one that the store
// had at the node's SyncedAt.
func (s *simulation) checkAge(n *node) {
	syncedAt, known := n.core.SyncedAt()
	if !known || s.storeRestored {
		return
	}
	for _, p := range s.publications {
		if p.at.Before(syncedAt) && n.core.Revision() < p.revision {
			s.failf("%s reports that revision %d was up to date after revision %d was published", n.member.Instance, n.core.Revision(), p.revision)
		}
	}
}

// readStore makes a node read the store if it is connected and watches the store.
func (s *simulation) readStore(i int) {
	n := s.nodes[i]
	if n.disconnected || !n.core.Watching() {
		return
	}
	published, err := s.publisher("").Current(context.Background())
	if err != nil {
		return
	}
	if published.StoreRevision == 0 {
		n.core.HandleStoreUnchanged(s.now)
		return
	}
	chunks := make(configuration.Chunks)
	for _, digest := range n.core.MissingChunks(published.Manifest) {
		entry, err := s.store.Get(context.Background(), configuration.ChunkPrefix+digest)
		if err != nil {
			return
		}
		chunks[digest] = entry.Value
	}
	out, err := n.core.HandleStoreRead(s.now, published.Manifest, chunks)
	if err != nil {
		s.failf("result of a store read was not accepted: %v", err)
	}
	s.applyOutput(i, out)
}

// step draws one event and carries it out.
func (s *simulation) step(draw func(n int) int) {
	i := draw(len(s.nodes))
	s.now = s.now.Add(time.Duration(draw(500)) * time.Millisecond)
	switch event := draw(24); event {
	case 0, 1:
		s.applyEdit(event == 1)
	case 2:
		s.grantKey()
	case 3:
		if keys := sortedKeys(s.keys); len(keys) > 0 {
			s.withdrawKey(keys[draw(len(keys))], i, draw(2) == 0)
		}
	case 4:
		s.store.Unavailable = !s.store.Unavailable
	case 5:
		s.store.LoseReplies = 1
	case 6:
		s.nodes[i].disconnected = !s.nodes[i].disconnected
	case 7:
		s.startNode(i)
	case 8: // each other node restarts with probability 1/4
		for j := range s.nodes {
			if j != i && draw(4) == 0 {
				s.startNode(j)
			}
		}
	case 9:
		if s.storeSnapshot == nil {
			s.storeSnapshot = s.store.Snapshot()
		} else if draw(4) == 0 {
			s.store.Restore(s.storeSnapshot)
			s.storeRestored = true
		}
	case 10, 11, 12:
		s.readStore(i)
	case 13, 14, 15:
		s.applyOutput(i, s.nodes[i].core.Tick(s.now))
	default:
		s.deliverMessages(draw)
	}
}

// deliverMessages draws up to four messages from the queue and delivers each of them once,
// delivers it now and again later, or loses it.
func (s *simulation) deliverMessages(draw func(n int) int) {
	for range 4 {
		if len(s.messages) == 0 {
			return
		}
		index := draw(len(s.messages))
		message := s.messages[index]
		outcome := draw(8)
		if outcome != 0 { // with 0 it stays in the queue and is delivered again
			s.messages = slices.Delete(s.messages, index, index+1)
		}
		if outcome != 1 { // with 1 it is lost
			message()
		}
	}
}

// converge ends all faults of the store and the network, runs 40 rounds of store reads and
// exchanges, and requires that all nodes then have the same revision, at least that of the
// store, and an age of at most 20 s.
func (s *simulation) converge() {
	s.store.Unavailable, s.store.LoseReplies = false, 0
	for i := range s.nodes {
		s.nodes[i].disconnected = false
	}
	for range 40 {
		s.now = s.now.Add(time.Second)
		for i := range s.nodes {
			s.readStore(i)
			s.applyOutput(i, s.nodes[i].core.Tick(s.now))
		}
		for len(s.messages) > 0 {
			message := s.messages[0]
			s.messages = s.messages[1:]
			message()
		}
	}
	var highest uint64
	for _, n := range s.nodes {
		highest = max(highest, n.core.Revision())
	}
	for _, n := range s.nodes {
		if n.core.Revision() != highest {
			s.failf("%s has revision %d, want %d, after all messages were delivered", n.member.Instance, n.core.Revision(), highest)
		}
		if age := n.core.Age(s.now); highest > 0 && (age < 0 || age > 20_000) {
			s.failf("%s has an age of %d ms after all messages were delivered", n.member.Instance, age)
		}
	}
	current, err := s.publisher("").Current(context.Background())
	if err != nil {
		s.failf("store cannot be read: %v", err)
	}
	if highest < current.Manifest.Revision {
		s.failf("all nodes have revision %d, the store has %d", highest, current.Manifest.Revision)
	}
}

// maxEvents returns the highest number of events in a check: 400, or rapid's number of steps
// if that is higher.
func maxEvents() int {
	steps, err := strconv.Atoi(flag.Lookup("rapid.steps").Value.String())
	if err != nil {
		panic(err)
	}
	return max(400, steps)
}

// TestFuzzSpreadNeverReverts guards against instances that go back to a lower revision, mix
// revisions, accept a withdrawn key again, report too low an age or fail to converge. It
// draws edits, withdrawals, restarts, store failures, partitions and lost or repeated
// messages.
func TestFuzzSpreadNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), false)
		steps := rapid.IntRange(50, maxEvents()).Draw(t, "steps")
		for range steps {
			s.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") })
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		}
		s.converge()
		if s.violation != "" {
			t.Fatal(s.violation)
		}
	})
}

// TestFuzzFindsLowerRevisionAccepted requires that the simulation detects instances that
// accept lower revisions.
func TestFuzzFindsLowerRevisionAccepted(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, true)
		random := rand.New(rand.NewPCG(seed, 2))
		for range 400 {
			s.step(random.IntN)
		}
		if s.violation != "" {
			t.Logf("seed %d: %s", seed, s.violation)
			return
		}
	}
	t.Fatal("no violation found with 20 seeds")
}

func sortedKeys(m map[string]string) []string { return slices.Sorted(maps.Keys(m)) }
