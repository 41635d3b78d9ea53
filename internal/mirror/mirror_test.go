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

// at returns the position of a revision in era 1.
func at(revision uint64) store.Position { return store.Position{Era: 1, Revision: revision} }

// newMirror returns an empty mirror in era 1.
func newMirror() *mirror.Mirror {
	m := mirror.New()
	m.ApplySnapshot(nil, at(0))
	return m
}

// removal returns the removal of a key at the revision.
func removal(key string, revision uint64) store.Change {
	return store.Change{Entry: store.Entry{Key: key, Revision: revision}, Removed: true}
}

var _ = Describe("Mirror", func() {
	It("ignores older values from the store and from a peer", func() {
		m := newMirror()
		Expect(m.ApplyChanges([]store.Change{{Entry: entry("a", 5)}}, at(5))).To(Equal([]string{"a"}))
		Expect(m.ApplyChanges([]store.Change{{Entry: entry("a", 4)}}, at(5))).To(BeEmpty())
		Expect(m.Merge(mirror.Delta{Era: 1, Revision: 4, Entries: []store.Entry{entry("a", 4)}})).To(BeEmpty())
		Expect(m.Merge(mirror.Delta{Full: true, Era: 1, Revision: 4})).To(BeEmpty())
		kept, found := m.Get("a")
		Expect(found).To(BeTrue())
		Expect(kept.Revision).To(BeEquivalentTo(5))
	})

	It("does not restore a removed key from an older value", func() {
		m := newMirror()
		m.ApplyChanges([]store.Change{{Entry: entry("a", 5)}, removal("a", 7)}, at(7))
		Expect(m.ApplyChanges([]store.Change{{Entry: entry("a", 6)}}, at(7))).To(BeEmpty())
		Expect(m.Len()).To(BeZero())
	})

	It("keeps a key that was written after the snapshot was taken", func() {
		m := newMirror()
		m.ApplyChanges([]store.Change{{Entry: entry("a", 5)}, {Entry: entry("b", 9)}}, at(9))
		Expect(m.ApplySnapshot([]store.Entry{entry("c", 8)}, at(9))).To(ConsistOf("a", "b", "c"))
		m.ApplyChanges([]store.Change{{Entry: entry("d", 12)}}, at(10))
		Expect(m.ApplySnapshot([]store.Entry{entry("c", 8)}, at(11))).To(BeEmpty())
		_, found := m.Get("d")
		Expect(found).To(BeTrue())
	})

	It("takes the lower revisions of a later era and ignores all of an earlier one", func() {
		m := newMirror()
		m.ApplyChanges([]store.Change{{Entry: entry("a", 5)}, {Entry: entry("b", 9)}}, at(9))
		underWay := m.DeltaSince(at(3))
		snapshot := []store.Entry{entry("a", 5), entry("c", 6)}
		Expect(m.ApplySnapshot(snapshot, store.Position{Era: 2, Revision: 6})).To(ConsistOf("b", "c"))
		Expect(m.Position()).To(Equal(store.Position{Era: 2, Revision: 6}))
		Expect(m.Merge(underWay)).To(BeEmpty())
		Expect(m.ApplyChanges([]store.Change{{Entry: entry("b", 9)}}, at(9))).To(BeEmpty())
		Expect(m.ApplySnapshot([]store.Entry{entry("b", 9)}, at(30))).To(BeEmpty())
		Expect(m.Len()).To(Equal(2))
	})

	It("gives a peer of another era a full copy, and takes no other from a later era", func() {
		m := newMirror()
		m.ApplySnapshot([]store.Entry{entry("a", 5)}, store.Position{Era: 3, Revision: 7})
		Expect(m.DeltaSince(at(6)).Full).To(BeTrue())
		Expect(m.DeltaSince(store.Position{Era: 3, Revision: 7}).Full).To(BeFalse())
		behind := newMirror()
		Expect(behind.Merge(m.DeltaSince(store.Position{Era: 3, Revision: 7}))).To(BeEmpty())
		Expect(behind.Position()).To(Equal(at(0)))
		Expect(behind.Merge(m.DeltaSince(behind.Position()))).To(Equal([]string{"a"}))
	})
})

// fuzzedStore is a store whose history is known in all of its eras.
type fuzzedStore struct {
	// histories holds the changes of each era from the first revision on; that of era n is
	// at index n-1.
	histories [][]store.Change
}

func (s *fuzzedStore) era() uint64             { return uint64(len(s.histories)) }
func (s *fuzzedStore) history() []store.Change { return s.histories[s.era()-1] }
func (s *fuzzedStore) position() store.Position {
	return store.Position{Era: s.era(), Revision: uint64(len(s.history()))}
}

// write appends a change of a key to the present era.
func (s *fuzzedStore) write(key string, removed bool) {
	era := s.era()
	revision := uint64(len(s.history()) + 1)
	e := store.Entry{Key: key, Value: []byte(fmt.Sprint(era, ".", revision)), Revision: revision}
	s.histories[era-1] = append(s.histories[era-1], store.Change{Entry: e, Removed: removed})
}

// restore begins an era with the state at a revision of the present one.
func (s *fuzzedStore) restore(revision uint64) {
	s.histories = append(s.histories, append([]store.Change{}, s.history()[:revision]...))
}

// stateAt returns the entries that the store held at a position.
func (s *fuzzedStore) stateAt(position store.Position) map[string]store.Entry {
	state := map[string]store.Entry{}
	if position.Era == 0 {
		return state
	}
	for _, change := range s.histories[position.Era-1][:position.Revision] {
		if change.Removed {
			delete(state, change.Key)
		} else {
			state[change.Key] = change.Entry
		}
	}
	return state
}

// TestFuzzMirrorsConverge requires that a mirror at a position holds exactly the entries that
// the store held there, and that positions never go back but for a restart. It draws writes
// and removals, stores that come back from a copy, answers of the store and of peers that
// arrive late, more than once or in an era that has ended, and restarts of mirrors.
func TestFuzzMirrorsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &fuzzedStore{histories: make([][]store.Change, 1)}
		mirrors := []*mirror.Mirror{mirror.New(), mirror.New(), mirror.New()}
		var late []func(*mirror.Mirror) // answers under way
		for range rapid.IntRange(5, 150).Draw(rt, "steps") {
			n := rapid.IntRange(0, 2).Draw(rt, "mirror")
			m := mirrors[n]
			previous := m.Position()
			deliver := func(answer func(*mirror.Mirror)) {
				if rapid.IntRange(0, 2).Draw(rt, "late") == 0 {
					late = append(late, answer)
				} else {
					answer(m)
				}
			}
			switch rapid.IntRange(0, 8).Draw(rt, "action") {
			case 0, 1, 2:
				s.write(fmt.Sprint("k", rapid.IntRange(0, 4).Draw(rt, "key")), rapid.Bool().Draw(rt, "removed"))
			case 3: // a watch, which the store answers in the mirror's era only
				if position := s.position(); m.Position().Era == position.Era {
					after := uint64(rapid.IntRange(0, int(m.Position().Revision)).Draw(rt, "after"))
					changes := append([]store.Change{}, s.history()[after:]...)
					deliver(func(m *mirror.Mirror) {
						if m.Position().Era == position.Era && m.Position().Revision < after {
							return // a watch starts at the mirror's revision, which only a restart lowers
						}
						m.ApplyChanges(changes, position)
					})
				}
			case 4:
				var entries []store.Entry
				for _, e := range s.stateAt(s.position()) {
					entries = append(entries, e)
				}
				position := s.position()
				deliver(func(m *mirror.Mirror) { m.ApplySnapshot(entries, position) })
			case 5:
				asked := m.Position()
				delta := mirrors[rapid.IntRange(0, 2).Draw(rt, "peer")].DeltaSince(asked)
				deliver(func(m *mirror.Mirror) {
					if !delta.Full && m.Position().Compare(asked) < 0 {
						return // asked for before a restart
					}
					m.Merge(delta)
				})
			case 6:
				s.restore(uint64(rapid.IntRange(0, len(s.history())).Draw(rt, "copy")))
			case 7:
				if len(late) > 0 {
					late[rapid.IntRange(0, len(late)-1).Draw(rt, "answer")](m)
				}
			case 8:
				mirrors[n] = mirror.New()
				m, previous = mirrors[n], store.Position{}
			}
			if m.Position().Compare(previous) < 0 {
				rt.Fatalf("mirror went back from %v to %v", previous, m.Position())
			}
			want := s.stateAt(m.Position())
			for key, e := range want {
				if held, found := m.Get(key); !found || held.Revision != e.Revision || string(held.Value) != string(e.Value) {
					rt.Fatalf("mirror at %v has key %q as %q (found: %v), want %q", m.Position(), key, held.Value, found, e.Value)
				}
			}
			if m.Len() != len(want) {
				rt.Fatalf("mirror at %v has %d keys, want %d", m.Position(), m.Len(), len(want))
			}
		}
	})
}
