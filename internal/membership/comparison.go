package membership

import (
	"maps"
	"slices"
	"time"
)

func (c *Core) newGossipMessage() Message {
	c.sequence++
	return Message{From: c.self.Incarnation, Zone: c.self.Zone, Sequence: c.sequence}
}

// newComparisonRequest returns a request to the peer to compare the summaries of
// all zones. Only a delegate includes the local zone.
func (c *Core) newComparisonRequest(now time.Time, peer string) Outgoing {
	message := c.newGossipMessage()
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
		return Digest{Zone: name, Version: c.localVersion, Hash: c.table.exportedHash}
	}
	z := c.zones[name]
	return Digest{Zone: name, Version: z.version, Hash: z.hash}
}

// handleGossip accepts the summaries of a gossip request, compares its digests with the
// summaries held and returns a reply with the summaries that the peer lacks and the
// names of the zones whose summaries this core lacks.
func (c *Core) handleGossip(now time.Time, request Message) Message {
	c.acceptSummaries(now, request.Summaries)
	reply := c.newGossipMessage()
	named := make(map[string]bool)
	for _, theirs := range request.Digests {
		named[theirs.Zone] = true
		c.compareZone(now, theirs, request.Zone, &reply)
	}
	if request.AllZones {
		c.addUnnamedZones(request.Zone, named, &reply)
	}
	for name, z := range c.zones {
		if z.silent {
			reply.SilentZones = append(reply.SilentZones, name)
		}
	}
	slices.Sort(reply.SilentZones)
	return reply
}

// compareZone compares the peer's digest of one zone with the summary held and adds
// the outcome to the reply.
func (c *Core) compareZone(now time.Time, theirs Digest, requesterZone string, reply *Message) {
	if theirs.Zone == c.self.Zone {
		c.raiseLocalVersion(theirs)
		if requesterZone == c.self.Zone {
			return
		}
	} else if c.advanceVersion(now, theirs) {
		reply.WantedZones = append(reply.WantedZones, theirs.Zone)
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

// raiseLocalVersion keeps the version of the local zone's summary at or above every
// version in circulation. A later version is adopted; if the same or a later version
// stands for other content, a delegate moves on to the next one.
func (c *Core) raiseLocalVersion(theirs Digest) {
	if theirs.Version < c.localVersion {
		return
	}
	c.localVersion = theirs.Version
	if theirs.Hash != c.table.exportedHash && c.isDelegate() {
		c.localVersion++
	}
}

// advanceVersion adopts the peer's version of another zone's summary if it is later
// and its content is the same. It reports whether the peer's summary is to be
// requested, because the zone is new or the peer's content supersedes the one held.
func (c *Core) advanceVersion(now time.Time, theirs Digest) bool {
	z, known := c.zones[theirs.Zone]
	if !known {
		if len(c.zones) >= maxZones {
			return false
		}
		z = &zone{latest: make(map[string]latestRecord), omittedSince: make(map[string]time.Time), versionAdvancedAt: now}
		c.zones[theirs.Zone] = z
		return true
	}
	if theirs.Hash != z.hash {
		return supersedes(theirs.Version, theirs.Hash, z)
	}
	if theirs.Version > z.version {
		z.version = theirs.Version
		z.versionAdvancedAt = now
	}
	return false
}

// supersedes reports whether a summary with the version and hash replaces the one
// held. Two delegates of a zone can give the same version to different contents; the
// higher hash wins then.
func supersedes(version uint64, hash uint32, z *zone) bool {
	return version > z.version || (version == z.version && hash > z.hash)
}

// addUnnamedZones adds to the reply the summaries of the zones that the peer did not
// name in its request.
func (c *Core) addUnnamedZones(requesterZone string, named map[string]bool, reply *Message) {
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		if !named[name] && c.zones[name].version > 0 {
			summary, _ := c.summary(name)
			reply.Summaries = append(reply.Summaries, summary)
		}
	}
	if requesterZone != c.self.Zone && !named[c.self.Zone] && c.isDelegate() {
		summary, _ := c.summary(c.self.Zone)
		reply.Summaries = append(reply.Summaries, summary)
	}
}

// handleGossipReply processes the reply to a gossip request and returns a request with
// the summaries that the peer wants. A core that is not a delegate adopts the silent
// zones of its delegate.
func (c *Core) handleGossipReply(now time.Time, request Outgoing, reply Message) []Outgoing {
	c.acceptSummaries(now, reply.Summaries)
	for _, theirs := range reply.Digests {
		if theirs.Zone == c.self.Zone {
			c.raiseLocalVersion(theirs)
		} else {
			c.advanceVersion(now, theirs)
		}
	}
	if request.Message.AllZones && reply.Zone == c.self.Zone && !c.isDelegate() {
		c.adoptSilentZones(now, reply.SilentZones)
	}
	var wanted []Summary
	for _, name := range reply.WantedZones {
		if summary, known := c.summary(name); known {
			wanted = append(wanted, summary)
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	return []Outgoing{c.newSummariesRequest(now, request.Peer, wanted)}
}

// mismatchLimit is the number of consecutive mismatches after which the summaries
// are compared with the delegate, since its push of a change must have been lost.
const mismatchLimit = 2

// needsComparison counts a mismatch if the delegate's hash of the other zones
// differs from this core's. It reports whether mismatchLimit is reached, or no other
// zone is known yet.
func (c *Core) needsComparison(theirs uint32) bool {
	if c.otherZonesHash == theirs {
		c.mismatches = 0
		return false
	}
	c.mismatches++
	if c.mismatches < mismatchLimit && len(c.zones) > 0 {
		return false
	}
	c.mismatches = 0
	return true
}
