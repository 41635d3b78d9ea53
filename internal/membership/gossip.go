package membership

import (
	"maps"
	"slices"
	"time"
)

// digestBytes is the encoded size of a Digest without its zone's name.
const digestBytes = 17

// tickWorld judges the silence of zones and returns the gossip that is due.
func (c *Core) tickWorld(now time.Time) []Outgoing {
	c.judgeZones(now)
	if c.table.content != c.pushed.hash {
		c.version++
		c.push[c.self.Zone] = c.pushed
		c.pushed = content{hash: c.table.content, records: c.table.exported}
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

// gossipInterval stretches with the size of a digest of all zones.
func (c *Core) gossipInterval() time.Duration {
	size := digestBytes + len(c.self.Zone)
	for name := range c.zones {
		size += digestBytes + len(name)
	}
	paced := time.Duration(size) * time.Second / time.Duration(c.options.GossipBytesPerSecond)
	return max(c.options.GossipInterval, paced)
}

// pushes returns the changes of summaries, for Fanout random delegates and, by
// the first delegate, for the other siblings.
func (c *Core) pushes(now time.Time) []Outgoing {
	if len(c.push) == 0 {
		return nil
	}
	var all, others []Summary
	for _, name := range slices.Sorted(maps.Keys(c.push)) {
		change, known := c.change(name, c.push[name])
		if !known {
			continue
		}
		all = append(all, change)
		if name != c.self.Zone {
			others = append(others, change)
		}
	}
	clear(c.push)
	var out []Outgoing
	for range c.options.Fanout {
		if peer, found := c.pickPeer(); found {
			out = append(out, c.carry(now, peer, all))
		}
	}
	return append(out, c.pushesToSiblings(now, others)...)
}

func (c *Core) pushesToSiblings(now time.Time, changes []Summary) []Outgoing {
	if len(changes) == 0 || c.table.delegates[0].Incarnation != c.self.Incarnation {
		return nil
	}
	var out []Outgoing
	for _, incarnation := range slices.Sorted(maps.Keys(c.siblings)) {
		if s := c.siblings[incarnation]; s.record.Status != Dead {
			out = append(out, c.carry(now, s.record.Member.Link, changes))
		}
	}
	return out
}

// carry returns a request that carries summaries.
func (c *Core) carry(now time.Time, peer string, summaries []Summary) Outgoing {
	message := c.gossip()
	message.Summaries = summaries
	return Outgoing{Peer: peer, SentAt: now, Message: message}
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

func (c *Core) listedLinks(name string) []string {
	var links []string
	for _, id := range slices.Sorted(maps.Keys(c.list)) {
		if instance := c.list[id]; instance.Zone == name {
			links = append(links, instance.Link)
		}
	}
	return links
}
