package membership

import (
	"maps"
	"slices"
	"time"
)

// digestBytes is the encoded size of a Digest without the zone name.
const digestBytes = 17

// tickGossip updates which zones are silent and returns the gossip that is due.
func (c *Core) tickGossip(now time.Time) []Outgoing {
	c.updateSilentZones(now)
	if c.table.exportedHash != c.lastPushed.hash {
		c.localVersion++
		c.pendingPushes[c.self.Zone] = c.lastPushed
		c.lastPushed = summaryContent{hash: c.table.exportedHash, records: c.table.exported}
	}
	out := c.duePushes(now)
	if now.Sub(c.lastGossip) >= c.gossipInterval() {
		c.lastGossip = now
		c.localVersion++
		if peer, found := c.pickPeer(); found {
			out = append(out, c.newComparisonRequest(now, peer))
		}
	}
	return out
}

// gossipInterval returns the time between comparisons. It grows with the encoded
// size of the digests of all zones, so that they stay within GossipBytesPerSecond.
func (c *Core) gossipInterval() time.Duration {
	size := digestBytes + len(c.self.Zone)
	for name := range c.zones {
		size += digestBytes + len(name)
	}
	byteLimited := time.Duration(size) * time.Second / time.Duration(c.options.GossipBytesPerSecond)
	return max(c.options.GossipInterval, byteLimited)
}

// duePushes returns requests that push the pending deltas to Fanout random
// delegates. The first delegate also pushes those of other zones to its siblings.
func (c *Core) duePushes(now time.Time) []Outgoing {
	if len(c.pendingPushes) == 0 {
		return nil
	}
	var all, others []Summary
	for _, name := range slices.Sorted(maps.Keys(c.pendingPushes)) {
		delta, known := c.delta(name, c.pendingPushes[name])
		if !known {
			continue
		}
		all = append(all, delta)
		if name != c.self.Zone {
			others = append(others, delta)
		}
	}
	clear(c.pendingPushes)
	var out []Outgoing
	for range c.options.Fanout {
		if peer, found := c.pickPeer(); found {
			out = append(out, c.newSummariesRequest(now, peer, all))
		}
	}
	return append(out, c.siblingPushes(now, others)...)
}

// siblingPushes returns requests that push the deltas to all siblings that are not
// dead, if this core is the first delegate.
func (c *Core) siblingPushes(now time.Time, deltas []Summary) []Outgoing {
	if len(deltas) == 0 || c.table.delegates[0].Incarnation != c.self.Incarnation {
		return nil
	}
	var out []Outgoing
	for _, incarnation := range slices.Sorted(maps.Keys(c.siblings)) {
		if s := c.siblings[incarnation]; s.record.Status != Dead {
			out = append(out, c.newSummariesRequest(now, s.record.Member.Link, deltas))
		}
	}
	return out
}

// newSummariesRequest returns a request that carries summaries.
func (c *Core) newSummariesRequest(now time.Time, peer string, summaries []Summary) Outgoing {
	message := c.newGossipMessage()
	message.Summaries = summaries
	return Outgoing{Peer: peer, SentAt: now, Message: message}
}

// pickPeer chooses a zone at random and then one of its delegates, and returns the
// link address. For the local zone that is the other delegate. For a silent or
// unknown zone, any listed instance of the zone is a candidate too.
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

// zoneNames returns the sorted names of all known and listed zones.
func (c *Core) zoneNames() []string {
	names := map[string]bool{c.self.Zone: true}
	for name := range c.zones {
		names[name] = true
	}
	for _, instance := range c.listed {
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
	return chooseDelegates(z.members())
}

func (c *Core) listedLinks(name string) []string {
	var links []string
	for _, id := range slices.Sorted(maps.Keys(c.listed)) {
		if instance := c.listed[id]; instance.Zone == name {
			links = append(links, instance.Link)
		}
	}
	return links
}
