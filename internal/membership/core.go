package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lovagescale/internal/instancelist"
)

// Core is the membership state of one incarnation. It reads no clock and opens
// no socket. Its methods must not be called at the same time.
type Core struct {
	options  Options
	random   *rand.Rand
	self     Member
	sequence uint64
	// ready is set when the own zone is known well enough to speak for it.
	ready     bool
	startedAt time.Time
	lastTick  time.Time
	beatAt    time.Time
	gossipAt  time.Time
	doubtAt   time.Time

	siblings map[string]*sibling
	zones    map[string]*zone
	version  uint64
	// pushed is the own zone's content as last pushed; push holds the zones to
	// push with their content before the change.
	pushed content
	push   map[string]content
	// mismatches counts replies of the first delegate whose other zones differ.
	mismatches int

	list map[string]instancelist.Instance
	left map[string]bool

	table tableState
	world uint32
	view  *View
	// changed is set when the view must be built again, confirmed when only its
	// ConfirmedUntil is out of date.
	changed   bool
	confirmed bool
}

// tableState is what follows from the records of the own zone.
type tableState struct {
	records   []Record
	hash      uint32
	exported  []Record
	content   uint32
	delegates []Member
}

// sibling is another incarnation of the own zone.
type sibling struct {
	record   Record
	order    uint64
	sequence uint64
	// heardAt is the time of the last message, or of the first mention.
	heardAt time.Time
	// statusAt is the time of the last change of status.
	statusAt time.Time
	// confirmedAt is the time at which the last answered request was sent.
	confirmedAt time.Time
}

// NewCore returns the state of an incarnation that knows only itself.
func NewCore(now time.Time, self Member, random *rand.Rand, options Options) *Core {
	c := &Core{
		options:   options.WithDefaults(),
		random:    random,
		self:      self,
		startedAt: now,
		lastTick:  now,
		siblings:  make(map[string]*sibling),
		zones:     make(map[string]*zone),
		push:      make(map[string]content),
		list:      make(map[string]instancelist.Instance),
		left:      make(map[string]bool),
	}
	c.refresh()
	return c
}

// View returns the members as of the last call.
func (c *Core) View() *View { return c.view }

// Options returns the options in use.
func (c *Core) Options() Options { return c.options }

// Leave marks the own incarnation as leaving and returns the requests that tell
// the siblings at once. They carry the records, so that no second exchange is
// needed.
func (c *Core) Leave(now time.Time) []Outgoing {
	if c.self.State != instancelist.Leaving {
		c.self.State = instancelist.Leaving
		c.self.Counter++
		c.touch()
	}
	c.beatAt = time.Time{}
	out := c.Tick(now)
	for i := range out {
		if out[i].Message.Zone == "" {
			out[i].Message.Records = c.table.records
		}
	}
	return out
}

// Tick judges silence and returns the requests that are due.
func (c *Core) Tick(now time.Time) []Outgoing {
	c.forgivePause(now)
	c.judgeSiblings(now)
	var out []Outgoing
	if now.Sub(c.beatAt) >= c.options.HeartbeatInterval {
		c.beatAt = now
		out = append(out, c.heartbeats(now)...)
	}
	c.judgeOmitted(now)
	c.refresh()
	c.ready = c.ready || c.isReady(now)
	if c.isDelegate() {
		out = append(out, c.tickWorld(now)...)
	}
	out = append(out, c.tickDoubts(now)...)
	c.refresh()
	return out
}

// forgivePause takes the time in which this process did not run out of every
// silence, since the others' messages could not be received.
func (c *Core) forgivePause(now time.Time) {
	pause := now.Sub(c.lastTick) - c.options.HeartbeatInterval
	c.lastTick = now
	if pause <= 0 {
		return
	}
	for _, s := range c.siblings {
		s.heardAt = s.heardAt.Add(pause)
		s.statusAt = s.statusAt.Add(pause)
	}
	for _, z := range c.zones {
		z.advancedAt = z.advancedAt.Add(pause)
	}
}

func (c *Core) judgeSiblings(now time.Time) {
	for incarnation, s := range c.siblings {
		switch {
		case s.record.Status == Alive && now.Sub(s.heardAt) > c.options.SuspectAfter:
			s.setStatus(now, Suspect)
			c.touch()
		case s.record.Status == Suspect && now.Sub(s.heardAt) > c.options.SuspectAfter &&
			now.Sub(s.statusAt) > c.deadAfter(s.record.Member.Instance):
			s.setStatus(now, Dead)
			c.touch()
		case s.record.Status == Dead && now.Sub(s.statusAt) > c.options.DeadRetention:
			delete(c.siblings, incarnation)
			delete(c.left, incarnation)
		}
	}
}

func (c *Core) deadAfter(instance string) time.Duration {
	if c.list[instance].State == instancelist.Live {
		return c.options.ListedDeadAfter
	}
	return c.options.DeadAfter
}

func (s *sibling) setStatus(now time.Time, status Status) {
	s.record.Status = status
	s.statusAt = now
}

// heartbeats returns one request for each sibling, the dead ones included until
// they are forgotten, and for each listed instance of the zone that is unknown.
func (c *Core) heartbeats(now time.Time) []Outgoing {
	peers := make(map[string]bool)
	for _, s := range c.siblings {
		peers[s.record.Member.Link] = true
	}
	for _, instance := range c.list {
		if instance.Zone == c.self.Zone {
			peers[instance.Link] = true
		}
	}
	delete(peers, c.self.Link)
	var out []Outgoing
	for _, peer := range slices.Sorted(maps.Keys(peers)) {
		out = append(out, Outgoing{Peer: peer, SentAt: now, Message: c.heartbeat()})
	}
	return out
}

func (c *Core) heartbeat() Message {
	c.refresh()
	c.sequence++
	return Message{From: c.self.Incarnation, Sequence: c.sequence, Table: c.table.hash, World: c.world}
}

// Serve returns the reply to a request.
func (c *Core) Serve(now time.Time, request Message) Message {
	if request.Zone != "" {
		reply := c.compare(now, request)
		c.refresh()
		return reply
	}
	c.mergeTable(now, request.Records)
	c.hear(now, request)
	reply := c.heartbeat()
	if request.Table != reply.Table {
		reply.Records = c.table.records
	}
	return reply
}

// Answered takes the reply to a request and returns the requests that follow.
func (c *Core) Answered(now time.Time, request Outgoing, reply Message) []Outgoing {
	var out []Outgoing
	if reply.Zone != "" {
		out = c.compared(now, request, reply)
	} else {
		out = c.beaten(now, request, reply)
	}
	c.refresh()
	return out
}

// beaten takes the reply to a heartbeat.
func (c *Core) beaten(now time.Time, request Outgoing, reply Message) []Outgoing {
	c.mergeTable(now, reply.Records)
	if s := c.hear(now, reply); s != nil && s.confirmedAt.Before(request.SentAt) {
		s.confirmedAt = request.SentAt
		c.confirmed = true
	}
	var out []Outgoing
	c.refresh()
	if c.table.hash != reply.Table && reply.Records != nil && request.Message.Records == nil {
		message := c.heartbeat()
		message.Records = c.table.records
		out = append(out, Outgoing{Peer: request.Peer, SentAt: now, Message: message})
	}
	if c.isFirstDelegate(reply.From) && c.missesWorld(reply.World) {
		out = append(out, c.askWorld(now, request.Peer))
	}
	return out
}

// hear notes a sign of life and returns its sender, or nil for one that is
// unknown, dead or repeated.
func (c *Core) hear(now time.Time, message Message) *sibling {
	s, known := c.siblings[message.From]
	if !known || s.record.Status == Dead || message.Sequence <= s.sequence {
		return nil
	}
	s.sequence = message.Sequence
	s.heardAt = now
	for _, other := range c.siblings {
		if other != s && other.record.Member.Instance == s.record.Member.Instance && other.record.Status != Dead {
			other.setStatus(now, Dead)
			c.touch()
		}
	}
	return s
}

// mergeTable takes records of the own zone. A record that doubts the own
// incarnation is refuted by a higher counter.
func (c *Core) mergeTable(now time.Time, records []Record) {
	for _, r := range records {
		switch {
		case r.Member.Zone != c.self.Zone:
		case r.Member.Incarnation == c.self.Incarnation:
			c.mergeSelf(r)
		default:
			c.mergeSibling(now, r)
		}
	}
}

func (c *Core) mergeSelf(r Record) {
	if r.Member.State == instancelist.Leaving && c.self.State != instancelist.Leaving {
		c.self.State = instancelist.Leaving
		c.touch()
	}
	if r.Member.Counter > c.self.Counter {
		c.self.Counter = r.Member.Counter
		c.touch()
	}
	if r.Status != Alive && r.Member.Counter == c.self.Counter {
		c.self.Counter++
		c.touch()
	}
}

func (c *Core) mergeSibling(now time.Time, r Record) {
	if r.Member.Instance == c.self.Instance {
		r.Status = Dead
	}
	s, known := c.siblings[r.Member.Incarnation]
	if !known {
		if r.Status == Dead {
			return
		}
		c.sequence++
		s = &sibling{record: r, order: c.sequence, heardAt: now, statusAt: now, confirmedAt: now}
		c.siblings[r.Member.Incarnation] = s
		c.touch()
		return
	}
	later := merge(s.record, r)
	if later == s.record {
		return
	}
	if later.Status != s.record.Status {
		s.statusAt = now
	}
	if later.Member.Counter > s.record.Member.Counter {
		s.heardAt = now
	}
	s.record = later
	c.touch()
}

// touch marks the own zone's records and the view as changed.
func (c *Core) touch() {
	c.table.records = nil
	c.changed = true
}

// refresh brings what follows from the state up to date.
func (c *Core) refresh() {
	if c.table.records == nil {
		c.refreshTable()
	}
	if c.changed || c.view == nil {
		c.world = c.worldHash()
		c.view = c.buildView()
		c.changed = false
		c.confirmed = false
	}
	if c.confirmed {
		view := *c.view
		view.ConfirmedUntil = c.confirmedUntil()
		c.view = &view
		c.confirmed = false
	}
}

func (c *Core) refreshTable() {
	ordered := slices.SortedFunc(maps.Values(c.siblings), func(a, b *sibling) int {
		return cmp.Compare(a.order, b.order)
	})
	var t tableState
	var members []Member
	for _, s := range ordered {
		r := s.record
		t.records = append(t.records, r)
		if r.Status == Dead {
			t.exported = append(t.exported, r)
			continue
		}
		member := r.Member
		member.Suspected = r.Status == Suspect
		members = append(members, member)
		r.Status = Alive
		t.exported = append(t.exported, r)
	}
	t.records = append(t.records, Record{Member: c.self})
	t.exported = append(t.exported, Record{Member: c.self})
	t.delegates = delegates(append(members, c.self))
	t.hash = hashRecords(t.records)
	t.content = hashRecords(t.exported)
	c.table = t
}
