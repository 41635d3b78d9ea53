package fairness

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

func TestAWorkspaceAboveItsShareDoesNotWait(t *testing.T) {
	g := gomega.NewWithT(t)
	q := NewQueue(10)
	for range 4 {
		q.Took("large")
	}
	_, verdict := q.Ask("large", 4)
	g.Expect(verdict).To(gomega.Equal(Refuse))
	ticket, verdict := q.Ask("small", 4)
	g.Expect(verdict).To(gomega.Equal(Wait))
	g.Expect(q.MayTake("large")).To(gomega.BeFalse())
	q.Left("large")
	g.Expect(ticket.Ready).To(gomega.BeClosed())
}

// greedy is a model of workspaces that always want more slots.
type greedy struct {
	q       *Queue
	slots   int
	free    int
	names   []string
	tickets map[string]*Ticket
}

func (m *greedy) enter(name string) {
	if m.free > 0 && m.q.MayTake(name) {
		m.free--
		m.q.Took(name)
		return
	}
	if m.tickets[name] == nil {
		if ticket, verdict := m.q.Ask(name, m.slots); verdict == Wait {
			m.tickets[name] = ticket
		}
	}
}

func (m *greedy) leave(name string) {
	if m.q.Used(name) == 0 {
		return
	}
	m.free++
	m.q.Left(name)
	for _, waiting := range m.names {
		if ticket := m.tickets[waiting]; ticket != nil && ticket.element == nil {
			delete(m.tickets, waiting)
			m.free--
			m.q.Took(waiting)
		}
	}
}

// extremes returns the workspaces with the fewest and the most slots.
func (m *greedy) extremes() (least, most string) {
	least, most = m.names[0], m.names[0]
	for _, name := range m.names {
		if m.q.Used(name) < m.q.Used(least) {
			least = name
		}
		if m.q.Used(name) > m.q.Used(most) {
			most = name
		}
	}
	return least, most
}

func TestFuzzSharesBecomeEvenFromAnyState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(4, 24).Draw(t, "slots")
		m := &greedy{q: NewQueue(100), slots: slots, free: slots, names: []string{"a", "b", "c", "d"}, tickets: make(map[string]*Ticket)}
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 7), 0, 200).Draw(t, "events") {
			if n < 4 {
				m.enter(m.names[n])
			} else {
				m.leave(m.names[n-4])
			}
			if m.free < 0 || m.free > slots {
				t.Fatalf("%d of %d slots are free", m.free, slots)
			}
		}
		for range 4 * slots {
			for _, name := range m.names {
				m.enter(name)
			}
			_, most := m.extremes()
			m.leave(most)
		}
		least, most := m.extremes()
		if m.q.Used(most)-m.q.Used(least) > 2 {
			t.Fatalf("workspace %q has %d slots and %q %d", least, m.q.Used(least), most, m.q.Used(most))
		}
	})
}
