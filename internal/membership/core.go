package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lovagescale/internal/instancelist"
)

// Core is the membership state of one incarnation. It reads no clock and performs
// no I/O. It is not safe for concurrent use.
type Core struct {
	options  Options
	random   *rand.Rand
	self     Member
	sequence uint64
	// ready is set once this core knows the local zone well enough to represent it
	// as a delegate; see isReady.
	ready            bool
	startedAt        time.Time
	lastTick         time.Time
	lastHeartbeat    time.Time
	lastGossip       time.Time
	lastDeathNotices time.Time

	siblings     map[string]*sibling // by incarnation
	zones        map[string]*zone    // the other zones, by name
	localVersion uint64              // of the local zone's summary
	// lastPushed is the content of the local zone's summary that was pushed last.
	// pendingPushes holds, for each zone whose summary is to be pushed, the content
	// before the change.
	lastPushed    summaryContent
	pendingPushes map[string]summaryContent
	// mismatches counts consecutive heartbeat replies of the first delegate whose
	// hash of the other zones differs from this core's.
	mismatches int

	listed map[string]instancelist.Instance // the platform's list, by instance
	// announcedLeaving holds the incarnations whose instance turned from live to
	// leaving in the list while they were members.
	announcedLeaving map[string]bool

	table          localTable
	otherZonesHash uint32
	view           *View
	// viewStale is set if the view must be rebuilt, confirmationStale if only its
	// ConfirmedUntil must be updated.
	viewStale         bool
	confirmationStale bool
}

// localTable holds the records of the local zone and the values derived from them.
type localTable struct {
	records      []Record // nil if the table must be rebuilt
	hash         uint32
	exported     []Record // as sent to other zones: suspected members count as alive
	exportedHash uint32
	delegates    []Member
}

// sibling is another incarnation in the local zone.
type sibling struct {
	record         Record
	discoveryOrder uint64
	lastSequence   uint64
	// lastHeard is the time of the last message from the sibling, of its first
	// mention in a table or of the last rise of its counter, whichever is latest.
	lastHeard       time.Time
	statusChangedAt time.Time
	// ackedSentAt is when the latest request that the sibling has replied to was sent.
	ackedSentAt time.Time
}

// NewCore returns the core of an incarnation that knows no other member yet.
func NewCore(now time.Time, self Member, random *rand.Rand, options Options) *Core {
	c := &Core{
		options:          options.WithDefaults(),
		random:           random,
		self:             self,
		startedAt:        now,
		lastTick:         now,
		siblings:         make(map[string]*sibling),
		zones:            make(map[string]*zone),
		pendingPushes:    make(map[string]summaryContent),
		listed:           make(map[string]instancelist.Instance),
		announcedLeaving: make(map[string]bool),
	}
	c.refresh()
	return c
}

// View returns the view as of the last method call that changed it.
func (c *Core) View() *View { return c.view }

// Options returns the options in use, with defaults applied.
func (c *Core) Options() Options { return c.options }

// Leave marks this incarnation as leaving and returns the requests that notify the
// siblings at once. They carry the table, so that no second exchange is needed.
func (c *Core) Leave(now time.Time) []Outgoing {
	if c.self.State != instancelist.Leaving {
		c.self.State = instancelist.Leaving
		c.self.Counter++
		c.invalidateTable()
	}
	c.lastHeartbeat = time.Time{}
	out := c.Tick(now)
	for i := range out {
		if out[i].Message.Zone == "" {
			out[i].Message.Records = c.table.records
		}
	}
	return out
}

// Tick updates the statuses of silent members and returns the requests that are due.
func (c *Core) Tick(now time.Time) []Outgoing {
	c.discountPause(now)
	c.updateSiblingStatuses(now)
	var out []Outgoing
	if now.Sub(c.lastHeartbeat) >= c.options.HeartbeatInterval {
		c.lastHeartbeat = now
		out = append(out, c.heartbeats(now)...)
	}
	c.expireOmitted(now)
	c.refresh()
	c.ready = c.ready || c.isReady(now)
	if c.isDelegate() {
		out = append(out, c.tickGossip(now)...)
	}
	out = append(out, c.tickDeathNotices(now)...)
	c.refresh()
	return out
}

// discountPause excludes the time during which this process did not run from every
// measured silence, since it could not receive messages then. A pause is the excess
// of the time since the last tick over one heartbeat interval.
func (c *Core) discountPause(now time.Time) {
	pause := now.Sub(c.lastTick) - c.options.HeartbeatInterval
	c.lastTick = now
	if pause <= 0 {
		return
	}
	for _, s := range c.siblings {
		s.lastHeard = s.lastHeard.Add(pause)
		s.statusChangedAt = s.statusChangedAt.Add(pause)
	}
	for _, z := range c.zones {
		z.versionAdvancedAt = z.versionAdvancedAt.Add(pause)
	}
}

// updateSiblingStatuses suspects silent siblings, declares silent suspects dead and
// forgets dead siblings after DeadRetention.
func (c *Core) updateSiblingStatuses(now time.Time) {
	for incarnation, s := range c.siblings {
		switch {
		case s.record.Status == Alive && now.Sub(s.lastHeard) > c.options.SuspectAfter:
			s.setStatus(now, Suspect)
			c.invalidateTable()
		case s.record.Status == Suspect && now.Sub(s.lastHeard) > c.options.SuspectAfter &&
			now.Sub(s.statusChangedAt) > c.deadAfter(s.record.Member.Instance):
			s.setStatus(now, Dead)
			c.invalidateTable()
		case s.record.Status == Dead && now.Sub(s.statusChangedAt) > c.options.DeadRetention:
			delete(c.siblings, incarnation)
			delete(c.announcedLeaving, incarnation)
		}
	}
}

// deadAfter returns the time from the instance's suspicion until it is declared dead.
func (c *Core) deadAfter(instance string) time.Duration {
	if c.listed[instance].State == instancelist.Live {
		return c.options.ListedDeadAfter
	}
	return c.options.DeadAfter
}

func (s *sibling) setStatus(now time.Time, status Status) {
	s.record.Status = status
	s.statusChangedAt = now
}

// heartbeats returns a heartbeat for each sibling, including the dead ones until they
// are forgotten, and for each listed instance of the zone that is not known yet.
func (c *Core) heartbeats(now time.Time) []Outgoing {
	peers := make(map[string]bool)
	for _, s := range c.siblings {
		peers[s.record.Member.Link] = true
	}
	for _, instance := range c.listed {
		if instance.Zone == c.self.Zone {
			peers[instance.Link] = true
		}
	}
	delete(peers, c.self.Link)
	var out []Outgoing
	for _, peer := range slices.Sorted(maps.Keys(peers)) {
		out = append(out, Outgoing{Peer: peer, SentAt: now, Message: c.newHeartbeatMessage()})
	}
	return out
}

func (c *Core) newHeartbeatMessage() Message {
	c.refresh()
	c.sequence++
	return Message{From: c.self.Incarnation, Sequence: c.sequence, TableHash: c.table.hash, OtherZonesHash: c.otherZonesHash}
}

// HandleRequest processes a request of another core and returns the reply.
func (c *Core) HandleRequest(now time.Time, request Message) Message {
	if request.Zone != "" {
		reply := c.handleGossip(now, request)
		c.refresh()
		return reply
	}
	c.mergeTable(now, request.Records)
	c.markHeard(now, request)
	reply := c.newHeartbeatMessage()
	if request.TableHash != reply.TableHash {
		reply.Records = c.table.records
	}
	return reply
}

// HandleReply processes the reply to a request and returns the requests to send next.
func (c *Core) HandleReply(now time.Time, request Outgoing, reply Message) []Outgoing {
	var out []Outgoing
	if reply.Zone != "" {
		out = c.handleGossipReply(now, request, reply)
	} else {
		out = c.handleHeartbeatReply(now, request, reply)
	}
	c.refresh()
	return out
}

// handleHeartbeatReply processes the reply to a heartbeat. If the reply carries a
// table and this core's table still differs after the merge, this core's table is sent
// back, unless the request carried a table already. If the first delegate's state of
// the other zones keeps differing from this core's, a comparison is requested.
func (c *Core) handleHeartbeatReply(now time.Time, request Outgoing, reply Message) []Outgoing {
	c.mergeTable(now, reply.Records)
	if s := c.markHeard(now, reply); s != nil && s.ackedSentAt.Before(request.SentAt) {
		s.ackedSentAt = request.SentAt
		c.confirmationStale = true
	}
	var out []Outgoing
	c.refresh()
	if c.table.hash != reply.TableHash && reply.Records != nil && request.Message.Records == nil {
		message := c.newHeartbeatMessage()
		message.Records = c.table.records
		out = append(out, Outgoing{Peer: request.Peer, SentAt: now, Message: message})
	}
	if c.takesSummariesFrom(reply.From) && c.needsComparison(reply.OtherZonesHash) {
		out = append(out, c.newComparisonRequest(now, request.Peer))
	}
	return out
}

// markHeard records that a message was received and returns its sender, or nil if the
// sender is unknown or dead or has sent a later message that arrived before. The
// message proves that other incarnations of the sender's instance are dead.
func (c *Core) markHeard(now time.Time, message Message) *sibling {
	s, known := c.siblings[message.From]
	if !known || s.record.Status == Dead || message.Sequence <= s.lastSequence {
		return nil
	}
	s.lastSequence = message.Sequence
	s.lastHeard = now
	for _, other := range c.siblings {
		if other != s && other.record.Member.Instance == s.record.Member.Instance && other.record.Status != Dead {
			other.setStatus(now, Dead)
			c.invalidateTable()
		}
	}
	return s
}

// mergeTable merges a sibling's records of the local zone.
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

// mergeSelf merges a record of this incarnation. A record that shows it suspected
// or dead is refuted by raising the counter above the record's.
func (c *Core) mergeSelf(r Record) {
	if r.Member.State == instancelist.Leaving && c.self.State != instancelist.Leaving {
		c.self.State = instancelist.Leaving
		c.invalidateTable()
	}
	if r.Member.Counter > c.self.Counter {
		c.self.Counter = r.Member.Counter
		c.invalidateTable()
	}
	if r.Status != Alive && r.Member.Counter == c.self.Counter {
		c.self.Counter++
		c.invalidateTable()
	}
}

// mergeSibling merges a record of another incarnation in the local zone. Another
// incarnation of this core's own instance is a predecessor and counts as dead.
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
		s = &sibling{record: r, discoveryOrder: c.sequence, lastHeard: now, statusChangedAt: now, ackedSentAt: now}
		c.siblings[r.Member.Incarnation] = s
		c.invalidateTable()
		return
	}
	later := merge(s.record, r)
	if later == s.record {
		return
	}
	if later.Status != s.record.Status {
		s.statusChangedAt = now
	}
	if later.Member.Counter > s.record.Member.Counter {
		s.lastHeard = now
	}
	s.record = later
	c.invalidateTable()
}

// invalidateTable marks the table of the local zone and the view as out of date.
func (c *Core) invalidateTable() {
	c.table.records = nil
	c.viewStale = true
}

// refresh rebuilds the derived state that is out of date.
func (c *Core) refresh() {
	if c.table.records == nil {
		c.rebuildTable()
	}
	if c.viewStale || c.view == nil {
		c.otherZonesHash = c.hashOtherZones()
		c.view = c.buildView()
		c.viewStale = false
		c.confirmationStale = false
	}
	if c.confirmationStale {
		view := *c.view
		view.ConfirmedUntil = c.confirmedUntil()
		c.view = &view
		c.confirmationStale = false
	}
}

func (c *Core) rebuildTable() {
	ordered := slices.SortedFunc(maps.Values(c.siblings), func(a, b *sibling) int {
		return cmp.Compare(a.discoveryOrder, b.discoveryOrder)
	})
	var t localTable
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
	t.delegates = chooseDelegates(append(members, c.self))
	t.hash = hashRecords(t.records)
	t.exportedHash = hashRecords(t.exported)
	c.table = t
}
