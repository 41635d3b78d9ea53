package membership

import (
	"maps"
	"slices"
	"time"
)

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
	return []Outgoing{c.carry(now, request.Peer, wanted)}
}

// mismatchesToAsk is the number of differing replies in a row after which the
// delegate is asked, since its push of a change was lost.
const mismatchesToAsk = 2

// missesWorld reports whether the delegate's other zones differ for long, or are
// not known at all.
func (c *Core) missesWorld(theirs uint32) bool {
	if c.world == theirs {
		c.mismatches = 0
		return false
	}
	c.mismatches++
	if c.mismatches < mismatchesToAsk && len(c.zones) > 0 {
		return false
	}
	c.mismatches = 0
	return true
}
