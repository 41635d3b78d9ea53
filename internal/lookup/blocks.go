package lookup

import (
	"net/netip"

	"github.com/gaissmai/bart"

	"lovagescale/internal/configuration"
)

// blockTable maps client blocks to zones. It is immutable: a change returns a new table that
// shares the unchanged parts, so that readers of the old one need no lock.
type blockTable struct {
	prefixes *bart.Table[uint16]
	// zoneNames holds the zone names; the values of prefixes are indexes into it.
	zoneNames []string
}

func newBlockTable() *blockTable {
	return &blockTable{prefixes: new(bart.Table[uint16])}
}

// zoneOf returns the zone of the longest block that contains the client's address.
func (t *blockTable) zoneOf(client netip.Addr) (string, bool) {
	index, found := t.prefixes.Lookup(client)
	if !found {
		return "", false
	}
	return t.zoneNames[index], true
}

// size returns the number of blocks.
func (t *blockTable) size() int { return t.prefixes.Size() }

// zoneIndex returns the index of a zone and the zone names, with the zone appended if it is
// new.
func (t *blockTable) zoneIndex(zone string) (uint16, []string) {
	for i, name := range t.zoneNames {
		if name == zone {
			return uint16(i), t.zoneNames
		}
	}
	return uint16(len(t.zoneNames)), append(t.zoneNames[:len(t.zoneNames):len(t.zoneNames)], zone)
}

// replaceBlocks returns a table in which the zone has the blocks of newContent in place of those
// of oldContent, both in the encoding of configuration.DecodeBlocks. An old block that now
// belongs to another zone stays.
func (t *blockTable) replaceBlocks(zone string, oldContent, newContent []byte) (*blockTable, error) {
	oldBlocks, err := configuration.DecodeBlocks(oldContent)
	if err != nil {
		return nil, err
	}
	newBlocks, err := configuration.DecodeBlocks(newContent)
	if err != nil {
		return nil, err
	}
	index, zoneNames := t.zoneIndex(zone)
	prefixes := t.prefixes
	retained := make(map[netip.Prefix]bool, len(newBlocks))
	for _, block := range newBlocks {
		retained[block] = true
	}
	for _, block := range oldBlocks {
		if owner, found := prefixes.Get(block); found && owner == index && !retained[block] {
			prefixes = prefixes.DeletePersist(block)
		}
	}
	return &blockTable{prefixes: addBlocks(prefixes, newBlocks, index), zoneNames: zoneNames}, nil
}

// addBlocks returns prefixes with the blocks added for the zone with the index.
func addBlocks(prefixes *bart.Table[uint16], blocks []netip.Prefix, index uint16) *bart.Table[uint16] {
	added := new(bart.Table[uint16])
	for _, block := range blocks {
		if owner, found := prefixes.Get(block); !found || owner != index {
			added.Insert(block, index)
		}
	}
	if added.Size() == 0 {
		return prefixes
	}
	return prefixes.UnionPersist(added)
}
