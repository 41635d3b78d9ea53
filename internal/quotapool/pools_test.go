package quotapool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/allowance"
	"lovagescale/internal/catalog"
	"lovagescale/internal/fleet"
)

func TestQuotaPool(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quotapool")
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
		pools := New(members("north-1", 1)[0], time.Second, 250*time.Millisecond)
		pools.SetHolders(map[string][]fleet.Member{"north-1": members("north-1", 8)}, nil)
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
		pools := New(members("north-1", 1)[0], time.Second, 250*time.Millisecond)
		all := members("north-1", 8)
		pools.SetHolders(map[string][]fleet.Member{"north-1": all}, nil)
		before := make(map[string][]fleet.Member)
		for _, workspace := range workspaces(200) {
			before[workspace] = pools.holderCandidates("north-1", workspace)
		}
		lost := all[3]
		pools.SetHolders(map[string][]fleet.Member{"north-1": append(append([]fleet.Member{}, all[:3]...), all[4:]...)}, nil)
		for workspace, candidates := range before {
			expected := candidates[0]
			if candidates[0] == lost {
				expected = candidates[1]
			}
			Expect(pools.holderCandidates("north-1", workspace)[0]).To(Equal(expected))
		}
	})

	It("counts a holder as silent only if it repeatedly does not reply", func() {
		pools := New(members("north-1", 1)[0], time.Second, 250*time.Millisecond)
		now := time.UnixMilli(1_000_000)
		Expect(pools.RecordFailure(now, "north-1-1")).To(BeFalse())
		pools.RecordReply("north-1-1")
		Expect(pools.RecordFailure(now.Add(holderSilenceThreshold), "north-1-1")).To(BeFalse(), "it replied in the meantime")
		Expect(pools.RecordFailure(now.Add(holderSilenceThreshold+failureLifetime+time.Millisecond), "north-1-1")).To(BeFalse(), "the earlier failure has expired")
		Expect(pools.RecordFailure(now.Add(2*holderSilenceThreshold+failureLifetime+time.Millisecond), "north-1-1")).To(BeTrue())
	})

	It("returns the other zones of the region, and nothing while no holder is known", func() {
		pools := New(members("north-1", 1)[0], time.Second, 250*time.Millisecond)
		Expect(pools.holderCandidates("north-1", "azul")).To(BeEmpty())
		Expect(pools.otherZones()).To(BeEmpty())
		pools.SetHolders(map[string][]fleet.Member{"north-1": members("north-1", 1), "north-2": members("north-2", 2)}, nil)
		Expect(pools.otherZones()).To(ConsistOf("north-2"))
		Expect(pools.holderCandidates("north-2", "azul")).To(HaveLen(2))
	})

	// Guards against a token that a restarted holder credits although it never lent it: the
	// workspace could then exceed its quota.
	It("takes back only tokens that this run lent", func() {
		c := catalog.New(1, nil, nil, []*catalog.Workspace{{Name: "azul", Rate: 20, Burst: 20}}, catalog.Limits{})
		self := fleet.Member{Instance: "north-1-0", Zone: "north-1", Incarnation: 7}
		pools := New(self, 5*time.Second, 250*time.Millisecond)
		pools.SetHolders(map[string][]fleet.Member{"north-1": {self}}, nil)
		now := time.UnixMilli(1_000_000)
		for range 8 {
			now = now.Add(250 * time.Millisecond)
			pools.Tick(now, 250*time.Millisecond)
			pools.Divide(now, c, allowance.Division{Demand: func(string) allowance.Demands { return allowance.Demands{Own: 10} }, Holders: 1},
				Fractions{Pool: 1, Contested: 1, Fallback: 1, Entitled: true})
		}
		loan := pools.Borrow(now, c.Workspaces["azul"], 1, nil)
		Expect(loan.Granted).To(BeTrue())
		Expect(loan.Lender.Instance).To(BeEmpty(), "this instance is the holder")
		returned := fleet.Return{Workspace: "azul", Token: loan.Token, Count: 1}

		restarted := returned
		restarted.Token.Incarnation++
		Expect(pools.TakeBack(now, restarted)).To(BeZero())
		old := fleet.Return{Workspace: "azul", Count: 1}
		Expect(pools.TakeBack(now, old)).To(BeZero(), "lent by a build that takes none back")
		Expect(pools.TakeBack(now, returned)).To(Equal(1))
		Expect(pools.TakeBack(now, returned)).To(BeZero(), "the only token of its period")
	})
})
