package spread

import (
	"slices"

	"lovagescale/internal/configuration"
)

// Limits of the history.
const (
	maxHistoryEntries = 64   // the oldest entries are removed above this number
	maxNamesPerEntry  = 1024 // a change of more chunk names clears the history
)

// history records which chunks the last revisions changed, so that a peer that is a few
// revisions behind can be sent a difference. Its entries are consecutive, oldest first.
type history struct{ entries []historyEntry }

// historyEntry holds the names of the chunks that differ between a revision and the one that
// was activated after it.
type historyEntry struct {
	revision   uint64
	changeID   string
	chunkNames []string
}

// add records the change between two manifests. It clears the history if from is empty or
// too many chunks differ.
func (h *history) add(from, to configuration.Manifest) {
	chunkNames := changedChunkNames(from, to)
	if from.Revision == 0 || len(chunkNames) > maxNamesPerEntry {
		h.entries = nil
		return
	}
	h.entries = append(h.entries, historyEntry{revision: from.Revision, changeID: from.ChangeID, chunkNames: chunkNames})
	if len(h.entries) > maxHistoryEntries {
		h.entries = slices.Clone(h.entries[len(h.entries)-maxHistoryEntries:])
	}
}

// changedChunkNames returns the sorted names of the chunks that were added, changed or
// removed.
func changedChunkNames(from, to configuration.Manifest) []string {
	var chunkNames []string
	for name, digest := range to.Chunks {
		if from.Chunks[name] != digest {
			chunkNames = append(chunkNames, name)
		}
	}
	for name := range from.Chunks {
		if _, exists := to.Chunks[name]; !exists {
			chunkNames = append(chunkNames, name)
		}
	}
	slices.Sort(chunkNames)
	return chunkNames
}

// changedSince returns the names of the chunks that changed after a revision, and false if
// the history does not hold the revision with this change identifier.
func (h *history) changedSince(revision uint64, changeID string) ([]string, bool) {
	for i, entry := range h.entries {
		if entry.revision != revision || entry.changeID != changeID {
			continue
		}
		var chunkNames []string
		for _, later := range h.entries[i:] {
			chunkNames = append(chunkNames, later.chunkNames...)
		}
		slices.Sort(chunkNames)
		return slices.Compact(chunkNames), true
	}
	return nil, false
}
