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

// maxAnswerEntries limits the entry instances in an answer. At least minOtherZoneEntries of
// them, if there are so many, are in other zones than the caller.
const (
	maxAnswerEntries    = 8
	minOtherZoneEntries = 2
)

// Answer is the body of an answer to a lookup. AgeMillis is the time in milliseconds since the
// last state from an entry instance, TTLMillis the time that callers may cache the answer.
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
	// Owner is the prefix of the idempotency keys of actions sent to this entry instance.
	Owner string `json:"owner"`
}

// Table is an immutable lookup table. It is safe for concurrent use.
type Table struct {
	zone           string
	lastReceivedAt time.Time
	revision       uint64
	services       map[string]bool
	blocks         *blockTable
	regions        map[string]string
	members        []membership.Member

	mu sync.RWMutex
	// candidatesByZone caches the candidates by the caller's zone. It is guarded by mu.
	candidatesByZone map[string]candidates
}

// candidates holds the entry instances for callers of one zone: those of the same zone, and
// those of other zones with the ones of the same region first.
type candidates struct {
	sameZone   []AnswerEntry
	otherZones []AnswerEntry
}

func newTable(zone string, lastReceivedAt time.Time, catalogue Catalogue, blocks *blockTable, members []membership.Member) *Table {
	table := &Table{
		zone:             zone,
		lastReceivedAt:   lastReceivedAt,
		revision:         catalogue.Revision,
		services:         make(map[string]bool, len(catalogue.Services)),
		blocks:           blocks,
		regions:          catalogue.Regions,
		members:          members,
		candidatesByZone: make(map[string]candidates),
	}
	for _, service := range catalogue.Services {
		table.services[service] = true
	}
	return table
}

// HasService reports whether the configuration contains the service.
func (t *Table) HasService(service string) bool { return t.services[service] }

// Entries returns live entry instances for the client in the order of preference: those of its
// zone, starting at one that rotation selects, then others of its region, then the rest.
func (t *Table) Entries(client netip.Addr, rotation uint64) []AnswerEntry {
	c := t.candidatesFor(t.ZoneOf(client))
	sameZoneCount := min(len(c.sameZone), maxAnswerEntries-min(minOtherZoneEntries, len(c.otherZones)))
	otherZonesCount := min(len(c.otherZones), maxAnswerEntries-sameZoneCount)
	entries := make([]AnswerEntry, 0, sameZoneCount+otherZonesCount)
	entries = appendRotated(entries, c.sameZone, rotation, sameZoneCount)
	return appendRotated(entries, c.otherZones, 0, otherZonesCount)
}

// appendRotated appends count entries of source, starting at the index that rotation selects
// and continuing from the beginning after the last.
func appendRotated(entries, source []AnswerEntry, rotation uint64, count int) []AnswerEntry {
	if count == 0 {
		return entries
	}
	start := rotation % uint64(len(source))
	for i := range count {
		entries = append(entries, source[(start+uint64(i))%uint64(len(source))])
	}
	return entries
}

// candidatesFor returns the candidates for callers of a zone. It computes them on first use.
func (t *Table) candidatesFor(zone string) candidates {
	t.mu.RLock()
	cached, found := t.candidatesByZone[zone]
	t.mu.RUnlock()
	if found {
		return cached
	}
	computed := t.computeCandidates(zone)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.candidatesByZone[zone] = computed
	return computed
}

// computeCandidates sorts the live members into the candidates for callers of a zone. At most
// maxAnswerEntries of other zones are kept.
func (t *Table) computeCandidates(zone string) candidates {
	var c candidates
	var otherRegions []AnswerEntry
	for _, member := range t.members {
		owner := action.OwnerToken(member.Incarnation, t.lastReceivedAt)
		entry := AnswerEntry{Address: member.Address, Zone: member.Zone, Owner: owner}
		switch {
		case member.Zone == zone:
			c.sameZone = append(c.sameZone, entry)
		case t.regions[zone] != "" && t.regions[zone] == t.regions[member.Zone]:
			c.otherZones = append(c.otherZones, entry)
		default:
			otherRegions = append(otherRegions, entry)
		}
	}
	otherZones := append(c.otherZones, otherRegions...)
	c.otherZones = slices.Clone(otherZones[:min(len(otherZones), maxAnswerEntries)])
	return c
}
