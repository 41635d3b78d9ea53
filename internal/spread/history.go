package spread

import (
	"slices"

	"lovagescale/internal/configuration"
)

// Bounds of the history.
const (
	maxSteps     = 64
	maxStepNames = 1024
)

// history remembers which chunk names the last revisions changed, so that a
// peer that is some revisions behind gets a difference.
type history struct{ steps []step }

// step is the way from one revision to the next that was taken.
type step struct {
	revision uint64
	changeID string
	names    []string
}

// add records the step between two manifests.
func (h *history) add(from, to configuration.Manifest) {
	names := changedNames(from, to)
	if from.Revision == 0 || len(names) > maxStepNames {
		h.steps = nil
		return
	}
	h.steps = append(h.steps, step{revision: from.Revision, changeID: from.ChangeID, names: names})
	if len(h.steps) > maxSteps {
		h.steps = slices.Clone(h.steps[len(h.steps)-maxSteps:])
	}
}

func changedNames(from, to configuration.Manifest) []string {
	var names []string
	for name, digest := range to.Chunks {
		if from.Chunks[name] != digest {
			names = append(names, name)
		}
	}
	for name := range from.Chunks {
		if _, kept := to.Chunks[name]; !kept {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// since returns the names changed after a revision, if it is remembered.
func (h *history) since(revision uint64, changeID string) ([]string, bool) {
	for i, s := range h.steps {
		if s.revision != revision || s.changeID != changeID {
			continue
		}
		var names []string
		for _, later := range h.steps[i:] {
			names = append(names, later.names...)
		}
		slices.Sort(names)
		return slices.Compact(names), true
	}
	return nil, false
}
