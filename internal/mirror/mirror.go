// Package mirror is an instance's copy of the parts of the platform's store
// that it decides on: configuration, endpoints and instances.
//
// The copy follows the store's changes. An instance that cannot reach the store
// takes what is newer from a peer, by revision: the revisions are the store's
// own, so a peer's copy holds nothing that the store did not acknowledge.
//
// How it fails: without store and peers the copy stays as it is. A key's value
// never goes back to a lower revision. A copy that lags behind what its peer
// remembers of removed keys is replaced whole.
package mirror

import (
	"maps"

	"lovagescale/internal/store"
)

// maxTombstones bounds the removed keys that are remembered for peers.
const maxTombstones = 4096

// Delta is what changed in a mirror after a revision.
type Delta struct {
	// Whole says that Entries are all there is: keys that they lack are gone.
	Whole    bool          `msgpack:"w,omitempty"`
	Revision uint64        `msgpack:"r"`
	Entries  []store.Entry `msgpack:"e,omitempty"`
	// Removed holds the revision of each removal.
	Removed map[string]uint64 `msgpack:"d,omitempty"`
}

// Mirror is a copy of keys with their revisions. It is not safe for concurrent
// use.
type Mirror struct {
	revision uint64
	entries  map[string]store.Entry
	removed  map[string]uint64
	// forgotten is the revision up to which removals may be missing in removed.
	forgotten uint64
}

// New returns an empty mirror at revision 0.
func New() *Mirror {
	return &Mirror{entries: make(map[string]store.Entry), removed: make(map[string]uint64)}
}

// Revision returns the store's revision up to which the mirror is complete.
func (m *Mirror) Revision() uint64 { return m.revision }

// Len returns the number of keys.
func (m *Mirror) Len() int { return len(m.entries) }

// Get returns the entry of a key.
func (m *Mirror) Get(key string) (store.Entry, bool) {
	entry, found := m.entries[key]
	return entry, found
}

// Reset takes a whole reading of the store at the revision and returns the keys
// that changed.
func (m *Mirror) Reset(entries []store.Entry, revision uint64) []string {
	return m.Merge(Delta{Whole: true, Revision: revision, Entries: entries})
}

// Apply takes changes up to the revision and returns the keys that changed.
func (m *Mirror) Apply(changes []store.Change, revision uint64) []string {
	var changed []string
	for _, change := range changes {
		if change.Removed {
			changed = append(changed, m.remove(change.Key, change.Revision)...)
			continue
		}
		changed = append(changed, m.put(change.Entry)...)
	}
	m.revision = max(m.revision, revision)
	return changed
}

// Since returns what a peer that is complete up to the revision lacks.
func (m *Mirror) Since(after uint64) Delta {
	delta := Delta{Whole: after < m.forgotten || after == 0, Revision: m.revision}
	for _, entry := range m.entries {
		if delta.Whole || entry.Revision > after {
			delta.Entries = append(delta.Entries, entry)
		}
	}
	if delta.Whole {
		return delta
	}
	delta.Removed = make(map[string]uint64)
	for key, revision := range m.removed {
		if revision > after {
			delta.Removed[key] = revision
		}
	}
	return delta
}

// Merge takes what a peer or a whole reading says, if it is as new as the
// mirror, and returns the keys that changed.
func (m *Mirror) Merge(delta Delta) []string {
	if delta.Revision < m.revision {
		return nil
	}
	var changed []string
	named := make(map[string]bool, len(delta.Entries))
	for _, entry := range delta.Entries {
		named[entry.Key] = true
		changed = append(changed, m.put(entry)...)
	}
	for key, revision := range delta.Removed {
		changed = append(changed, m.remove(key, revision)...)
	}
	if delta.Whole {
		for key := range maps.Clone(m.entries) {
			if !named[key] && m.entries[key].Revision <= delta.Revision {
				changed = append(changed, m.remove(key, delta.Revision)...)
			}
		}
		m.forgotten = max(m.forgotten, delta.Revision)
	}
	m.revision = delta.Revision
	return changed
}

// put takes an entry that is newer than what is known of its key.
func (m *Mirror) put(entry store.Entry) []string {
	if entry.Revision <= m.entries[entry.Key].Revision || entry.Revision <= m.removed[entry.Key] {
		return nil
	}
	m.entries[entry.Key] = entry
	delete(m.removed, entry.Key)
	return []string{entry.Key}
}

// remove drops a key unless it was written again since.
func (m *Mirror) remove(key string, revision uint64) []string {
	entry, found := m.entries[key]
	if found && entry.Revision > revision {
		return nil
	}
	delete(m.entries, key)
	if revision > m.removed[key] {
		m.removed[key] = revision
	}
	m.forget()
	if !found {
		return nil
	}
	return []string{key}
}

// forget drops the tombstones when there are too many; peers that are older are
// then given the whole.
func (m *Mirror) forget() {
	if len(m.removed) <= maxTombstones {
		return
	}
	for _, revision := range m.removed {
		m.forgotten = max(m.forgotten, revision)
	}
	clear(m.removed)
}
