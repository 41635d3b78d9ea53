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

// world is a fleet with its store, its network as a queue, and the oracle.
type world struct {
	now    time.Time
	random *rand.Rand
	store  *storetest.Store
	nodes  []*node
	queue  []func()
	faulty bool

	variant  int
	incident string
	// published maps each revision to the digest of its content.
	published map[uint64]string
	keys      map[string]string // identifier to key
	snapshot  map[string]store.Entry
	restored  bool
	timeline  []moment
}

// moment is when the store got a revision.
type moment struct {
	at       time.Time
	revision uint64
}

type node struct {
	member membership.Member
	core   *Core
	cut    bool
	// oracle
	highest   uint64
	installed *configuration.Configuration
	known     map[string]bool // withdrawals this incarnation has known
}

func newWorld(seed uint64, acceptLower bool) *world {
	w := &world{
		now:       time.Unix(1000, 0),
		random:    rand.New(rand.NewPCG(seed, 1)),
		store:     storetest.New(),
		faulty:    acceptLower,
		published: make(map[uint64]string),
		keys:      make(map[string]string),
	}
	for i := range 7 {
		zone := string("abc"[i%3])
		name := fmt.Sprintf("%s-%d", zone, i)
		w.nodes = append(w.nodes, &node{member: membership.Member{Instance: name, Zone: zone, State: instancelist.Live}})
	}
	for i := range w.nodes {
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	n := w.nodes[i]
	n.core = New(n.member, w.random, Options{MaxReplyBytes: 256})
	n.core.acceptLower = w.faulty
	n.highest = 0
	n.installed = nil
	n.known = make(map[string]bool)
	var others []membership.Member
	for _, other := range w.nodes {
		others = append(others, other.member)
	}
	n.core.Members(others)
}

func (w *world) failf(format string, arguments ...any) {
	if w.incident == "" {
		w.incident = fmt.Sprintf(format, arguments...)
	}
}

// apply carries out what follows from a message at node i.
func (w *world) apply(i int, out Output) {
	n := w.nodes[i]
	core := n.core
	if c := out.Install; c != nil {
		n.installed = c
		w.checkInstall(n)
	}
	w.checkAge(n)
	for _, call := range out.Exchanges {
		w.send(i, call.Peer, func(sentAt time.Time, to *node, j int) {
			reply, followed := to.core.HandleExchange(w.now, call.Summary)
			w.apply(j, followed)
			w.send(j, n.member, func(time.Time, *node, int) {
				if n.core == core {
					w.apply(i, core.ExchangeReplied(w.now, sentAt, reply))
				}
			})
		})
	}
	for _, call := range out.Pulls {
		w.send(i, call.Peer, func(sentAt time.Time, to *node, j int) {
			reply := to.core.HandlePull(w.now, call.Request)
			w.send(j, n.member, func(time.Time, *node, int) {
				if n.core == core {
					w.apply(i, core.PullReplied(w.now, sentAt, to.member.Instance, call.Request, reply))
				}
			})
		})
	}
}

// send queues a message; whether it arrives is decided when it is delivered.
func (w *world) send(from int, to membership.Member, deliver func(time.Time, *node, int)) {
	j := slices.IndexFunc(w.nodes, func(n *node) bool { return n.member.Instance == to.Instance })
	sentAt := w.now
	w.queue = append(w.queue, func() {
		if !w.nodes[from].cut && !w.nodes[j].cut {
			deliver(sentAt, w.nodes[j], j)
		}
	})
}

// checkInstall compares a configuration put in force with the oracle.
func (w *world) checkInstall(n *node) {
	revision := n.core.Revision()
	if revision < n.highest {
		w.failf("%s went from revision %d to %d", n.member.Instance, n.highest, revision)
	}
	n.highest = revision
	if want, known := w.published[revision]; known && !w.restored && n.core.manifest.Sum() != want {
		w.failf("%s has other content than revision %d", n.member.Instance, revision)
	}
	if fresh, err := configuration.Assemble(n.core.manifest, n.core.chunks); err != nil {
		w.failf("%s holds a mix of revisions: %v", n.member.Instance, err)
	} else if fresh.Services["files"].Endpoints["a"][0] != n.installed.Services["files"].Endpoints["a"][0] ||
		fresh.ClientBlocks("a")[0] != n.installed.ClientBlocks("a")[0] {
		w.failf("%s put a mix of revisions in force", n.member.Instance)
	}
	for identifier, key := range w.keys {
		record, known := n.installed.Keys[identifier]
		verdict := workspacekey.Unknown
		if known {
			verdict = record.Verify(key)
		}
		if verdict == workspacekey.Withdrawn {
			n.known[identifier] = true
		}
		if verdict == workspacekey.Valid && n.known[identifier] {
			w.failf("%s accepts withdrawn key %s again", n.member.Instance, identifier)
		}
	}
}

// checkAge requires that a node holds at least what the store had when the
// node says it was informed.
func (w *world) checkAge(n *node) {
	informed, known := n.core.Informed()
	if !known || w.restored {
		return
	}
	for _, m := range w.timeline {
		if m.at.Before(informed) && n.core.Revision() < m.revision {
			w.failf("%s says that revision %d was the store's after revision %d", n.member.Instance, n.core.Revision(), m.revision)
		}
	}
}

// look lets a watching node read the store.
func (w *world) look(i int) {
	n := w.nodes[i]
	if n.cut || !n.core.Watching() {
		return
	}
	published, err := w.publisher("").Current(context.Background())
	if err != nil {
		return
	}
	if published.StoreRevision == 0 {
		n.core.StoreUnchanged(w.now)
		return
	}
	chunks := make(configuration.Chunks)
	for _, digest := range n.core.Lacks(published.Manifest) {
		entry, err := w.store.Get(context.Background(), configuration.ChunkPrefix+digest)
		if err != nil {
			return
		}
		chunks[digest] = entry.Value
	}
	out, err := n.core.StoreRead(w.now, published.Manifest, chunks)
	if err != nil {
		w.failf("store read: %v", err)
	}
	w.apply(i, out)
}

// step draws and carries out one event.
func (w *world) step(draw func(n int) int) {
	i := draw(len(w.nodes))
	w.now = w.now.Add(time.Duration(draw(500)) * time.Millisecond)
	switch event := draw(24); event {
	case 0, 1:
		w.edit(event == 1)
	case 2:
		w.grant()
	case 3:
		if keys := sortedKeys(w.keys); len(keys) > 0 {
			w.withdraw(keys[draw(len(keys))], i, draw(2) == 0)
		}
	case 4:
		w.store.Down = !w.store.Down
	case 5:
		w.store.Lose = 1
	case 6:
		w.nodes[i].cut = !w.nodes[i].cut
	case 7:
		w.start(i)
	case 8: // all but one restart
		for j := range w.nodes {
			if j != i && draw(4) == 0 {
				w.start(j)
			}
		}
	case 9:
		if w.snapshot == nil {
			w.snapshot = w.store.Snapshot()
		} else if draw(4) == 0 {
			w.store.Restore(w.snapshot)
			w.restored = true
		}
	case 10, 11, 12:
		w.look(i)
	case 13, 14, 15:
		w.apply(i, w.nodes[i].core.Tick(w.now))
	default:
		w.deliver(draw)
	}
}

// deliver delivers, repeats or loses a message drawn from the queue.
func (w *world) deliver(draw func(n int) int) {
	for range 4 {
		if len(w.queue) == 0 {
			return
		}
		k := draw(len(w.queue))
		message := w.queue[k]
		fate := draw(8)
		if fate != 0 { // 0 repeats it later
			w.queue = slices.Delete(w.queue, k, k+1)
		}
		if fate != 1 { // 1 loses it
			message()
		}
	}
}

// settle lets everything flow and requires all nodes to agree.
func (w *world) settle() {
	w.store.Down, w.store.Lose = false, 0
	for i := range w.nodes {
		w.nodes[i].cut = false
	}
	for range 40 {
		w.now = w.now.Add(time.Second)
		for i := range w.nodes {
			w.look(i)
			w.apply(i, w.nodes[i].core.Tick(w.now))
		}
		for len(w.queue) > 0 {
			message := w.queue[0]
			w.queue = w.queue[1:]
			message()
		}
	}
	var highest uint64
	for _, n := range w.nodes {
		highest = max(highest, n.core.Revision())
	}
	for _, n := range w.nodes {
		if n.core.Revision() != highest {
			w.failf("%s has revision %d, not %d, after messages flowed", n.member.Instance, n.core.Revision(), highest)
		}
		if age := n.core.Age(w.now); highest > 0 && (age < 0 || age > 20_000) {
			w.failf("%s was informed %d ms ago after messages flowed", n.member.Instance, age)
		}
	}
	current, err := w.publisher("").Current(context.Background())
	if err != nil {
		w.failf("store: %v", err)
	}
	if highest < current.Manifest.Revision {
		w.failf("all have revision %d, the store %d", highest, current.Manifest.Revision)
	}
}

// maxEvents returns the most events of a check: 400, or rapid's number of
// steps if that is higher.
func maxEvents() int {
	steps, err := strconv.Atoi(flag.Lookup("rapid.steps").Value.String())
	if err != nil {
		panic(err)
	}
	return max(400, steps)
}

func TestFuzzSpreadNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), false)
		steps := rapid.IntRange(50, maxEvents()).Draw(t, "steps")
		for range steps {
			w.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") })
			if w.incident != "" {
				t.Fatal(w.incident)
			}
		}
		w.settle()
		if w.incident != "" {
			t.Fatal(w.incident)
		}
	})
}

// The fuzzer finds an instance that takes lower revisions.
func TestFuzzFindsLowerRevisionAccepted(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, true)
		random := rand.New(rand.NewPCG(seed, 2))
		for range 400 {
			w.step(random.IntN)
		}
		if w.incident != "" {
			t.Logf("seed %d: %s", seed, w.incident)
			return
		}
	}
	t.Fatal("no incident in 20 seeds")
}

func sortedKeys(m map[string]string) []string { return slices.Sorted(maps.Keys(m)) }
