// Package lookup implements the lookup server, which tells callers the entry instances that
// they may use.
//
// A lookup server holds one framed stream from each entry instance that its settings name,
// those of its zone. It answers from the last states that it received, and gives their age.
// Entry instances of the caller's zone come first, then those of its region, then the others;
// leaving and suspected ones are left out. The zone of a caller is that of the longest client
// block that contains its address, or the zone of the lookup server if there is none.
//
// Failure modes: an entry instance whose stream has ended is left out while another one is
// connected. When none is connected, the server continues to answer from the last states, and
// their age grows. Requests before the first state are refused. A catalogue or client blocks
// of a lower revision than the last ones received are ignored.
package lookup

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"lovagescale/internal/membership"
)

// Core is the control state of a lookup server. It does no I/O and reads no clock. It is not
// safe for concurrent use.
type Core struct {
	zone string
	// entryStates holds the state of each entry instance by its link address.
	entryStates map[string]entryState
	catalogue   Catalogue
	blocks      *blockTable
	// receivedBlocks holds the last message with the client blocks of each zone.
	receivedBlocks map[string]ZoneBlocks
}

// entryState is the last state received from one entry instance.
type entryState struct {
	self       membership.Member
	members    map[string]membership.Member
	receivedAt time.Time
	// disconnected is true if the stream has ended since.
	disconnected bool
}

// NewCore returns the state of a lookup server in the zone that has received nothing yet.
func NewCore(zone string) *Core {
	return &Core{
		zone:           zone,
		entryStates:    make(map[string]entryState),
		blocks:         newBlockTable(),
		receivedBlocks: make(map[string]ZoneBlocks),
	}
}

// NewFollowRequest returns the request that opens a stream. It names the client blocks that
// need not be sent.
func (c *Core) NewFollowRequest() FollowRequest {
	digests := make(map[string]string, len(c.receivedBlocks))
	for zone, blocks := range c.receivedBlocks {
		digests[zone] = blocks.Digest
	}
	return FollowRequest{BlockDigests: digests}
}

// HandleState stores the state of the entry instance with the link address and reports whether
// the lookup table must be rebuilt.
func (c *Core) HandleState(now time.Time, link string, state State) bool {
	previous, known := c.entryStates[link]
	updated := entryState{self: state.Self, members: previous.members, receivedAt: now}
	changed := !known || previous.disconnected || previous.self != state.Self
	if state.Full || updated.members == nil {
		updated.members = make(map[string]membership.Member, len(state.Members))
		changed = true
	}
	for _, member := range state.Members {
		updated.members[member.Instance] = member
	}
	for _, instance := range state.Removed {
		delete(updated.members, instance)
	}
	c.entryStates[link] = updated
	return changed || len(state.Members) > 0 || len(state.Removed) > 0
}

// HandleCatalogue stores a catalogue of a higher revision and removes the client blocks of
// zones that it does not list.
func (c *Core) HandleCatalogue(catalogue Catalogue) {
	if catalogue.Revision <= c.catalogue.Revision {
		return
	}
	c.catalogue = catalogue
	for zone, blocks := range c.receivedBlocks {
		if _, listed := catalogue.Regions[zone]; listed {
			continue
		}
		if remaining, err := c.blocks.replaceBlocks(zone, blocks.Content, nil); err == nil {
			c.blocks = remaining
		}
		delete(c.receivedBlocks, zone)
	}
}

// HandleBlocks stores the client blocks of a zone unless a higher revision of them was received
// or the zone was removed. It returns a *configuration.BlockMalformedError, and keeps the old
// blocks, if they cannot be decoded.
func (c *Core) HandleBlocks(blocks ZoneBlocks) error {
	previous := c.receivedBlocks[blocks.Zone]
	if blocks.Revision < previous.Revision || c.isZoneRemoved(blocks) {
		return nil
	}
	if blocks.Digest != previous.Digest {
		updated, err := c.blocks.replaceBlocks(blocks.Zone, previous.Content, blocks.Content)
		if err != nil {
			return err
		}
		c.blocks = updated
	}
	c.receivedBlocks[blocks.Zone] = blocks
	return nil
}

// isZoneRemoved reports whether the zone of the blocks is missing from a catalogue of the same
// or a higher revision.
func (c *Core) isZoneRemoved(blocks ZoneBlocks) bool {
	_, listed := c.catalogue.Regions[blocks.Zone]
	return !listed && blocks.Revision <= c.catalogue.Revision
}

// HandleStreamEnd records that the stream from an entry instance has ended. The instance is
// left out of the table as long as another one is connected. When none is connected, the last
// states remain in use.
func (c *Core) HandleStreamEnd(link string) {
	if state, known := c.entryStates[link]; known {
		state.disconnected = true
		c.entryStates[link] = state
	}
}

// LastReceivedAt returns the time of the last state from any entry instance, or the zero time
// if there is none.
func (c *Core) LastReceivedAt() time.Time {
	var last time.Time
	for _, state := range c.entryStates {
		if state.receivedAt.After(last) {
			last = state.receivedAt
		}
	}
	return last
}

// Table returns a lookup table of the current state.
func (c *Core) Table() *Table {
	var live []membership.Member
	for _, member := range c.mergeMembers() {
		if member.Usable() {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(a, b membership.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return newTable(c.zone, c.LastReceivedAt(), c.catalogue, c.blocks, live)
}

// allDisconnected reports whether no entry instance is connected.
func (c *Core) allDisconnected() bool {
	for _, state := range c.entryStates {
		if !state.disconnected {
			return false
		}
	}
	return true
}

// mergeMembers merges the members that the entry instances report, by instance. What an
// instance reports of itself takes precedence over what others report of it.
func (c *Core) mergeMembers() map[string]membership.Member {
	allDisconnected := c.allDisconnected()
	members := make(map[string]membership.Member)
	for _, state := range c.entryStates {
		if state.disconnected && !allDisconnected {
			continue
		}
		maps.Copy(members, state.members)
	}
	for _, state := range c.entryStates {
		if state.disconnected && !allDisconnected {
			delete(members, state.self.Instance)
			continue
		}
		members[state.self.Instance] = state.self
	}
	return members
}

// ZoneOf returns the zone of the longest client block that contains the address, or the zone of
// the lookup server if there is none.
func (t *Table) ZoneOf(client netip.Addr) string {
	if zone, found := t.blocks.zoneOf(client); found {
		return zone
	}
	return t.zone
}
