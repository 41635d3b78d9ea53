package mirror_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
	"lovagescale/internal/mirror"
	"lovagescale/internal/store"
)

func TestMirror(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mirror")
}

// entry returns an entry whose value is its revision.
func entry(key string, revision uint64) store.Entry {
	return store.Entry{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: revision}
}

// removal returns the removal of a key at the revision.
func removal(key string, revision uint64) store.Change {
	return store.Change{Entry: store.Entry{Key: key, Revision: revision}, Removed: true}
}

var _ = Describe("Mirror", func() {
	It("ignores older values from the store and from a peer", func() {
		m := mirror.New()
		Expect(m.ApplyChanges([]store.Change{{Entry: entry("a", 5)}}, 5)).To(Equal([]string{"a"}))
		Expect(m.ApplyChanges([]store.Change{{Entry: entry("a", 4)}}, 5)).To(BeEmpty())
		Expect(m.Merge(mirror.Delta{Revision: 4, Entries: []store.Entry{entry("a", 4)}})).To(BeEmpty())
		Expect(m.Merge(mirror.Delta{Full: true, Revision: 4})).To(BeEmpty())
		kept, found := m.Get("a")
		Expect(found).To(BeTrue())
		Expect(kept.Revision).To(BeEquivalentTo(5))
	})

	It("does not restore a removed key from an older value", func() {
		m := mirror.New()
		m.ApplyChanges([]store.Change{{Entry: entry("a", 5)}, removal("a", 7)}, 7)
		Expect(m.ApplyChanges([]store.Change{{Entry: entry("a", 6)}}, 7)).To(BeEmpty())
		Expect(m.Len()).To(BeZero())
	})

	It("keeps a key that was written after the snapshot was taken", func() {
		m := mirror.New()
		m.ApplyChanges([]store.Change{{Entry: entry("a", 5)}, {Entry: entry("b", 9)}}, 9)
		Expect(m.ApplySnapshot([]store.Entry{entry("c", 8)}, 9)).To(ConsistOf("a", "b", "c"))
		m.ApplyChanges([]store.Change{{Entry: entry("d", 12)}}, 10)
		Expect(m.ApplySnapshot([]store.Entry{entry("c", 8)}, 11)).To(BeEmpty())
		_, found := m.Get("d")
		Expect(found).To(BeTrue())
	})
})

// TestFuzzMirrorsConverge requires that a mirror whose revision is r holds exactly the keys and
// revisions that the store held at r. It draws writes and removals in the store, changes and
// snapshots that mirrors apply, some of them more than once, and pulls between mirrors.
func TestFuzzMirrorsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var history []store.Change
		stateAt := func(revision uint64) map[string]uint64 {
			state := map[string]uint64{}
			for _, change := range history[:revision] {
				if change.Removed {
					delete(state, change.Key)
				} else {
					state[change.Key] = change.Revision
				}
			}
			return state
		}
		mirrors := []*mirror.Mirror{mirror.New(), mirror.New(), mirror.New()}
		for range rapid.IntRange(5, 120).Draw(rt, "steps") {
			m := mirrors[rapid.IntRange(0, 2).Draw(rt, "mirror")]
			latest := uint64(len(history))
			switch rapid.IntRange(0, 4).Draw(rt, "action") {
			case 0, 1:
				key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(rt, "key"))
				change := store.Change{Entry: entry(key, latest+1), Removed: rapid.Bool().Draw(rt, "removed")}
				history = append(history, change)
			case 2:
				after := uint64(rapid.IntRange(0, int(m.Revision())).Draw(rt, "after"))
				m.ApplyChanges(history[after:], latest)
			case 3:
				var entries []store.Entry
				for key, revision := range stateAt(latest) {
					entries = append(entries, entry(key, revision))
				}
				m.ApplySnapshot(entries, latest)
			case 4:
				peer := mirrors[rapid.IntRange(0, 2).Draw(rt, "peer")]
				m.Merge(peer.DeltaSince(m.Revision()))
			}
			for key, revision := range stateAt(m.Revision()) {
				held, found := m.Get(key)
				if !found || held.Revision != revision {
					rt.Fatalf("mirror at revision %d has key %q at revision %d (found: %v), want revision %d", m.Revision(), key, held.Revision, found, revision)
				}
			}
			if m.Len() != len(stateAt(m.Revision())) {
				rt.Fatalf("mirror at revision %d has %d keys, want %d", m.Revision(), m.Len(), len(stateAt(m.Revision())))
			}
		}
	})
}
