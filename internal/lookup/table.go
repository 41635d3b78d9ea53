package lookup

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"lovagescale/internal/action"
	"lovagescale/internal/membership"
)

// AnswerTTL is how long callers may cache an answer.
const AnswerTTL = 5 * time.Second

// maxEntries bounds the entries of an answer, of which at least
// minElsewhere are kept for zones other than the caller's, if there are any.
const (
	maxEntries   = 8
	minElsewhere = 2
)

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

// Table is an immutable look-up table. It may be read by several goroutines.
type Table struct {
	zone     string
	heardAt  time.Time
	revision uint64
	services map[string]bool
	blocks   *blockTable
	regions  map[string]string
	members  []membership.Member

	mu      sync.RWMutex
	choices map[string]choice
}

// choice is the entries for callers of one zone by distance.
type choice struct {
	near      []AnswerEntry
	elsewhere []AnswerEntry
}

func newTable(zone string, heardAt time.Time, catalogue Catalogue, blocks *blockTable, members []membership.Member) *Table {
	table := &Table{
		zone:     zone,
		heardAt:  heardAt,
		revision: catalogue.Revision,
		services: make(map[string]bool, len(catalogue.Services)),
		blocks:   blocks,
		regions:  catalogue.Regions,
		members:  members,
		choices:  make(map[string]choice),
	}
	for _, service := range catalogue.Services {
		table.services[service] = true
	}
	return table
}

// HasService reports whether the configuration lists the service.
func (t *Table) HasService(service string) bool { return t.services[service] }

// Entries returns live entries, best first for the client: entries of its zone
// in an order that draw rotates, then others of its region, then the rest.
func (t *Table) Entries(client netip.Addr, draw uint64) []AnswerEntry {
	c := t.choiceFor(t.ZoneOf(client))
	near := min(len(c.near), maxEntries-min(minElsewhere, len(c.elsewhere)))
	elsewhere := min(len(c.elsewhere), maxEntries-near)
	entries := make([]AnswerEntry, 0, near+elsewhere)
	entries = appendRotated(entries, c.near, draw, near)
	return appendRotated(entries, c.elsewhere, 0, elsewhere)
}

// appendRotated appends n entries of from, starting at one given by draw.
func appendRotated(entries, from []AnswerEntry, draw uint64, n int) []AnswerEntry {
	if n == 0 {
		return entries
	}
	start := draw % uint64(len(from))
	for i := range n {
		entries = append(entries, from[(start+uint64(i))%uint64(len(from))])
	}
	return entries
}

// choiceFor returns the entries for callers of a zone, computed once.
func (t *Table) choiceFor(zone string) choice {
	t.mu.RLock()
	known, found := t.choices[zone]
	t.mu.RUnlock()
	if found {
		return known
	}
	computed := t.choose(zone)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.choices[zone] = computed
	return computed
}

func (t *Table) choose(zone string) choice {
	var c choice
	var far []AnswerEntry
	for _, member := range t.members {
		owner := action.OwnerToken(member.Incarnation, t.heardAt)
		entry := AnswerEntry{Address: member.Address, Zone: member.Zone, Owner: owner}
		switch {
		case member.Zone == zone:
			c.near = append(c.near, entry)
		case t.regions[zone] != "" && t.regions[zone] == t.regions[member.Zone]:
			c.elsewhere = append(c.elsewhere, entry)
		default:
			far = append(far, entry)
		}
	}
	rest := append(c.elsewhere, far...)
	c.elsewhere = slices.Clone(rest[:min(len(rest), maxEntries)])
	return c
}
