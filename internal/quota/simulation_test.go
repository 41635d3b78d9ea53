package quota

import (
	"fmt"
	"sort"
	"time"
)

// simulation runs cores over a simulated store and network in simulated time, and
// checks every admission against one reference bucket per workspace.
type simulation struct {
	now         time.Time
	options     Options
	injectFault func(*Core)
	draw        func(n int) int

	nodes      []*node
	zones      int
	limits     Limits
	events     []event
	lastSerial int // last number given to a process or an event

	storeDown     bool
	repliesToLose int // replies of the store that are lost next
	zoneRecords   map[string]ZoneRecord
	ownerTable    OwnerTable
	revisions     map[string]int
	listed        ListedInstances
	cutOffZones   map[string]bool
	lossPercent   int
	maxDelay      time.Duration
	// latency, if set, replaces the random delays of messages.
	latency func(from, to *node) time.Duration
	// syncInterval is the time between updates of the peers and reads of the store.
	syncInterval    time.Duration
	reliableNetwork bool // no random faults on messages

	referenceBuckets   map[string]*referenceBucket
	violation          string
	admitted           int
	refused            int
	refusedByWorkspace map[string]int
	storeCalls         int
	messages           int
	nextID             uint64
}

type event struct {
	at    time.Time
	to    *node
	run   func()
	order int
}

type node struct {
	Peer
	core              *Core
	dead              bool
	pausedAt          time.Time
	nextTick          time.Time
	nextSync          time.Time
	nextZoneSync      time.Time
	revision          uint64
	heldEvents        []event // messages that arrived during a pause
	requestWorkspaces map[uint64]string
}

func (n *node) paused() bool { return !n.pausedAt.IsZero() }

func newSimulation(options Options, zones, perZone int, limits map[string]Limit, draw func(n int) int) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), options: options.withDefaults(), draw: draw, zones: zones,
		limits:      Limits{Revision: 1, Zones: zones, Workspaces: limits},
		zoneRecords: make(map[string]ZoneRecord), revisions: make(map[string]int), listed: make(ListedInstances),
		cutOffZones: make(map[string]bool), referenceBuckets: make(map[string]*referenceBucket), refusedByWorkspace: make(map[string]int), maxDelay: 2 * time.Millisecond, reliableNetwork: true,
		syncInterval: time.Second,
	}
	for zone := range zones {
		for range perZone {
			s.start(fmt.Sprintf("zone-%d", zone), "")
		}
	}
	return s
}

// start starts a process, of a new instance if none is given.
func (s *simulation) start(zone, instance string) *node {
	s.lastSerial++
	if instance == "" {
		instance = fmt.Sprintf("instance-%d", s.lastSerial)
	}
	n := &node{
		Peer:     Peer{Incarnation: fmt.Sprintf("%s-%d", instance, s.lastSerial), Instance: instance, Zone: zone},
		nextTick: s.now, nextSync: s.now, requestWorkspaces: make(map[uint64]string),
	}
	n.core = NewCore(s.now, n.Peer, s.options)
	if s.injectFault != nil {
		s.injectFault(n.core)
	}
	s.listed[instance] = true
	s.nodes = append(s.nodes, n)
	s.configure(n)
	return n
}

func (s *simulation) configure(n *node) {
	if n.paused() || n.revision == s.limits.Revision {
		return
	}
	n.core.Configure(s.now, s.limits)
	n.revision = s.limits.Revision
	s.updateReferenceLimits()
}

// updateReferenceLimits adds the limits that are in use now to the reference buckets.
func (s *simulation) updateReferenceLimits() {
	for _, n := range s.nodes {
		for name, limit := range n.core.limits.Workspaces {
			b, known := s.referenceBuckets[name]
			if !known {
				b = &referenceBucket{level: limit.Burst, updatedAt: s.now}
				s.referenceBuckets[name] = b
			}
			b.addLimit(limit, s.now.Add(2*withClockMargin(s.options.GrantTTL)))
		}
	}
}

func (s *simulation) recordAdmission(workspace string) {
	s.admitted++
	if !s.referenceBuckets[workspace].take(s.now) && s.violation == "" {
		s.violation = fmt.Sprintf("workspace %q got more than rate and burst at %s", workspace, s.now.Sub(time.Unix(1000, 0)))
	}
}

// checkSpendable checks that no more tokens can be spent now than the burst.
func (s *simulation) checkSpendable() {
	for name, b := range s.referenceBuckets {
		var spendable Microtokens
		for _, n := range s.nodes {
			if !n.paused() {
				n.core.advanceClock(s.now)
				spendable += n.core.workspaces[name].available(s.now)
			}
		}
		if burst := b.highestLimit(s.now).Burst; spendable > toMicrotokens(burst)+Token/1000 {
			s.violation = fmt.Sprintf("workspace %q has %d microtokens to spend, above its burst of %g", name, spendable, burst)
		}
	}
}

func (s *simulation) request(n *node, workspace string) {
	if n.dead || n.paused() {
		return
	}
	if n.core.TryAcquire(s.now, workspace) {
		s.recordAdmission(workspace)
		return
	}
	s.nextID++
	n.requestWorkspaces[s.nextID] = workspace
	n.core.Acquire(s.now, workspace, s.nextID, s.now.Add(time.Second))
	s.drain(n)
}

// drain records the decisions of a core and sends its grant requests.
func (s *simulation) drain(n *node) {
	requests, decisions := n.core.Drain()
	for _, d := range decisions {
		if d.Admitted {
			s.recordAdmission(n.requestWorkspaces[d.ID])
		} else {
			s.refused++
			s.refusedByWorkspace[n.requestWorkspaces[d.ID]]++
		}
		delete(n.requestWorkspaces, d.ID)
	}
	for _, outgoing := range requests {
		s.sendGrantRequest(n, outgoing)
	}
}

func (s *simulation) sendGrantRequest(n *node, outgoing OutgoingRequest) {
	issuer := s.byIncarnation(outgoing.To)
	if issuer == nil {
		return
	}
	s.send(n, issuer, func() {
		grants := issuer.core.Serve(s.now, n.Incarnation, []GrantRequest{outgoing.Request})
		s.send(issuer, n, func() {
			n.core.HandleGrants(s.now, issuer.Incarnation, grants)
			s.drain(n)
		})
	})
}

// send delivers a message after a delay. It may lose or duplicate the message.
func (s *simulation) send(from, to *node, run func()) {
	s.messages++
	copies := 1
	if !s.reliableNetwork && s.draw(100) < s.lossPercent {
		copies = s.draw(2) * 2
	}
	for range copies {
		delay := time.Duration(1+s.draw(int(s.maxDelay/time.Millisecond))) * time.Millisecond
		if s.latency != nil {
			delay = s.latency(from, to)
		}
		s.schedule(delay, to, func() {
			if from.Zone == to.Zone || !s.cutOffZones[from.Zone] && !s.cutOffZones[to.Zone] {
				run()
			}
		})
	}
}

func (s *simulation) schedule(delay time.Duration, to *node, run func()) {
	s.lastSerial++
	s.events = append(s.events, event{at: s.now.Add(delay), to: to, run: run, order: s.lastSerial})
}

func (s *simulation) byIncarnation(incarnation string) *node {
	for _, n := range s.nodes {
		if n.Incarnation == incarnation {
			return n
		}
	}
	return nil
}

// advance lets time pass in steps. Each step delivers due messages and ticks nodes.
func (s *simulation) advance(total, step time.Duration) {
	for end := s.now.Add(total); s.now.Before(end); {
		s.now = s.now.Add(min(step, end.Sub(s.now)))
		s.deliver()
		s.updateReferenceLimits()
		for _, n := range s.nodes {
			s.tick(n)
		}
	}
}

func (s *simulation) deliver() {
	sort.Slice(s.events, func(i, j int) bool {
		a, b := s.events[i], s.events[j]
		return a.at.Before(b.at) || a.at.Equal(b.at) && a.order < b.order
	})
	for len(s.events) > 0 && !s.events[0].at.After(s.now) {
		next := s.events[0]
		s.events = s.events[1:]
		switch {
		case next.to.dead:
		case next.to.paused():
			next.to.heldEvents = append(next.to.heldEvents, next)
		default:
			next.run()
		}
	}
}

func (s *simulation) tick(n *node) {
	if n.dead || n.paused() || s.now.Before(n.nextTick) {
		return
	}
	const interval = 25 * time.Millisecond
	n.nextTick = s.now.Add(interval)
	n.core.Tick(s.now, interval)
	s.drain(n)
	if s.now.Before(n.nextSync) {
		return
	}
	n.nextSync = s.now.Add(s.syncInterval)
	s.syncPeers(n)
	if n.core.NeedsZoneSync(s.now) || n.core.LeadsZone() && !s.now.Before(n.nextZoneSync) {
		const zoneSyncs = 5
		n.nextZoneSync = s.now.Add(zoneSyncs * s.syncInterval)
		s.syncZone(n)
	}
	if n.core.NeedsOwnerSync() {
		s.syncOwners(n)
	}
}

func (s *simulation) syncPeers(n *node) {
	var peers []Peer
	for _, other := range s.nodes {
		if other != n && !other.dead && !other.paused() && (other.Zone == n.Zone || !s.cutOffZones[other.Zone] && !s.cutOffZones[n.Zone]) {
			peer := other.Peer
			peer.Leaving = other.core.released
			peers = append(peers, peer)
		}
	}
	n.core.SetPeers(s.now, peers)
}

// storeCall makes one call to the store. Its reply may be lost or delayed.
func (s *simulation) storeCall(n *node, call func() bool, reply func(bool)) {
	s.storeCalls++
	if s.storeDown || s.cutOffZones[n.Zone] {
		return
	}
	ok := call()
	if s.repliesToLose > 0 {
		s.repliesToLose--
		return
	}
	s.schedule(time.Duration(1+s.draw(20))*time.Millisecond, n, func() { reply(ok) })
}

func (s *simulation) compareAndSet(key string, expect int, write func()) bool {
	if s.revisions[key] != expect {
		return false
	}
	s.revisions[key]++
	write()
	return true
}

func (s *simulation) syncZone(n *node) {
	readAt, revision := s.now, 0
	var record ZoneRecord
	s.storeCall(n, func() bool {
		record, revision = s.zoneRecords[n.Zone], s.revisions[n.Zone]
		return true
	}, func(bool) {
		plan := n.core.PlanZone(s.now, readAt, record, s.listed)
		if !plan.NeedsWrite {
			s.zoneStored(n, plan)
			return
		}
		s.storeCall(n, func() bool {
			return s.compareAndSet(n.Zone, revision, func() { s.zoneRecords[n.Zone] = plan.Record })
		}, func(ok bool) {
			if ok {
				s.zoneStored(n, plan)
			}
		})
	})
}

func (s *simulation) zoneStored(n *node, plan ZonePlan) {
	n.core.ZoneStored(s.now, plan)
	if n.core.NeedsZoneCheck() {
		var records []ZoneRecord
		s.storeCall(n, func() bool {
			for z := range s.zones {
				records = append(records, s.zoneRecords[fmt.Sprintf("zone-%d", z)])
			}
			return true
		}, func(bool) { n.core.CheckZones(s.now, records) })
	}
	holder := s.byIncarnation(n.core.CedeRequestTarget(s.now, plan.Record))
	if holder != nil && holder.Zone == n.Zone {
		s.send(n, holder, func() { holder.core.Cede(s.now, CedeRequest{n.Incarnation, n.Instance}) })
	}
}

func (s *simulation) syncOwners(n *node) {
	readAt, revision := s.now, 0
	var table OwnerTable
	s.storeCall(n, func() bool {
		table, revision = s.ownerTable, s.revisions["owners"]
		return true
	}, func(bool) {
		plan := n.core.PlanOwners(s.now, readAt, table, s.listed)
		if !plan.NeedsWrite {
			n.core.OwnersStored(s.now, plan)
			return
		}
		s.storeCall(n, func() bool {
			return s.compareAndSet("owners", revision, func() { s.ownerTable = plan.Table })
		}, func(ok bool) {
			if ok {
				n.core.OwnersStored(s.now, plan)
			}
		})
	})
}

// resume ends a pause. Messages that arrived during the pause are handled first.
func (s *simulation) resume(n *node) {
	n.pausedAt = time.Time{}
	heldEvents := n.heldEvents
	n.heldEvents = nil
	for _, e := range heldEvents {
		e.run()
	}
}

func (s *simulation) removeDead() {
	kept := s.nodes[:0]
	for _, n := range s.nodes {
		if !n.dead {
			kept = append(kept, n)
		}
	}
	s.nodes = kept
}
