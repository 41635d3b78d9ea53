package lookup

import (
	"net/netip"

	"github.com/gaissmai/bart"

	"lovagescale/internal/configuration"
)

// blockTable maps client blocks to zones. It is immutable: changes return a
// new table that shares what did not change, so that readers go on meanwhile.
type blockTable struct {
	prefixes *bart.Table[uint16]
	// zones are the names by index.
	zones []string
}

func newBlockTable() *blockTable {
	return &blockTable{prefixes: new(bart.Table[uint16])}
}

// zoneOf returns the zone of the longest block that holds client.
func (t *blockTable) zoneOf(client netip.Addr) (string, bool) {
	index, found := t.prefixes.Lookup(client)
	if !found {
		return "", false
	}
	return t.zones[index], true
}

func (t *blockTable) size() int { return t.prefixes.Size() }

// index returns the index of a zone, adding it at the end if it is new.
func (t *blockTable) index(zone string) (uint16, []string) {
	for i, name := range t.zones {
		if name == zone {
			return uint16(i), t.zones
		}
	}
	return uint16(len(t.zones)), append(t.zones[:len(t.zones):len(t.zones)], zone)
}

// replace returns a table in which zone has the blocks of after in place of
// those of before. Both are encoded as configuration.DecodeBlocks reads them.
func (t *blockTable) replace(zone string, before, after []byte) (*blockTable, error) {
	old, err := configuration.DecodeBlocks(before)
	if err != nil {
		return nil, err
	}
	now, err := configuration.DecodeBlocks(after)
	if err != nil {
		return nil, err
	}
	index, zones := t.index(zone)
	prefixes := t.prefixes
	kept := make(map[netip.Prefix]bool, len(now))
	for _, block := range now {
		kept[block] = true
	}
	for _, block := range old {
		if owner, found := prefixes.Get(block); found && owner == index && !kept[block] {
			prefixes = prefixes.DeletePersist(block)
		}
	}
	return &blockTable{prefixes: addBlocks(prefixes, now, index), zones: zones}, nil
}

// addBlocks returns prefixes with those blocks that are not in it yet.
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
