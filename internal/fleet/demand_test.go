package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/fleet"
)

// azul returns totals of one workspace.
func azul(zone, region, abroad float32) fleet.Totals {
	return fleet.Totals{Rows: []fleet.Total{{Workspace: "azul", Zone: zone, Region: region, Abroad: abroad}}}
}

func rates(rate float64) map[string]float64 { return map[string]float64{"azul": rate} }

// digestOf is an exchange's digest of a region with an instance and demand.
func digestOf(region string, activity fleet.Activity) fleet.Digest {
	members := []fleet.Status{{Member: member(region+"1", region), State: fleet.Ready}}
	return fleet.Digest{Region: region, Hash: 1, Members: members, Activity: activity}
}

var _ = Describe("Totals", func() {
	var core *fleet.Core

	// n2 reports to n0 and n1.
	BeforeEach(func() {
		core = fleet.New(member("n2", "north"))
		core.SetState(fleet.Ready)
		core.Registered(start, member("n0", "north"))
		core.Registered(start, member("n1", "north"))
		core.Registered(start, member("s1", "south"))
	})

	// hear lets a region's digest come by an exchange.
	hear := func(now time.Time, region string, activity fleet.Activity) {
		digest := digestOf(region, activity)
		core.Digested(now, digest, fleet.Activity{})
		core.Demanded(now, digest)
	}

	It("tell a member all demand but its own", func() {
		Expect(core.Others(start).Blind).To(BeTrue())
		core.Totaled(start, azul(9, 20, 30), demand("azul", 4).Demand)
		others := core.Others(start)
		Expect([]any{others.Zone, others.Region, others.Abroad}).To(Equal([]any{rates(5), rates(16), rates(30)}))
		Expect([]bool{others.Blind, others.Stale}).To(Equal([]bool{false, false}))
		Expect(core.Others(start.Add(fleet.SilentAfter + time.Millisecond)).Stale).To(BeTrue())
	})

	It("leave nothing of a member's own demand where sums were rounded", func() {
		core.Totaled(start, azul(4.00001, 4.00001, 0), demand("azul", 4).Demand)
		Expect(core.Others(start).Zone).To(BeEmpty())
	})

	It("are made by a delegate from reports and from what other regions told", func() {
		delegate := fleet.New(member("n0", "north"))
		delegate.SetState(fleet.Ready)
		other := member("n3", "north")
		other.Zone = "north-2"
		delegate.Heard(start, report(member("n2", "north"), fleet.Ready, demand("azul", 4)))
		delegate.Heard(start, report(other, fleet.Ready, demand("azul", 7)))
		delegate.Registered(start, member("s1", "south"))
		Expect(delegate.Totals(start, "north-1", nil).Blind).To(BeTrue())
		delegate.Demanded(start, digestOf("south", demand("azul", 30)))
		Expect(delegate.Totals(start, "north-1", demand("azul", 5).Demand)).To(Equal(azul(9, 16, 30)))
		Expect(delegate.Totals(start, "north-2", demand("azul", 5).Demand)).To(Equal(azul(7, 16, 30)))
		later := start.Add(fleet.SilentAfter + time.Millisecond)
		Expect(delegate.Totals(later, "north-2", nil).Stale).To(BeTrue())
	})

	It("replace better ones at once when they are stale or blind", func() {
		for _, worse := range []fleet.Totals{{Stale: true}, {Blind: true}} {
			core.Totaled(start, azul(9, 20, 30), nil)
			core.Totaled(start.Add(time.Millisecond), worse, nil)
			others := core.Others(start.Add(time.Millisecond))
			Expect([]bool{others.Blind, others.Stale}).To(Equal([]bool{worse.Blind, worse.Stale}))
		}
	})

	It("count the demand of an instance that starts again as it was, until it reports", func() {
		delegate := fleet.New(member("n0", "north"))
		delegate.Heard(start, report(member("n2", "north"), fleet.Ready, demand("azul", 4)))
		again := member("n2", "north")
		again.Incarnation = 2
		delegate.Registered(start.Add(time.Second), again)
		Expect(delegate.Others(start.Add(time.Second)).Region).To(Equal(rates(4)))
		Expect(delegate.Others(start.Add(time.Minute)).Stale).To(BeTrue())
		delegate.Heard(start.Add(2*time.Second), report(again, fleet.Ready, demand("azul", 1)))
		Expect(delegate.Others(start.Add(2 * time.Second)).Region).To(Equal(rates(1)))
	})

	It("are blind for an instance that starts and has heard none of its region", func() {
		alone := fleet.New(member("n0", "north"))
		Expect(alone.Others(start).Blind).To(BeFalse())
		alone.Registered(start, member("n2", "north"))
		Expect(alone.Others(start).Blind).To(BeTrue())
		alone.Heard(start, report(member("n2", "north"), fleet.Ready, demand("azul", 4)))
		Expect(alone.Others(start).Blind).To(BeFalse())
	})

	It("say how old the oldest news in them is", func() {
		delegate := fleet.New(member("n0", "north"))
		delegate.Heard(start, report(member("n2", "north"), fleet.Ready, demand("azul", 4)))
		delegate.Registered(start, member("s1", "south"))
		delegate.Demanded(start.Add(time.Second), digestOf("south", demand("azul", 30)))
		totals := delegate.Totals(start.Add(2*time.Second), "north-1", nil)
		Expect(totals.AgeMillis).To(Equal(int64(2000)))
		core.Totaled(start.Add(2*time.Second), totals, nil)
		Expect(core.Others(start.Add(2100 * time.Millisecond)).Age).To(Equal(2100 * time.Millisecond))
		delegate.Heard(start.Add(2*time.Second), report(member("n2", "north"), fleet.Leaving, fleet.Activity{}))
		Expect(delegate.Others(start.Add(3 * time.Second)).Age).To(Equal(2 * time.Second))
	})

	It("serve a new delegate until it has heard all regions", func() {
		core.Totaled(start, azul(9, 20, 30), nil)
		core.Failed(start, "n0")
		Expect(core.IsDelegate(start)).To(BeTrue())
		Expect(core.Others(start).Abroad).To(Equal(rates(30)))
		Expect(core.Others(start).Blind).To(BeFalse())
		hear(start, "south", demand("azul", 12))
		Expect(core.Others(start).Abroad).To(Equal(rates(12)))
		core.Registered(start, member("e1", "east"))
		Expect(core.Others(start).Abroad).To(Equal(rates(30)), "the east has told nothing")
	})

	It("are forgotten with the instances of other regions", func() {
		core.Totaled(start, azul(9, 20, 30), nil)
		core.Unregistered("s1")
		core.Expire(start.Add(fleet.ForgottenAfter + time.Second))
		Expect(core.Others(start.Add(fleet.ForgottenAfter + time.Second)).Abroad).To(BeEmpty())
	})

	// Load pattern: 300 workspaces with requests in every region; rows for each region
	// were most of the bytes that a member got.
	It("do not grow with the regions", func() {
		busy := fleet.Activity{}
		for n := range 300 {
			busy.Demand = append(busy.Demand, fleet.Demand{Workspace: fmt.Sprint("workspace-", n), Rate: 2})
		}
		size := func(regions int) int {
			delegate := fleet.New(member("n0", "north"))
			for n := range regions {
				digest := digestOf(fmt.Sprint("region-", n), busy)
				delegate.Digested(start, digest, fleet.Activity{})
				delegate.Demanded(start, digest)
			}
			totals := delegate.Totals(start, "north-1", busy.Demand)
			known := delegate.Known()
			reply := fleet.Reply{Totals: &totals, Digests: delegate.Digests(start, busy, fleet.Report{Known: known})}
			encoded, err := msgpack.Marshal(reply)
			Expect(err).NotTo(HaveOccurred())
			return len(encoded)
		}
		perRegion := (size(47) - size(2)) / 45
		Expect(perRegion).To(BeNumerically("<", 60), "a region's name, age and hash")
	})
})
