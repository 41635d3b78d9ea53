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

func entry(key string, revision uint64) store.Entry {
	return store.Entry{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: revision}
}

func removal(key string, revision uint64) store.Change {
	return store.Change{Entry: store.Entry{Key: key, Revision: revision}, Removed: true}
}

var _ = Describe("Mirror", func() {
	It("never takes an older value, from the store or from a peer", func() {
		m := mirror.New()
		Expect(m.Apply([]store.Change{{Entry: entry("a", 5)}}, 5)).To(Equal([]string{"a"}))
		Expect(m.Apply([]store.Change{{Entry: entry("a", 4)}}, 5)).To(BeEmpty())
		Expect(m.Merge(mirror.Delta{Revision: 4, Entries: []store.Entry{entry("a", 4)}})).To(BeEmpty())
		Expect(m.Merge(mirror.Delta{Whole: true, Revision: 4})).To(BeEmpty())
		kept, found := m.Get("a")
		Expect(found).To(BeTrue())
		Expect(kept.Revision).To(BeEquivalentTo(5))
	})

	It("does not bring back a removed key", func() {
		m := mirror.New()
		m.Apply([]store.Change{{Entry: entry("a", 5)}, removal("a", 7)}, 7)
		Expect(m.Apply([]store.Change{{Entry: entry("a", 6)}}, 7)).To(BeEmpty())
		Expect(m.Len()).To(BeZero())
	})

	It("keeps a key that was written after a whole reading began", func() {
		m := mirror.New()
		m.Apply([]store.Change{{Entry: entry("a", 5)}, {Entry: entry("b", 9)}}, 9)
		Expect(m.Reset([]store.Entry{entry("c", 8)}, 9)).To(ConsistOf("a", "b", "c"))
		m.Apply([]store.Change{{Entry: entry("d", 12)}}, 10)
		Expect(m.Reset([]store.Entry{entry("c", 8)}, 11)).To(BeEmpty())
		_, found := m.Get("d")
		Expect(found).To(BeTrue())
	})
})

// TestFuzzMirrorsConverge drives a store, mirrors that follow it with lost and
// repeated readings, and pulls between them: a mirror that is complete up to a
// revision holds what the store held there.
func TestFuzzMirrorsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var history []store.Change
		at := func(revision uint64) map[string]uint64 {
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
			now := uint64(len(history))
			switch rapid.IntRange(0, 4).Draw(rt, "action") {
			case 0, 1:
				key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(rt, "key"))
				change := store.Change{Entry: entry(key, now+1), Removed: rapid.Bool().Draw(rt, "removed")}
				history = append(history, change)
			case 2:
				after := uint64(rapid.IntRange(0, int(m.Revision())).Draw(rt, "after"))
				m.Apply(history[after:], now)
			case 3:
				var entries []store.Entry
				for key, revision := range at(now) {
					entries = append(entries, entry(key, revision))
				}
				m.Reset(entries, now)
			case 4:
				peer := mirrors[rapid.IntRange(0, 2).Draw(rt, "peer")]
				m.Merge(peer.Since(m.Revision()))
			}
			for key, revision := range at(m.Revision()) {
				held, found := m.Get(key)
				if !found || held.Revision != revision {
					rt.Fatalf("mirror at %d holds %q at %d, found %v, not at %d", m.Revision(), key, held.Revision, found, revision)
				}
			}
			if m.Len() != len(at(m.Revision())) {
				rt.Fatalf("mirror at %d holds %d keys, not %d", m.Revision(), m.Len(), len(at(m.Revision())))
			}
		}
	})
}
