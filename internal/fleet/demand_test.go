package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/fleet"
)

// totalsOf returns totals with the demand of the workspace azul only.
func totalsOf(zone, region, otherRegions float32) fleet.Totals {
	return fleet.Totals{Workspaces: []fleet.WorkspaceTotal{{Workspace: "azul", Zone: zone, Region: region, OtherRegions: otherRegions}}}
}

func azulRate(rate float64) map[string]float64 { return map[string]float64{"azul": rate} }

// regionDigest returns the digest of a region with one instance, as an exchange carries
// it.
func regionDigest(region string, activity fleet.Activity) fleet.Digest {
	members := []fleet.Status{{Member: member(region+"1", region), State: fleet.Ready}}
	return fleet.Digest{Region: region, MembersHash: 1, Members: members, Activity: activity}
}

var _ = Describe("Totals", func() {
	var view *fleet.View

	// n2 reports to the delegates n0 and n1.
	BeforeEach(func() {
		view = fleet.New(member("n2", "north"))
		view.SetState(fleet.Ready)
		view.ApplyRegistration(start, member("n0", "north"))
		view.ApplyRegistration(start, member("n1", "north"))
		view.ApplyRegistration(start, member("s1", "south"))
	})

	// exchangeDigest delivers a digest of the region as an exchange does.
	exchangeDigest := func(now time.Time, region string, activity fleet.Activity) {
		digest := regionDigest(region, activity)
		view.ApplyDigest(now, digest, fleet.Activity{})
		view.ApplyRegionDemand(now, digest)
	}

	It("give a member all demand except its own", func() {
		Expect(view.PeerActivity(start).DemandIncomplete).To(BeTrue())
		view.ApplyTotals(start, totalsOf(9, 20, 30), demandOf("azul", 4).WorkspaceDemand)
		activity := view.PeerActivity(start)
		Expect([]any{activity.ZoneDemand, activity.RegionDemand, activity.OtherRegionsDemand}).To(Equal([]any{azulRate(5), azulRate(16), azulRate(30)}))
		Expect([]bool{activity.DemandIncomplete, activity.DemandStale}).To(Equal([]bool{false, false}))
		Expect(view.PeerActivity(start.Add(fleet.SilentAfter + time.Millisecond)).DemandStale).To(BeTrue())
	})

	It("leave no remainder of a member's own demand when sums were rounded", func() {
		view.ApplyTotals(start, totalsOf(4.00001, 4.00001, 0), demandOf("azul", 4).WorkspaceDemand)
		Expect(view.PeerActivity(start).ZoneDemand).To(BeEmpty())
	})

	It("are made by a delegate from reports and from the demand sent by other regions", func() {
		delegate := fleet.New(member("n0", "north"))
		delegate.SetState(fleet.Ready)
		otherZone := member("n3", "north")
		otherZone.Zone = "north-2"
		delegate.ApplyReport(start, report(member("n2", "north"), fleet.Ready, demandOf("azul", 4)))
		delegate.ApplyReport(start, report(otherZone, fleet.Ready, demandOf("azul", 7)))
		delegate.ApplyRegistration(start, member("s1", "south"))
		Expect(delegate.Totals(start, "north-1", nil).Incomplete).To(BeTrue())
		delegate.ApplyRegionDemand(start, regionDigest("south", demandOf("azul", 30)))
		Expect(delegate.Totals(start, "north-1", demandOf("azul", 5).WorkspaceDemand)).To(Equal(totalsOf(9, 16, 30)))
		Expect(delegate.Totals(start, "north-2", demandOf("azul", 5).WorkspaceDemand)).To(Equal(totalsOf(7, 16, 30)))
		later := start.Add(fleet.SilentAfter + time.Millisecond)
		Expect(delegate.Totals(later, "north-2", nil).Stale).To(BeTrue())
	})

	It("replace better ones at once when they are stale or incomplete", func() {
		for _, worse := range []fleet.Totals{{Stale: true}, {Incomplete: true}} {
			view.ApplyTotals(start, totalsOf(9, 20, 30), nil)
			view.ApplyTotals(start.Add(time.Millisecond), worse, nil)
			activity := view.PeerActivity(start.Add(time.Millisecond))
			Expect([]bool{activity.DemandIncomplete, activity.DemandStale}).To(Equal([]bool{worse.Incomplete, worse.Stale}))
		}
	})

	It("count the previous demand of a restarted instance until it reports", func() {
		delegate := fleet.New(member("n0", "north"))
		delegate.ApplyReport(start, report(member("n2", "north"), fleet.Ready, demandOf("azul", 4)))
		restarted := member("n2", "north")
		restarted.Incarnation = 2
		delegate.ApplyRegistration(start.Add(time.Second), restarted)
		Expect(delegate.PeerActivity(start.Add(time.Second)).RegionDemand).To(Equal(azulRate(4)))
		Expect(delegate.PeerActivity(start.Add(time.Minute)).DemandStale).To(BeTrue())
		delegate.ApplyReport(start.Add(2*time.Second), report(restarted, fleet.Ready, demandOf("azul", 1)))
		Expect(delegate.PeerActivity(start.Add(2 * time.Second)).RegionDemand).To(Equal(azulRate(1)))
	})

	It("are incomplete for a starting instance that has received no report of its region", func() {
		alone := fleet.New(member("n0", "north"))
		Expect(alone.PeerActivity(start).DemandIncomplete).To(BeFalse())
		alone.ApplyRegistration(start, member("n2", "north"))
		Expect(alone.PeerActivity(start).DemandIncomplete).To(BeTrue())
		alone.ApplyReport(start, report(member("n2", "north"), fleet.Ready, demandOf("azul", 4)))
		Expect(alone.PeerActivity(start).DemandIncomplete).To(BeFalse())
	})

	It("contain the age of their oldest report", func() {
		delegate := fleet.New(member("n0", "north"))
		delegate.ApplyReport(start, report(member("n2", "north"), fleet.Ready, demandOf("azul", 4)))
		delegate.ApplyRegistration(start, member("s1", "south"))
		delegate.ApplyRegionDemand(start.Add(time.Second), regionDigest("south", demandOf("azul", 30)))
		totals := delegate.Totals(start.Add(2*time.Second), "north-1", nil)
		Expect(totals.AgeMillis).To(Equal(int64(2000)))
		view.ApplyTotals(start.Add(2*time.Second), totals, nil)
		Expect(view.PeerActivity(start.Add(2100 * time.Millisecond)).DemandAge).To(Equal(2100 * time.Millisecond))
		delegate.ApplyReport(start.Add(2*time.Second), report(member("n2", "north"), fleet.Leaving, fleet.Activity{}))
		Expect(delegate.PeerActivity(start.Add(3 * time.Second)).DemandAge).To(Equal(2 * time.Second))
	})

	It("remain in use at a new delegate until it has the demand of all regions", func() {
		view.ApplyTotals(start, totalsOf(9, 20, 30), nil)
		view.RecordFailure(start, "n0")
		Expect(view.IsDelegate(start)).To(BeTrue())
		Expect(view.PeerActivity(start).OtherRegionsDemand).To(Equal(azulRate(30)))
		Expect(view.PeerActivity(start).DemandIncomplete).To(BeFalse())
		exchangeDigest(start, "south", demandOf("azul", 12))
		Expect(view.PeerActivity(start).OtherRegionsDemand).To(Equal(azulRate(12)))
		view.ApplyRegistration(start, member("e1", "east"))
		Expect(view.PeerActivity(start).OtherRegionsDemand).To(Equal(azulRate(30)), "the demand of east is missing")
	})

	It("lose the demand on other regions when the instances there are forgotten", func() {
		view.ApplyTotals(start, totalsOf(9, 20, 30), nil)
		view.RemoveRegistration("s1")
		view.Expire(start.Add(fleet.ForgottenAfter + time.Second))
		Expect(view.PeerActivity(start.Add(fleet.ForgottenAfter + time.Second)).OtherRegionsDemand).To(BeEmpty())
	})

	// Load pattern: 300 workspaces with requests in every region. When members got the demand
	// of each region separately, it made up most of the bytes sent to them.
	It("do not grow with the number of regions", func() {
		busy := fleet.Activity{}
		for n := range 300 {
			busy.WorkspaceDemand = append(busy.WorkspaceDemand, fleet.WorkspaceDemand{Workspace: fmt.Sprint("workspace-", n), Rate: 2})
		}
		size := func(regions int) int {
			delegate := fleet.New(member("n0", "north"))
			for n := range regions {
				digest := regionDigest(fmt.Sprint("region-", n), busy)
				delegate.ApplyDigest(start, digest, fleet.Activity{})
				delegate.ApplyRegionDemand(start, digest)
			}
			totals := delegate.Totals(start, "north-1", busy.WorkspaceDemand)
			known := delegate.MemberHashes()
			reply := fleet.Reply{Totals: &totals, Digests: delegate.DigestsForMember(start, busy, fleet.Report{MemberHashes: known})}
			encoded, err := msgpack.Marshal(reply)
			Expect(err).NotTo(HaveOccurred())
			return len(encoded)
		}
		perRegion := (size(47) - size(2)) / 45
		Expect(perRegion).To(BeNumerically("<", 60), "a region's name, age and hash")
	})
})
