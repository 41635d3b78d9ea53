// Package mirror holds an instance's local copy of the keys in the platform's store that its
// decisions depend on: configuration, endpoints and instances.
//
// The mirror applies the store's changes. An instance that cannot reach the store merges the
// newer entries of a peer's mirror. Entries are compared by the revisions that the store
// assigned, so that a peer's mirror holds nothing that the store did not acknowledge.
//
// A store that comes back from a copy begins a new era, in which revisions are given out
// again. State is ordered by era and then by revision: a full copy of a later era replaces
// the mirror, and nothing of an earlier era changes it. What an earlier era acknowledged and
// the copy lacks is not the mirror's concern; it reports which keys changed.
//
// Failure modes: without the store and without peers the mirror stays as it is. Within an era
// the value of a key never goes back to a lower revision. A mirror that is older than the
// tombstones that its peer still holds gets a full copy of the peer's entries.
package mirror

import (
	"bytes"
	"maps"

	"lovagescale/internal/store"
)

// maxTombstones limits the removed keys that a mirror records for its peers.
const maxTombstones = 4096

// Delta holds what changed in a mirror after a revision, or all of its entries.
type Delta struct {
	// Full is true if Entries holds all entries, so that any other key was removed.
	Full bool `msgpack:"w,omitempty"`
	// Era is the store's era in which the revisions were assigned.
	Era uint64 `msgpack:"g,omitempty"`
	// Revision is the store's revision up to which the sender's mirror is complete.
	Revision uint64        `msgpack:"r"`
	Entries  []store.Entry `msgpack:"e,omitempty"`
	// Removed maps each removed key to the revision of its removal.
	Removed map[string]uint64 `msgpack:"d,omitempty"`
}

// Position returns the position up to which the sender's mirror is complete.
func (d *Delta) Position() store.Position {
	return store.Position{Era: d.Era, Revision: d.Revision}
}

// Mirror is a copy of the store's entries with their revisions. It is not safe for concurrent
// use.
type Mirror struct {
	position store.Position
	entries  map[string]store.Entry
	// tombstones maps removed keys to the revisions of their removal.
	tombstones map[string]uint64
	// compactedRevision is the revision up to which tombstones may be missing. It rises when
	// tombstones are discarded and when a full delta is merged, which names no removed keys.
	compactedRevision uint64
}

// New returns an empty mirror at the zero position.
func New() *Mirror {
	return &Mirror{entries: make(map[string]store.Entry), tombstones: make(map[string]uint64)}
}

// Position returns the store's position up to which the mirror is complete.
func (m *Mirror) Position() store.Position { return m.position }

// Len returns the number of keys.
func (m *Mirror) Len() int { return len(m.entries) }

// Get returns the entry of a key.
func (m *Mirror) Get(key string) (store.Entry, bool) {
	entry, found := m.entries[key]
	return entry, found
}

// ApplySnapshot replaces the entries with a snapshot of the store at the position and returns
// the keys that changed. Newer entries stay. A snapshot older than the mirror is ignored.
func (m *Mirror) ApplySnapshot(entries []store.Entry, position store.Position) []string {
	return m.Merge(Delta{Full: true, Era: position.Era, Revision: position.Revision, Entries: entries})
}

// ApplyChanges applies the store's changes up to the position and returns the keys that
// changed. Changes that are not newer than the mirror's state of their key are ignored, and
// so are those up to the mirror's position, in which they are contained, and all changes of
// another era than the mirror's.
func (m *Mirror) ApplyChanges(changes []store.Change, position store.Position) []string {
	if position.Era != m.position.Era {
		return nil
	}
	var changed []string
	for _, change := range changes {
		if change.Revision <= m.position.Revision {
			continue
		}
		if change.Removed {
			changed = append(changed, m.remove(change.Key, change.Revision)...)
			continue
		}
		changed = append(changed, m.put(change.Entry)...)
	}
	m.position.Revision = max(m.position.Revision, position.Revision)
	return changed
}

// DeltaSince returns what a peer needs whose mirror is complete up to the position after. The
// delta is full if the peer's mirror is empty or of another era, or if tombstones that it
// needs may be missing.
func (m *Mirror) DeltaSince(position store.Position) Delta {
	after := position.Revision
	full := position.Era != m.position.Era || after < m.compactedRevision || after == 0
	delta := Delta{Full: full, Era: m.position.Era, Revision: m.position.Revision}
	for _, entry := range m.entries {
		if delta.Full || entry.Revision > after {
			delta.Entries = append(delta.Entries, entry)
		}
	}
	if delta.Full {
		return delta
	}
	delta.Removed = make(map[string]uint64)
	for key, revision := range m.tombstones {
		if revision > after {
			delta.Removed[key] = revision
		}
	}
	return delta
}

// Merge applies the delta of a peer or of a snapshot and returns the keys that changed. It
// ignores a delta that is older than the mirror, and one of a later era that is not full.
func (m *Mirror) Merge(delta Delta) []string {
	if delta.Position().Compare(m.position) < 0 {
		return nil
	}
	if delta.Era > m.position.Era {
		return m.replace(delta)
	}
	var changed []string
	listed := make(map[string]bool, len(delta.Entries))
	for _, entry := range delta.Entries {
		listed[entry.Key] = true
		changed = append(changed, m.put(entry)...)
	}
	for key, revision := range delta.Removed {
		changed = append(changed, m.remove(key, revision)...)
	}
	if delta.Full {
		for key := range maps.Clone(m.entries) {
			if !listed[key] && m.entries[key].Revision <= delta.Revision {
				changed = append(changed, m.remove(key, delta.Revision)...)
			}
		}
		m.compactedRevision = max(m.compactedRevision, delta.Revision)
	}
	m.position.Revision = delta.Revision
	return changed
}

// replace begins the era of a full delta. Revisions of the previous era say nothing about
// those of the new one, so that all entries are replaced.
func (m *Mirror) replace(delta Delta) []string {
	if !delta.Full {
		return nil
	}
	previous := m.entries
	m.position = delta.Position()
	m.entries = make(map[string]store.Entry, len(delta.Entries))
	m.tombstones = make(map[string]uint64)
	m.compactedRevision = delta.Revision
	var changed []string
	for _, entry := range delta.Entries {
		m.entries[entry.Key] = entry
		known, found := previous[entry.Key]
		if !found || known.Revision != entry.Revision || !bytes.Equal(known.Value, entry.Value) {
			changed = append(changed, entry.Key)
		}
	}
	for key := range previous {
		if _, found := m.entries[key]; !found {
			changed = append(changed, key)
		}
	}
	return changed
}

// put stores an entry if it is newer than the held entry and the tombstone of its key. It
// returns the key if it did.
func (m *Mirror) put(entry store.Entry) []string {
	if entry.Revision <= m.entries[entry.Key].Revision || entry.Revision <= m.tombstones[entry.Key] {
		return nil
	}
	m.entries[entry.Key] = entry
	delete(m.tombstones, entry.Key)
	return []string{entry.Key}
}

// remove removes a key and records a tombstone, unless the key has been written after the
// revision of the removal. It returns the key if an entry was removed.
func (m *Mirror) remove(key string, revision uint64) []string {
	entry, found := m.entries[key]
	if found && entry.Revision > revision {
		return nil
	}
	delete(m.entries, key)
	if revision > m.tombstones[key] {
		m.tombstones[key] = revision
	}
	m.compactTombstones()
	if !found {
		return nil
	}
	return []string{key}
}

// compactTombstones removes all tombstones when there are more than maxTombstones. Peers with
// an older revision then get a full delta.
func (m *Mirror) compactTombstones() {
	if len(m.tombstones) <= maxTombstones {
		return
	}
	for _, revision := range m.tombstones {
		m.compactedRevision = max(m.compactedRevision, revision)
	}
	clear(m.tombstones)
}
