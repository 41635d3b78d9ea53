package membership

import (
	"encoding/binary"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/platform"
)

// maxZones bounds the zones that a core remembers.
const maxZones = 4096

// digestBytes is the encoded size of a Digest without its zone's name.
const digestBytes = 17

// zone is another availability zone as its latest summary gives it.
type zone struct {
	version uint64
	records []Record
	hash    uint32
	// seen holds the latest record of each incarnation that was ever named,
	// until its retention ends.
	seen map[string]seenRecord
	// doubted are records of deaths that the summary contradicts without a
	// higher counter.
	doubted []Record
	// omitted holds since when the summary has left out a member whose death
	// was not told.
	omitted map[string]time.Time
	// advancedAt is the time at which the version last rose.
	advancedAt time.Time
	silent     bool
}

type seenRecord struct {
	record Record
	at     time.Time
}

// tickWorld judges the silence of zones and returns the gossip that is due.
func (c *Core) tickWorld(now time.Time) []Outgoing {
	c.judgeZones(now)
	if c.table.content != c.pushed {
		c.pushed = c.table.content
		c.version++
		c.push[c.self.Zone] = true
	}
	out := c.pushes(now)
	if now.Sub(c.gossipAt) >= c.gossipInterval() {
		c.gossipAt = now
		c.version++
		if peer, found := c.pickPeer(); found {
			out = append(out, c.askWorld(now, peer))
		}
	}
	return out
}

func (c *Core) judgeZones(now time.Time) {
	limit := c.silenceLimit()
	for _, z := range c.zones {
		silent := now.Sub(z.advancedAt) > limit
		if silent != z.silent {
			z.silent = silent
			c.buryUnlisted(z)
			c.changed = true
		}
	}
}

// judgeOmitted declares dead what a zone has left out for as long as it takes to
// judge a death there.
func (c *Core) judgeOmitted(now time.Time) {
	limit := c.options.SuspectAfter + c.options.ListedDeadAfter
	for _, z := range c.zones {
		for incarnation, since := range z.omitted {
			if now.Sub(since) > limit {
				delete(z.omitted, incarnation)
				z.bury(incarnation)
				c.changed = true
			}
		}
	}
}

func (z *zone) bury(incarnation string) {
	s, known := z.seen[incarnation]
	if !known || s.record.Status == Dead {
		return
	}
	s.record.Status = Dead
	z.seen[incarnation] = s
	z.doubted = append(z.doubted, s.record)
}

// buryUnlisted declares dead what is neither heard nor listed.
func (c *Core) buryUnlisted(z *zone) {
	if !z.silent || len(c.list) == 0 {
		return
	}
	for incarnation, s := range z.seen {
		if _, listed := c.list[s.record.Member.Instance]; !listed {
			z.bury(incarnation)
		}
	}
}

// forget drops what was seen of incarnations that are no longer named.
func (c *Core) forget(now time.Time, z *zone) {
	for incarnation, s := range z.seen {
		if now.Sub(s.at) > c.options.DeadRetention && !z.names(incarnation) {
			delete(z.seen, incarnation)
			delete(c.left, incarnation)
		}
	}
}

func (z *zone) names(incarnation string) bool {
	return slices.ContainsFunc(z.records, func(r Record) bool { return r.Member.Incarnation == incarnation })
}

// gossipInterval stretches with the size of a digest of all zones.
func (c *Core) gossipInterval() time.Duration {
	size := digestBytes + len(c.self.Zone)
	for name := range c.zones {
		size += digestBytes + len(name)
	}
	paced := time.Duration(size) * time.Second / time.Duration(c.options.GossipBytesPerSecond)
	return max(c.options.GossipInterval, paced)
}

// roundsPerDoubling is the number of gossip intervals by which the silence
// limit grows for each doubling of the number of zones.
const roundsPerDoubling = 2

// silenceLimit is ZoneSilence above the time that a version takes to spread.
func (c *Core) silenceLimit() time.Duration {
	rounds := roundsPerDoubling * bits.Len(uint(len(c.zones)))
	return c.options.ZoneSilence + time.Duration(rounds)*c.gossipInterval()
}

// pushes returns the changed summaries, each for Fanout random delegates.
func (c *Core) pushes(now time.Time) []Outgoing {
	if len(c.push) == 0 {
		return nil
	}
	var summaries []Summary
	for _, name := range slices.Sorted(maps.Keys(c.push)) {
		if summary, known := c.summary(name); known {
			summaries = append(summaries, summary)
		}
	}
	clear(c.push)
	var out []Outgoing
	for range c.options.Fanout {
		if peer, found := c.pickPeer(); found {
			message := c.gossip()
			message.Summaries = summaries
			out = append(out, Outgoing{Peer: peer, SentAt: now, Message: message})
		}
	}
	return out
}

// tickDoubts returns the doubts that are due, at most once in a gossip interval.
func (c *Core) tickDoubts(now time.Time) []Outgoing {
	if now.Sub(c.doubtAt) < c.gossipInterval() {
		return nil
	}
	c.doubtAt = now
	return c.doubts(now)
}

// doubts tells those that are shown alive again after their death was known, so
// that they raise their counter.
func (c *Core) doubts(now time.Time) []Outgoing {
	var out []Outgoing
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		if c.zones[name].silent {
			continue
		}
		for _, r := range c.zones[name].doubted {
			message := c.gossip()
			message.Summaries = []Summary{{Zone: name, Records: []Record{r}}}
			out = append(out, Outgoing{Peer: r.Member.Link, SentAt: now, Message: message})
		}
	}
	return out
}

func (c *Core) gossip() Message {
	c.sequence++
	return Message{From: c.self.Incarnation, Zone: c.self.Zone, Sequence: c.sequence}
}

// askWorld returns a request that compares all zones with a peer.
func (c *Core) askWorld(now time.Time, peer string) Outgoing {
	message := c.gossip()
	message.AllZones = true
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		message.Digests = append(message.Digests, c.digest(name))
	}
	if c.isDelegate() {
		message.Digests = append(message.Digests, c.digest(c.self.Zone))
	}
	return Outgoing{Peer: peer, SentAt: now, Message: message}
}

func (c *Core) digest(name string) Digest {
	if name == c.self.Zone {
		return Digest{Zone: name, Version: c.version, Hash: c.table.content}
	}
	z := c.zones[name]
	return Digest{Zone: name, Version: z.version, Hash: z.hash}
}

func (c *Core) summary(name string) (Summary, bool) {
	if name == c.self.Zone {
		return Summary{Zone: name, Version: c.version, Records: c.table.exported}, true
	}
	z, known := c.zones[name]
	if !known {
		return Summary{}, false
	}
	return Summary{Zone: name, Version: z.version, Records: z.records}, true
}

// pickPeer draws a zone and one of its delegates. For the own zone that is the
// other delegate; for a silent or unknown zone it may be any listed instance.
func (c *Core) pickPeer() (string, bool) {
	names := c.zoneNames()
	name := names[c.random.IntN(len(names))]
	var peers []string
	for _, m := range c.delegatesOf(name) {
		if m.Link != c.self.Link {
			peers = append(peers, m.Link)
		}
	}
	if z, known := c.zones[name]; name != c.self.Zone && (!known || z.silent) {
		peers = append(peers, c.listedLinks(name)...)
	}
	if len(peers) == 0 {
		return "", false
	}
	return peers[c.random.IntN(len(peers))], true
}

// zoneNames returns every known or listed zone in order.
func (c *Core) zoneNames() []string {
	names := map[string]bool{c.self.Zone: true}
	for name := range c.zones {
		names[name] = true
	}
	for _, instance := range c.list {
		names[instance.Zone] = true
	}
	return slices.Sorted(maps.Keys(names))
}

func (c *Core) delegatesOf(name string) []Member {
	if name == c.self.Zone {
		return c.table.delegates
	}
	z, known := c.zones[name]
	if !known {
		return nil
	}
	return delegates(z.members())
}

// members returns the zone's members that are not dead. What the summary leaves
// out comes first, as suspected.
func (z *zone) members() []Member {
	var members []Member
	for _, incarnation := range slices.Sorted(maps.Keys(z.omitted)) {
		if s := z.seen[incarnation]; s.record.Status != Dead {
			member := s.record.Member
			member.Suspected = true
			members = append(members, member)
		}
	}
	for _, r := range z.records {
		if latest := z.seen[r.Member.Incarnation].record; latest.Status != Dead {
			member := latest.Member
			member.Suspected = z.silent
			members = append(members, member)
		}
	}
	return members
}

func (c *Core) listedLinks(name string) []string {
	var links []string
	for _, id := range slices.Sorted(maps.Keys(c.list)) {
		if instance := c.list[id]; instance.Zone == name {
			links = append(links, instance.Link)
		}
	}
	return links
}

// compare answers a peer's digests with what either side lacks.
func (c *Core) compare(now time.Time, request Message) Message {
	c.acceptAll(now, request.Summaries)
	reply := c.gossip()
	named := make(map[string]bool)
	for _, theirs := range request.Digests {
		named[theirs.Zone] = true
		c.compareZone(now, theirs, request.Zone, &reply)
	}
	if request.AllZones {
		c.addUnnamed(request.Zone, named, &reply)
	}
	for name, z := range c.zones {
		if z.silent {
			reply.Silent = append(reply.Silent, name)
		}
	}
	slices.Sort(reply.Silent)
	return reply
}

func (c *Core) compareZone(now time.Time, theirs Digest, asker string, reply *Message) {
	if theirs.Zone == c.self.Zone {
		c.raiseVersion(theirs)
		if asker == c.self.Zone {
			return
		}
	} else if c.advance(now, theirs) {
		reply.Want = append(reply.Want, theirs.Zone)
		return
	}
	ours := c.digest(theirs.Zone)
	switch {
	case ours.Version < theirs.Version:
	case ours.Hash != theirs.Hash:
		summary, _ := c.summary(theirs.Zone)
		reply.Summaries = append(reply.Summaries, summary)
	case ours.Version > theirs.Version:
		reply.Digests = append(reply.Digests, ours)
	}
}

// raiseVersion keeps the own zone's version above every one in circulation. The
// version of an equal content is taken as it is.
func (c *Core) raiseVersion(theirs Digest) {
	if theirs.Version < c.version {
		return
	}
	c.version = theirs.Version
	if theirs.Hash != c.table.content && c.isDelegate() {
		c.version++
	}
}

// advance takes a later version of a zone whose content is the same, and
// reports whether the peer's content is wanted.
func (c *Core) advance(now time.Time, theirs Digest) bool {
	z, known := c.zones[theirs.Zone]
	if !known {
		if len(c.zones) >= maxZones {
			return false
		}
		z = &zone{seen: make(map[string]seenRecord), omitted: make(map[string]time.Time), advancedAt: now}
		c.zones[theirs.Zone] = z
		return true
	}
	if theirs.Hash != z.hash {
		return newer(theirs.Version, theirs.Hash, z)
	}
	if theirs.Version > z.version {
		z.version = theirs.Version
		z.advancedAt = now
	}
	return false
}

// newer reports whether a version goes before the one held. Delegates of one
// zone can give the same version to two contents; the higher hash wins.
func newer(version uint64, hash uint32, z *zone) bool {
	return version > z.version || (version == z.version && hash > z.hash)
}

func (c *Core) addUnnamed(asker string, named map[string]bool, reply *Message) {
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		if !named[name] && c.zones[name].version > 0 {
			summary, _ := c.summary(name)
			reply.Summaries = append(reply.Summaries, summary)
		}
	}
	if asker != c.self.Zone && !named[c.self.Zone] && c.isDelegate() {
		summary, _ := c.summary(c.self.Zone)
		reply.Summaries = append(reply.Summaries, summary)
	}
}

// compared takes the reply to a comparison and returns what the peer wants.
func (c *Core) compared(now time.Time, request Outgoing, reply Message) []Outgoing {
	c.acceptAll(now, reply.Summaries)
	for _, theirs := range reply.Digests {
		if theirs.Zone == c.self.Zone {
			c.raiseVersion(theirs)
		} else {
			c.advance(now, theirs)
		}
	}
	if request.Message.AllZones && reply.Zone == c.self.Zone && !c.isDelegate() {
		c.adoptSilence(now, reply.Silent)
	}
	var wanted []Summary
	for _, name := range reply.Want {
		if summary, known := c.summary(name); known {
			wanted = append(wanted, summary)
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	message := c.gossip()
	message.Summaries = wanted
	return []Outgoing{{Peer: request.Peer, SentAt: now, Message: message}}
}

// adoptSilence takes the delegate's judgement of silent zones.
func (c *Core) adoptSilence(now time.Time, silent []string) {
	for name, z := range c.zones {
		z.silent = slices.Contains(silent, name)
		c.buryUnlisted(z)
		z.advancedAt = now
	}
	c.changed = true
}

func (c *Core) acceptAll(now time.Time, summaries []Summary) {
	for _, summary := range summaries {
		c.accept(now, summary)
	}
}

// accept takes a summary that is newer than the one held.
func (c *Core) accept(now time.Time, summary Summary) {
	hash := hashRecords(summary.Records)
	if summary.Zone == c.self.Zone {
		c.raiseVersion(Digest{Zone: summary.Zone, Version: summary.Version, Hash: hash})
		c.refute(summary.Records)
		return
	}
	c.advance(now, Digest{Zone: summary.Zone, Version: summary.Version, Hash: hash})
	z, known := c.zones[summary.Zone]
	if !known || !newer(summary.Version, hash, z) {
		return
	}
	if hash != z.hash && c.isDelegate() {
		c.push[summary.Zone] = true
	}
	if summary.Version > z.version {
		z.advancedAt = now
	}
	previous := z.records
	z.version, z.hash, z.records = summary.Version, hash, summary.Records
	z.doubted = nil
	for _, r := range summary.Records {
		z.see(now, r)
	}
	z.noteOmitted(now, previous)
	c.forget(now, z)
	c.changed = true
}

// refute takes what other zones say of the own incarnation.
func (c *Core) refute(records []Record) {
	for _, r := range records {
		if r.Member.Incarnation == c.self.Incarnation {
			c.mergeSelf(r)
		}
	}
}

// see takes a record of the zone's summary. The zone's word of a death counts at
// any counter, since a sibling can know less of the dead than other zones do.
func (z *zone) see(now time.Time, r Record) {
	latest := r
	if previous, found := z.seen[r.Member.Incarnation]; found {
		latest = merge(previous.record, r)
	} else if r.Status != Dead {
		z.buryPredecessors(r.Member.Instance)
	}
	if r.Status == Dead {
		latest.Status = Dead
	}
	z.seen[r.Member.Incarnation] = seenRecord{record: latest, at: now}
	if latest.Status == Dead && r.Status != Dead {
		z.doubted = append(z.doubted, latest)
	}
}

// noteOmitted compares the summary with the one before it.
func (z *zone) noteOmitted(now time.Time, previous []Record) {
	named := make(map[string]bool, len(z.records))
	for _, r := range z.records {
		named[r.Member.Incarnation] = true
		delete(z.omitted, r.Member.Incarnation)
	}
	for _, r := range previous {
		incarnation := r.Member.Incarnation
		if !named[incarnation] && z.seen[incarnation].record.Status != Dead {
			z.omitted[incarnation] = now
		}
	}
}

// buryPredecessors declares dead the earlier incarnations of an instance of which
// a new one has appeared.
func (z *zone) buryPredecessors(instance string) {
	for incarnation, s := range z.seen {
		if s.record.Member.Instance == instance {
			z.bury(incarnation)
		}
	}
}

// worldHash covers the content and the silence of the other zones.
func (c *Core) worldHash() uint32 {
	digest := xxhash.New()
	var number [5]byte
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		z := c.zones[name]
		if z.version == 0 {
			continue
		}
		_, _ = digest.WriteString(name)
		binary.BigEndian.PutUint32(number[:], z.hash)
		number[4] = 0
		if z.silent {
			number[4] = 1
		}
		_, _ = digest.Write(number[:])
	}
	return uint32(digest.Sum64())
}

// Listed takes the platform's list. An instance that turns from live to leaving
// makes its known incarnation leave for good.
func (c *Core) Listed(instances []platform.Instance) {
	listed := make(map[string]platform.Instance, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = instance
	}
	for _, member := range c.view.Members {
		before, now := c.list[member.Instance].State, listed[member.Instance].State
		if before == platform.Live && now == platform.Leaving {
			c.left[member.Incarnation] = true
		}
	}
	c.list = listed
	for _, z := range c.zones {
		c.buryUnlisted(z)
	}
	c.changed = true
	c.refresh()
}
