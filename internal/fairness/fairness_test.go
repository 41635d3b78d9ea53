package fairness

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

// A workspace that uses all slots must neither wait for more nor take a released slot ahead
// of a waiting workspace without slots.
func TestAWorkspaceAboveItsShareDoesNotWait(t *testing.T) {
	g := gomega.NewWithT(t)
	q := NewQueue(10)
	for range 4 {
		q.RecordAcquire("large")
	}
	_, decision := q.Enqueue("large", 4)
	g.Expect(decision).To(gomega.Equal(Refuse))
	waiter, decision := q.Enqueue("small", 4)
	g.Expect(decision).To(gomega.Equal(Wait))
	g.Expect(q.MayAcquire("large")).To(gomega.BeFalse())
	q.RecordRelease("large")
	g.Expect(waiter.Ready).To(gomega.BeClosed())
}

// greedyModel models workspaces that always request more slots, each with at most one
// waiter.
type greedyModel struct {
	queue   *Queue
	slots   int
	free    int
	names   []string
	waiters map[string]*Waiter
}

func (m *greedyModel) request(name string) {
	if m.free > 0 && m.queue.MayAcquire(name) {
		m.free--
		m.queue.RecordAcquire(name)
		return
	}
	if m.waiters[name] == nil {
		if waiter, decision := m.queue.Enqueue(name, m.slots); decision == Wait {
			m.waiters[name] = waiter
		}
	}
}

// release releases a slot of the workspace. A waiter that this wakes takes the slot.
func (m *greedyModel) release(name string) {
	if m.queue.InUse(name) == 0 {
		return
	}
	m.free++
	m.queue.RecordRelease(name)
	for _, waitingName := range m.names {
		if waiter := m.waiters[waitingName]; waiter != nil && waiter.element == nil {
			delete(m.waiters, waitingName)
			m.free--
			m.queue.RecordAcquire(waitingName)
		}
	}
}

// extremes returns the workspaces that use the fewest and the most slots.
func (m *greedyModel) extremes() (least, most string) {
	least, most = m.names[0], m.names[0]
	for _, name := range m.names {
		if m.queue.InUse(name) < m.queue.InUse(least) {
			least = name
		}
		if m.queue.InUse(name) > m.queue.InUse(most) {
			most = name
		}
	}
	return least, most
}

// Whatever requests and releases came before, workspaces that all request slots end up with
// slot counts that differ by at most 2, if the one with the most slots releases one at a
// time.
func TestFuzzSharesBecomeEvenFromAnyState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(4, 24).Draw(t, "slots")
		m := &greedyModel{queue: NewQueue(100), slots: slots, free: slots, names: []string{"a", "b", "c", "d"}, waiters: make(map[string]*Waiter)}
		for _, event := range rapid.SliceOfN(rapid.IntRange(0, 7), 0, 200).Draw(t, "events") {
			if event < 4 {
				m.request(m.names[event])
			} else {
				m.release(m.names[event-4])
			}
			if m.free < 0 || m.free > slots {
				t.Fatalf("%d of %d slots are free", m.free, slots)
			}
		}
		for range 4 * slots {
			for _, name := range m.names {
				m.request(name)
			}
			_, most := m.extremes()
			m.release(most)
		}
		least, most := m.extremes()
		if m.queue.InUse(most)-m.queue.InUse(least) > 2 {
			t.Fatalf("workspace %q has %d slots and %q %d", least, m.queue.InUse(least), most, m.queue.InUse(most))
		}
	})
}
