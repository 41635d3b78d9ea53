// Package lookup answers callers which entry instances to use.
//
// A look-up process follows the entry processes of its zone over one framed
// stream each and answers from the last states that it received, with their
// age. Entries of the caller's zone come first, then those of its region, then
// the others; leaving entries are left out.
package lookup

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/gaissmai/bart"

	"lovagescale/internal/membership"
	"lovagescale/internal/platform"
)

// answerTTL is how long callers may cache an answer.
const answerTTL = 5 * time.Second

// Answer is the body of a look-up answer.
type Answer struct {
	Revision  uint64        `json:"revision"`
	AgeMillis int64         `json:"age_ms"`
	TTLMillis int64         `json:"ttl_ms"`
	Entries   []AnswerEntry `json:"entries"`
}

// AnswerEntry is one entry instance that the caller may use.
type AnswerEntry struct {
	Address string `json:"address"`
	Zone    string `json:"availability_zone"`
	// Owner starts the idempotency keys of actions sent to this entry.
	Owner string `json:"owner"`
}

// Table is an immutable look-up table.
type Table struct {
	zone     string
	revision uint64
	services []string
	blocks   *bart.Table[string]
	regions  map[string]string
	members  []membership.Member
}

// Core is the control state of a look-up process. It reads no clock and opens
// no socket.
type Core struct {
	zone     string
	states   map[string]heard
	blocks   *bart.Table[string]
	regions  map[string]string
	revision uint64
}

// heard is the last state of one entry.
type heard struct {
	state State
	at    time.Time
	// silent is set when the entry's stream has ended.
	silent bool
}

// NewCore returns the state of a look-up process of a zone.
func NewCore(zone string) *Core {
	return &Core{zone: zone, states: make(map[string]heard), blocks: new(bart.Table[string])}
}

// Receive takes a state from the entry with the given link address and returns
// the table that follows from it.
func (c *Core) Receive(now time.Time, link string, state State) *Table {
	if state.Blocks != nil && state.Revision > c.revision {
		c.revision = state.Revision
		c.regions = state.Regions
		c.blocks = buildBlocks(state.Blocks)
	}
	c.states[link] = heard{state: state, at: now}
	return c.table()
}

// Silent records that the stream of an entry ended and returns the table that
// follows from it. The entry is left out as long as another one is heard; when
// all are silent the last states stay in use.
func (c *Core) Silent(link string) *Table {
	if h, known := c.states[link]; known {
		h.silent = true
		c.states[link] = h
	}
	return c.table()
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

func buildBlocks(blocks map[string][]string) *bart.Table[string] {
	table := new(bart.Table[string])
	for zone, prefixes := range blocks {
		for _, text := range prefixes {
			if prefix, err := netip.ParsePrefix(text); err == nil {
				table.Insert(prefix, zone)
			}
		}
	}
	return table
}

func (c *Core) table() *Table {
	table := &Table{zone: c.zone, revision: c.revision, blocks: c.blocks, regions: c.regions}
	for _, h := range c.states {
		if h.state.Revision == c.revision {
			table.services = h.state.Services
		}
	}
	for _, member := range c.members() {
		if member.State == platform.Live {
			table.members = append(table.members, member)
		}
	}
	slices.SortFunc(table.members, func(a, b membership.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return table
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
		for _, member := range h.state.Members {
			members[member.Instance] = member
		}
	}
	for _, h := range c.states {
		if h.silent && !allSilent {
			delete(members, h.state.Self.Instance)
			continue
		}
		members[h.state.Self.Instance] = h.state.Self
	}
	return members
}

// HasService reports whether the configuration lists the service.
func (t *Table) HasService(service string) bool { return slices.Contains(t.services, service) }

// ZoneOf returns the zone of a client's block, or the table's own zone.
func (t *Table) ZoneOf(client netip.Addr) string {
	if zone, found := t.blocks.Lookup(client); found {
		return zone
	}
	return t.zone
}

// Entries returns the live entries, best first for the client. Draw spreads
// callers over the entries of one zone.
func (t *Table) Entries(client netip.Addr, draw uint64) []AnswerEntry {
	zone := t.ZoneOf(client)
	entries := make([]AnswerEntry, 0, len(t.members))
	offset := 0
	if len(t.members) > 0 {
		offset = int(draw % uint64(len(t.members)))
	}
	for distance := sameZone; distance <= elsewhere; distance++ {
		for i := range t.members {
			member := t.members[(i+offset)%len(t.members)]
			if t.distance(zone, member.Zone) == distance {
				entries = append(entries, AnswerEntry{Address: member.Address, Zone: member.Zone, Owner: member.Incarnation})
			}
		}
	}
	return entries
}

// Distances between a client's zone and an entry's.
const (
	sameZone = iota
	sameRegion
	elsewhere
)

func (t *Table) distance(a, b string) int {
	switch {
	case a == b:
		return sameZone
	case t.regions[a] != "" && t.regions[a] == t.regions[b]:
		return sameRegion
	default:
		return elsewhere
	}
}
