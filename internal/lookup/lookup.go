// Package lookup answers callers which entry instances to use.
//
// A look-up process follows the entry processes of its zone over one framed
// stream each and answers from the last states that it received, with their
// age. Entries of the caller's zone come first, then those of its region, then
// the others; leaving entries are left out. The zone of a caller is that of the
// longest client block that holds its address, or the zone of the look-up
// process.
//
// How it fails: an entry whose stream ends is left out while another entry is
// heard. When none is heard, answers go on from the last states and their age
// grows. Before the first state, answers are refused. A revision lower than one
// that was seen changes nothing.
package lookup

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"lovagescale/internal/membership"
)

// Core is the control state of a look-up process. It reads no clock and opens
// no socket.
type Core struct {
	zone      string
	states    map[string]heard
	catalogue Catalogue
	blocks    *blockTable
	// encoded is the client blocks by zone as they were received.
	encoded map[string]ZoneBlocks
}

// heard is what one entry has said.
type heard struct {
	self    membership.Member
	members map[string]membership.Member
	at      time.Time
	// silent is set when the entry's stream has ended.
	silent bool
}

// NewCore returns the state of a look-up process of a zone.
func NewCore(zone string) *Core {
	return &Core{
		zone:    zone,
		states:  make(map[string]heard),
		blocks:  newBlockTable(),
		encoded: make(map[string]ZoneBlocks),
	}
}

// Follow returns the request that opens a stream: it names the client blocks
// that need not be sent.
func (c *Core) Follow() Follow {
	have := make(map[string]string, len(c.encoded))
	for zone, blocks := range c.encoded {
		have[zone] = blocks.Digest
	}
	return Follow{HaveBlocks: have}
}

// ReceiveState takes the state of the entry with the given link address and
// reports whether the table that follows is another one.
func (c *Core) ReceiveState(now time.Time, link string, state State) bool {
	before, known := c.states[link]
	h := heard{self: state.Self, members: before.members, at: now}
	changed := !known || before.silent || before.self != state.Self
	if state.Whole || h.members == nil {
		h.members = make(map[string]membership.Member, len(state.Members))
		changed = true
	}
	for _, member := range state.Members {
		h.members[member.Instance] = member
	}
	for _, instance := range state.Gone {
		delete(h.members, instance)
	}
	c.states[link] = h
	return changed || len(state.Members) > 0 || len(state.Gone) > 0
}

// ReceiveCatalogue takes the catalogue of a higher revision and drops the
// blocks of zones that it does not list.
func (c *Core) ReceiveCatalogue(catalogue Catalogue) {
	if catalogue.Revision <= c.catalogue.Revision {
		return
	}
	c.catalogue = catalogue
	for zone, blocks := range c.encoded {
		if _, listed := catalogue.Regions[zone]; listed {
			continue
		}
		if without, err := c.blocks.replace(zone, blocks.Content, nil); err == nil {
			c.blocks = without
		}
		delete(c.encoded, zone)
	}
}

// ReceiveBlocks takes the client blocks of a zone unless a higher revision of
// them was seen. It returns a *configuration.BlockMalformedError.
func (c *Core) ReceiveBlocks(blocks ZoneBlocks) error {
	known := c.encoded[blocks.Zone]
	if blocks.Revision < known.Revision || c.dropped(blocks) {
		return nil
	}
	if blocks.Digest != known.Digest {
		changed, err := c.blocks.replace(blocks.Zone, known.Content, blocks.Content)
		if err != nil {
			return err
		}
		c.blocks = changed
	}
	c.encoded[blocks.Zone] = blocks
	return nil
}

// dropped reports whether the catalogue of the same or a higher revision does
// not list the zone any more.
func (c *Core) dropped(blocks ZoneBlocks) bool {
	_, listed := c.catalogue.Regions[blocks.Zone]
	return !listed && blocks.Revision <= c.catalogue.Revision
}

// Silent records that the stream of an entry ended. The entry is left out as
// long as another one is heard; when all are silent the last states stay in
// use.
func (c *Core) Silent(link string) {
	if h, known := c.states[link]; known {
		h.silent = true
		c.states[link] = h
	}
}

// HeardAt returns when an entry was heard last; the zero time if never.
func (c *Core) HeardAt() time.Time {
	var last time.Time
	for _, h := range c.states {
		if h.at.After(last) {
			last = h.at
		}
	}
	return last
}

// Table returns the table that follows from what was received.
func (c *Core) Table() *Table {
	var live []membership.Member
	for _, member := range c.members() {
		if member.Usable() {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(a, b membership.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return newTable(c.zone, c.HeardAt(), c.catalogue, c.blocks, live)
}

// allSilent reports whether no entry is heard.
func (c *Core) allSilent() bool {
	for _, h := range c.states {
		if !h.silent {
			return false
		}
	}
	return true
}

// members merges what entries say of others with what each says of itself,
// which goes first.
func (c *Core) members() map[string]membership.Member {
	allSilent := c.allSilent()
	members := make(map[string]membership.Member)
	for _, h := range c.states {
		if h.silent && !allSilent {
			continue
		}
		maps.Copy(members, h.members)
	}
	for _, h := range c.states {
		if h.silent && !allSilent {
			delete(members, h.self.Instance)
			continue
		}
		members[h.self.Instance] = h.self
	}
	return members
}

// ZoneOf returns the zone of the client's block, or that of the table.
func (t *Table) ZoneOf(client netip.Addr) string {
	if zone, found := t.blocks.zoneOf(client); found {
		return zone
	}
	return t.zone
}
