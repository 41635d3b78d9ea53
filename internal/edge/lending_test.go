package edge

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lovagescale/internal/catalog"
	"lovagescale/internal/fleet"
)

func TestEdge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "edge")
}

var _ = Describe("lending", func() {
	members := func(zone string, n int) []fleet.Member {
		var all []fleet.Member
		for i := range n {
			all = append(all, fleet.Member{Instance: fmt.Sprint(zone, "-", i), Zone: zone})
		}
		return all
	}
	workspaces := func(n int) []string {
		var all []string
		for i := range n {
			all = append(all, fmt.Sprint("workspace-", i))
		}
		return all
	}

	It("divides the workspaces among the instances of the zone", func() {
		l := newLending("north-1-0", "north-1", time.Second)
		l.setHolders(map[string][]fleet.Member{"north-1": members("north-1", 8)})
		held := make(map[string]int)
		for _, workspace := range workspaces(800) {
			order := l.order("north-1", workspace)
			Expect(order).To(HaveLen(maxHolders))
			Expect(order[0]).NotTo(Equal(order[1]))
			held[order[0].Instance]++
		}
		Expect(held).To(HaveLen(8))
		for _, n := range held {
			Expect(n).To(BeNumerically("~", 100, 40))
		}
	})

	It("moves only the pools of an instance that is lost, to those asked next", func() {
		l := newLending("north-1-0", "north-1", time.Second)
		all := members("north-1", 8)
		l.setHolders(map[string][]fleet.Member{"north-1": all})
		before := make(map[string][]fleet.Member)
		for _, workspace := range workspaces(200) {
			before[workspace] = l.order("north-1", workspace)
		}
		lost := all[3]
		l.setHolders(map[string][]fleet.Member{"north-1": append(append([]fleet.Member{}, all[:3]...), all[4:]...)})
		for workspace, order := range before {
			expected := order[0]
			if order[0] == lost {
				expected = order[1]
			}
			Expect(l.order("north-1", workspace)[0]).To(Equal(expected))
		}
	})

	It("passes over a holder only when it goes on not answering", func() {
		l := newLending("north-1-0", "north-1", time.Second)
		now := time.UnixMilli(1_000_000)
		Expect(l.failed(now, "north-1-1")).To(BeFalse())
		l.answered("north-1-1")
		Expect(l.failed(now.Add(holderSilentAfter), "north-1-1")).To(BeFalse(), "it answered in between")
		Expect(l.failed(now.Add(holderSilentAfter+failureMemory+time.Millisecond), "north-1-1")).To(BeFalse(), "the failure before is long past")
		Expect(l.failed(now.Add(2*holderSilentAfter+failureMemory+time.Millisecond), "north-1-1")).To(BeTrue())
	})

	It("names the region's other zones, and nobody while no holder is known", func() {
		l := newLending("north-1-0", "north-1", time.Second)
		Expect(l.order("north-1", "azul")).To(BeEmpty())
		Expect(l.siblings()).To(BeEmpty())
		l.setHolders(map[string][]fleet.Member{"north-1": members("north-1", 1), "north-2": members("north-2", 2)})
		Expect(l.siblings()).To(ConsistOf("north-2"))
		Expect(l.order("north-2", "azul")).To(HaveLen(2))
	})
})

var _ = Describe("an instance that starts", func() {
	// Load pattern: all instances start while the store loses its answers: each has the
	// configuration and knows nobody. Six instances admitted 2.6 times the quota.
	It("lends nothing of its own before others can know of it", func() {
		c := catalog.New(1, nil, nil, []*catalog.Workspace{{Name: "azul", Rate: 20, Burst: 20}}, catalog.Limits{})
		admitted := func(e *Edge, now time.Time) (n int) {
			for range 100 {
				if e.lending.borrow(now, c.Workspaces["azul"], nil).Granted {
					n++
				}
			}
			return n
		}
		start := func(seeds ...string) *Edge {
			e := New(Settings{Instance: "one", Zone: "north-1", Region: "north", Link: "one", Seeds: seeds,
				Zones: map[string]string{"north-1": "north"}, Bounds: DefaultBounds()}, Ports{}, zerolog.Nop())
			e.catalog.Store(c)
			return e
		}
		run := func(e *Edge, from time.Time) time.Time {
			for range 8 {
				from = from.Add(tickInterval)
				e.state.tick(from)
			}
			return from
		}

		one := start("one", "two")
		now := run(one, time.UnixMilli(1_000_000))
		Expect(admitted(one, now)).To(BeZero())
		one.state.fleet.ApplyRegistration(now, one.state.fleet.Self())
		now = run(one, now)
		Expect(admitted(one, now)).To(BeNumerically("~", 20, 1))

		alone := start("one")
		now = run(alone, time.UnixMilli(1_000_000))
		Expect(admitted(alone, now)).To(BeNumerically("~", 20, 1), "there is no other one")
	})
})
