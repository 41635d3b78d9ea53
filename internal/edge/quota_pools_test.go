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

var _ = Describe("quota pools", func() {
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

	It("distributes the workspaces over the instances of the zone", func() {
		pools := newQuotaPools("north-1-0", "north-1", time.Second)
		pools.setHolders(map[string][]fleet.Member{"north-1": members("north-1", 8)})
		held := make(map[string]int)
		for _, workspace := range workspaces(800) {
			candidates := pools.holderCandidates("north-1", workspace)
			Expect(candidates).To(HaveLen(maxHolderCandidates))
			Expect(candidates[0]).NotTo(Equal(candidates[1]))
			held[candidates[0].Instance]++
		}
		Expect(held).To(HaveLen(8))
		for _, n := range held {
			Expect(n).To(BeNumerically("~", 100, 40))
		}
	})

	It("moves only the pools of a lost instance, to their next candidates", func() {
		pools := newQuotaPools("north-1-0", "north-1", time.Second)
		all := members("north-1", 8)
		pools.setHolders(map[string][]fleet.Member{"north-1": all})
		before := make(map[string][]fleet.Member)
		for _, workspace := range workspaces(200) {
			before[workspace] = pools.holderCandidates("north-1", workspace)
		}
		lost := all[3]
		pools.setHolders(map[string][]fleet.Member{"north-1": append(append([]fleet.Member{}, all[:3]...), all[4:]...)})
		for workspace, candidates := range before {
			expected := candidates[0]
			if candidates[0] == lost {
				expected = candidates[1]
			}
			Expect(pools.holderCandidates("north-1", workspace)[0]).To(Equal(expected))
		}
	})

	It("counts a holder as silent only if it repeatedly does not reply", func() {
		pools := newQuotaPools("north-1-0", "north-1", time.Second)
		now := time.UnixMilli(1_000_000)
		Expect(pools.recordFailure(now, "north-1-1")).To(BeFalse())
		pools.recordReply("north-1-1")
		Expect(pools.recordFailure(now.Add(holderSilenceThreshold), "north-1-1")).To(BeFalse(), "it replied in the meantime")
		Expect(pools.recordFailure(now.Add(holderSilenceThreshold+failureLifetime+time.Millisecond), "north-1-1")).To(BeFalse(), "the earlier failure has expired")
		Expect(pools.recordFailure(now.Add(2*holderSilenceThreshold+failureLifetime+time.Millisecond), "north-1-1")).To(BeTrue())
	})

	It("returns the other zones of the region, and nothing while no holder is known", func() {
		pools := newQuotaPools("north-1-0", "north-1", time.Second)
		Expect(pools.holderCandidates("north-1", "azul")).To(BeEmpty())
		Expect(pools.otherZones()).To(BeEmpty())
		pools.setHolders(map[string][]fleet.Member{"north-1": members("north-1", 1), "north-2": members("north-2", 2)})
		Expect(pools.otherZones()).To(ConsistOf("north-2"))
		Expect(pools.holderCandidates("north-2", "azul")).To(HaveLen(2))
	})
})

var _ = Describe("quota pools of a starting instance", func() {
	// All instances start while the answers of the store are lost: each has the
	// configuration and knows no other instance. Six instances admitted 2.6 times the
	// quota.
	It("admit nothing before other instances can know of it", func() {
		c := catalog.New(1, nil, nil, []*catalog.Workspace{{Name: "azul", Rate: 20, Burst: 20}}, catalog.Limits{})
		admitted := func(e *Edge, now time.Time) (n int) {
			for range 100 {
				if e.pools.borrow(now, c.Workspaces["azul"], nil).Granted {
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
		Expect(admitted(alone, now)).To(BeNumerically("~", 20, 1), "there is no other instance")
	})
})
