package quota

import (
	"fmt"
	"sort"
	"time"
)

// world runs cores over a store and a network in simulated time and checks
// every admission against one true bucket per workspace.
type world struct {
	now     time.Time
	options Options
	broken  func(*Core)
	draw    func(n int) int

	nodes  []*node
	zones  int
	limits Limits
	events []event
	serial int

	storeDown   bool
	loseReplies int
	records     map[string]ZoneRecord
	table       OwnerTable
	revisions   map[string]int
	listed      Listed
	cut         map[string]bool
	lossPercent int
	maxDelay    time.Duration
	// latency replaces the random delays.
	latency func(from, to *node) time.Duration
	// syncInterval is the time between looks at peers and the store.
	syncInterval time.Duration
	quiet        bool // no random faults on messages

	oracles    map[string]*oracle
	violation  string
	admitted   int
	refused    int
	refusedOf  map[string]int
	storeCalls int
	messages   int
	nextID     uint64
}

type event struct {
	at   time.Time
	to   *node
	do   func()
	rank int
}

type node struct {
	Peer
	core      *Core
	dead      bool
	pausedAt  time.Time
	nextTick  time.Time
	nextSync  time.Time
	nextZone  time.Time
	revision  uint64
	held      []event // what arrived during a pause
	workspace map[uint64]string
}

func (n *node) paused() bool { return !n.pausedAt.IsZero() }

func newWorld(options Options, zones, perZone int, limits map[string]Limit, draw func(n int) int) *world {
	w := &world{
		now: time.Unix(1000, 0), options: options.withDefaults(), draw: draw, zones: zones,
		limits:  Limits{Revision: 1, Zones: zones, Workspaces: limits},
		records: make(map[string]ZoneRecord), revisions: make(map[string]int), listed: make(Listed),
		cut: make(map[string]bool), oracles: make(map[string]*oracle), refusedOf: make(map[string]int), maxDelay: 2 * time.Millisecond, quiet: true,
		syncInterval: time.Second,
	}
	for z := range zones {
		for range perZone {
			w.start(fmt.Sprintf("zone-%d", z), "")
		}
	}
	return w
}

// start starts a process, of a new instance if none is named.
func (w *world) start(zone, instance string) *node {
	w.serial++
	if instance == "" {
		instance = fmt.Sprintf("instance-%d", w.serial)
	}
	n := &node{
		Peer:     Peer{Incarnation: fmt.Sprintf("%s-%d", instance, w.serial), Instance: instance, Zone: zone},
		nextTick: w.now, nextSync: w.now, workspace: make(map[uint64]string),
	}
	n.core = NewCore(w.now, n.Peer, w.options)
	if w.broken != nil {
		w.broken(n.core)
	}
	w.listed[instance] = true
	w.nodes = append(w.nodes, n)
	w.configure(n)
	return n
}

func (w *world) configure(n *node) {
	if n.paused() || n.revision == w.limits.Revision {
		return
	}
	n.core.Configure(w.now, w.limits)
	n.revision = w.limits.Revision
	w.noteLimits()
}

// noteLimits extends the oracle's bounds by those in force now.
func (w *world) noteLimits() {
	for _, n := range w.nodes {
		for name, limit := range n.core.limits.Workspaces {
			o, known := w.oracles[name]
			if !known {
				o = &oracle{level: limit.Burst, at: w.now}
				w.oracles[name] = o
			}
			o.use(limit, w.now.Add(2*widened(w.options.GrantTTL)))
		}
	}
}

func (w *world) admit(workspace string) {
	w.admitted++
	if !w.oracles[workspace].take(w.now) && w.violation == "" {
		w.violation = fmt.Sprintf("workspace %q got more than rate and burst at %s", workspace, w.now.Sub(time.Unix(1000, 0)))
	}
}

// checkStock compares all tokens that can be spent now with the burst.
func (w *world) checkStock() {
	for name, o := range w.oracles {
		var stock Units
		for _, n := range w.nodes {
			if !n.paused() {
				n.core.touch(w.now)
				stock += n.core.spaces[name].available(w.now)
			}
		}
		if burst := o.bound(w.now).Burst; stock > units(burst)+Token/1000 {
			w.violation = fmt.Sprintf("workspace %q has %d units to spend, above its burst of %g", name, stock, burst)
		}
	}
}

// request sends one request to a node.
func (w *world) request(n *node, workspace string) {
	if n.dead || n.paused() {
		return
	}
	if n.core.Take(w.now, workspace) {
		w.admit(workspace)
		return
	}
	w.nextID++
	n.workspace[w.nextID] = workspace
	n.core.Request(w.now, workspace, w.nextID, w.now.Add(time.Second))
	w.drain(n)
}

// drain carries out what a core has decided.
func (w *world) drain(n *node) {
	asks, decisions := n.core.Drain()
	for _, d := range decisions {
		if d.Admitted {
			w.admit(n.workspace[d.ID])
		} else {
			w.refused++
			w.refusedOf[n.workspace[d.ID]]++
		}
		delete(n.workspace, d.ID)
	}
	for _, out := range asks {
		w.sendAsk(n, out)
	}
}

func (w *world) sendAsk(n *node, out Outgoing) {
	issuer := w.byIncarnation(out.To)
	if issuer == nil {
		return
	}
	w.send(n, issuer, func() {
		grants := issuer.core.Serve(w.now, n.Incarnation, []Ask{out.Ask})
		w.send(issuer, n, func() {
			n.core.Granted(w.now, issuer.Incarnation, grants)
			w.drain(n)
		})
	})
}

// send delivers a message after a delay, never, or twice.
func (w *world) send(from, to *node, do func()) {
	w.messages++
	copies := 1
	if !w.quiet && w.draw(100) < w.lossPercent {
		copies = w.draw(2) * 2
	}
	for range copies {
		delay := time.Duration(1+w.draw(int(w.maxDelay/time.Millisecond))) * time.Millisecond
		if w.latency != nil {
			delay = w.latency(from, to)
		}
		w.after(delay, to, func() {
			if from.Zone == to.Zone || !w.cut[from.Zone] && !w.cut[to.Zone] {
				do()
			}
		})
	}
}

func (w *world) after(delay time.Duration, to *node, do func()) {
	w.serial++
	w.events = append(w.events, event{at: w.now.Add(delay), to: to, do: do, rank: w.serial})
}

func (w *world) byIncarnation(incarnation string) *node {
	for _, n := range w.nodes {
		if n.Incarnation == incarnation {
			return n
		}
	}
	return nil
}

// advance lets time pass in steps, delivering what is due.
func (w *world) advance(total, step time.Duration) {
	for end := w.now.Add(total); w.now.Before(end); {
		w.now = w.now.Add(min(step, end.Sub(w.now)))
		w.deliver()
		w.noteLimits()
		for _, n := range w.nodes {
			w.tick(n)
		}
	}
}

func (w *world) deliver() {
	sort.Slice(w.events, func(i, j int) bool {
		a, b := w.events[i], w.events[j]
		return a.at.Before(b.at) || a.at.Equal(b.at) && a.rank < b.rank
	})
	for len(w.events) > 0 && !w.events[0].at.After(w.now) {
		next := w.events[0]
		w.events = w.events[1:]
		switch {
		case next.to.dead:
		case next.to.paused():
			next.to.held = append(next.to.held, next)
		default:
			next.do()
		}
	}
}

func (w *world) tick(n *node) {
	if n.dead || n.paused() || w.now.Before(n.nextTick) {
		return
	}
	const interval = 25 * time.Millisecond
	n.nextTick = w.now.Add(interval)
	n.core.Tick(w.now, interval)
	w.drain(n)
	if w.now.Before(n.nextSync) {
		return
	}
	n.nextSync = w.now.Add(w.syncInterval)
	w.syncPeers(n)
	if n.core.WantsZone(w.now) || n.core.LeadsZone() && !w.now.Before(n.nextZone) {
		const zoneSyncs = 5
		n.nextZone = w.now.Add(zoneSyncs * w.syncInterval)
		w.syncZone(n)
	}
	if n.core.LeadsOwners() {
		w.syncOwners(n)
	}
}

func (w *world) syncPeers(n *node) {
	var peers []Peer
	for _, other := range w.nodes {
		if other != n && !other.dead && !other.paused() && (other.Zone == n.Zone || !w.cut[other.Zone] && !w.cut[n.Zone]) {
			peer := other.Peer
			peer.Leaving = other.core.released
			peers = append(peers, peer)
		}
	}
	n.core.SetPeers(w.now, peers)
}

// storeCall runs one call of the store; its reply may be lost or late.
func (w *world) storeCall(n *node, do func() bool, reply func(bool)) {
	w.storeCalls++
	if w.storeDown || w.cut[n.Zone] {
		return
	}
	ok := do()
	if w.loseReplies > 0 {
		w.loseReplies--
		return
	}
	w.after(time.Duration(1+w.draw(20))*time.Millisecond, n, func() { reply(ok) })
}

// compareAndSet writes if the revision is the expected one.
func (w *world) compareAndSet(key string, expect int, write func()) bool {
	if w.revisions[key] != expect {
		return false
	}
	w.revisions[key]++
	write()
	return true
}

func (w *world) syncZone(n *node) {
	readAt, revision := w.now, 0
	var record ZoneRecord
	w.storeCall(n, func() bool {
		record, revision = w.records[n.Zone], w.revisions[n.Zone]
		return true
	}, func(bool) {
		plan := n.core.PlanZone(w.now, readAt, record, w.listed)
		if !plan.Write {
			w.zoneStored(n, plan)
			return
		}
		w.storeCall(n, func() bool {
			return w.compareAndSet(n.Zone, revision, func() { w.records[n.Zone] = plan.Record })
		}, func(ok bool) {
			if ok {
				w.zoneStored(n, plan)
			}
		})
	})
}

func (w *world) zoneStored(n *node, plan ZonePlan) {
	n.core.ZoneStored(w.now, plan)
	if n.core.NeedsCheck() {
		var records []ZoneRecord
		w.storeCall(n, func() bool {
			for z := range w.zones {
				records = append(records, w.records[fmt.Sprintf("zone-%d", z)])
			}
			return true
		}, func(bool) { n.core.CheckZones(w.now, records) })
	}
	holder := w.byIncarnation(n.core.WantCede(w.now, plan.Record))
	if holder != nil && holder.Zone == n.Zone {
		w.send(n, holder, func() { holder.core.Cede(w.now, CedeRequest{n.Incarnation, n.Instance}) })
	}
}

func (w *world) syncOwners(n *node) {
	readAt, revision := w.now, 0
	var table OwnerTable
	w.storeCall(n, func() bool {
		table, revision = w.table, w.revisions["owners"]
		return true
	}, func(bool) {
		plan := n.core.PlanOwners(w.now, readAt, table, w.listed)
		if !plan.Write {
			n.core.OwnersStored(w.now, plan)
			return
		}
		w.storeCall(n, func() bool {
			return w.compareAndSet("owners", revision, func() { w.table = plan.Table })
		}, func(ok bool) {
			if ok {
				n.core.OwnersStored(w.now, plan)
			}
		})
	})
}

// resume ends a pause; what arrived meanwhile is handled first.
func (w *world) resume(n *node) {
	n.pausedAt = time.Time{}
	held := n.held
	n.held = nil
	for _, e := range held {
		e.do()
	}
}

// remove forgets dead nodes that the platform does not list.
func (w *world) remove() {
	kept := w.nodes[:0]
	for _, n := range w.nodes {
		if !n.dead {
			kept = append(kept, n)
		}
	}
	w.nodes = kept
}
