package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/fleet"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleet")
}

var start = time.UnixMilli(1_000_000)

func member(name, region string) fleet.Member {
	return fleet.Member{Instance: name, Incarnation: 1, Zone: region + "-1", Region: region, Callers: name + ":1", Link: name + ":2"}
}

func report(m fleet.Member, state fleet.State, activity fleet.Activity) fleet.Report {
	return fleet.Report{Status: fleet.Status{Member: m, State: state}, Activity: activity}
}

func loadOf(endpoint string, inFlight int) fleet.Activity {
	return fleet.Activity{EndpointLoads: []fleet.EndpointLoad{{Endpoint: fleet.KeyOf(endpoint), InFlight: inFlight}}}
}

func demandOf(workspace string, rate float32) fleet.Activity {
	return fleet.Activity{WorkspaceDemand: []fleet.WorkspaceDemand{{Workspace: workspace, Rate: rate}}}
}

// loadsByKey returns in-flight requests by endpoint key from those by endpoint
// identifier.
func loadsByKey(loads map[string]int) map[fleet.EndpointKey]int {
	byKey := make(map[fleet.EndpointKey]int)
	for endpoint, inFlight := range loads {
		byKey[fleet.KeyOf(endpoint)] = inFlight
	}
	return byKey
}

func namesOf(members []fleet.Member) []string {
	names := []string{}
	for _, m := range members {
		names = append(names, m.Instance)
	}
	return names
}

var _ = Describe("View", func() {
	var view *fleet.View

	BeforeEach(func() {
		view = fleet.New(member("n2", "north"))
		view.SetState(fleet.Ready)
	})

	It("sends callers to instances that are ready and not silent", func() {
		view.ApplyReport(start, report(member("n1", "north"), fleet.Ready, fleet.Activity{}))
		view.ApplyReport(start, report(member("n3", "north"), fleet.Leaving, fleet.Activity{}))
		view.ApplyRegistration(start, member("n4", "north"))
		Expect(view.CallerAddresses(start, "north", 64)).To(Equal([]string{"n1:1", "n2:1"}))
		later := start.Add(fleet.SilentAfter + time.Millisecond)
		Expect(view.CallerAddresses(later, "north", 64)).To(Equal([]string{"n2:1"}))
	})

	It("returns the addresses of other regions' instances for a region without instances", func() {
		view.ApplyDigest(start, fleet.Digest{Region: "south", MembersHash: 3, Members: []fleet.Status{{Member: member("s1", "south"), State: fleet.Ready}}}, fleet.Activity{})
		Expect(view.CallerAddresses(start, "south", 64)).To(Equal([]string{"s1:1"}))
		Expect(view.CallerAddresses(start, "east", 64)).To(Equal([]string{"n2:1", "s1:1"}))
	})

	It("skips a delegate that does not reply and takes its place", func() {
		view.ApplyRegistration(start, member("n0", "north"))
		view.ApplyRegistration(start, member("n1", "north"))
		Expect(namesOf(view.Delegates(start, "north"))).To(Equal([]string{"n0", "n1"}))
		Expect(view.IsDelegate(start)).To(BeFalse())
		view.RecordFailure(start, "n0")
		Expect(namesOf(view.Delegates(start, "north"))).To(Equal([]string{"n1", "n2"}))
		Expect(view.IsDelegate(start)).To(BeTrue())
		Expect(view.IsDelegate(start.Add(fleet.SuspectFor))).To(BeFalse())
	})

	It("skips a delegate for longer each time it fails again, so that the following instances are tried", func() {
		for _, name := range []string{"n0", "n1"} {
			view.ApplyRegistration(start, member(name, "north"))
		}
		now := start
		view.RecordFailure(now, "n0")
		now = now.Add(fleet.SuspectFor)
		Expect(namesOf(view.Delegates(now, "north"))).To(Equal([]string{"n0", "n1"}), "n0 is tried again")
		view.RecordFailure(now, "n0")
		view.RecordFailure(now, "n0") // another failed call at the same time
		Expect(namesOf(view.Delegates(now.Add(2*fleet.SuspectFor-1), "north"))).To(Equal([]string{"n1", "n2"}))
		now = now.Add(2 * fleet.SuspectFor)
		Expect(namesOf(view.Delegates(now, "north"))).To(Equal([]string{"n0", "n1"}))
		view.RecordReply("n0")
		view.RecordFailure(now, "n0")
		Expect(namesOf(view.Delegates(now.Add(fleet.SuspectFor), "north"))).To(Equal([]string{"n0", "n1"}), "n0 has replied in the meantime")
	})

	It("is acknowledged once this run is registered or another instance replies", func() {
		restarted := member("n2", "north")
		restarted.Incarnation = 2
		view = fleet.New(restarted)
		view.ApplyRegistration(start, member("n1", "north"))
		view.ApplyRegistration(start, member("n2", "north"))
		Expect(view.Acknowledged()).To(BeFalse(), "the registration is that of the previous run")
		view.ApplyRegistration(start, restarted)
		Expect(view.Acknowledged()).To(BeTrue())

		view = fleet.New(restarted)
		view.ApplyRegistration(start, member("n1", "north"))
		view.RecordFailure(start, "n1")
		Expect(view.Acknowledged()).To(BeFalse())
		view.RecordReply("n1")
		Expect(view.Acknowledged()).To(BeTrue())
	})

	It("is its own delegate when no other instance of the region replies", func() {
		view.ApplyRegistration(start, member("n0", "north"))
		view.RecordFailure(start, "n0")
		Expect(namesOf(view.Delegates(start, "north"))).To(Equal([]string{"n2"}))
	})

	It("ignores reports of an earlier run of an instance", func() {
		restarted := member("n1", "north")
		restarted.Incarnation = 2
		Expect(view.ApplyReport(start, report(restarted, fleet.Ready, loadOf("e", 1)))).To(BeTrue())
		Expect(view.ApplyReport(start, report(member("n1", "north"), fleet.Leaving, loadOf("e", 9)))).To(BeFalse())
		Expect(view.PeerActivity(start).EndpointLoads).To(Equal(loadsByKey(map[string]int{"e": 1})))
	})

	It("aggregates its region as a delegate and excludes itself from the activity of its peers", func() {
		view.ApplyReport(start, report(member("n1", "north"), fleet.Ready, loadOf("e", 2)))
		view.ApplyReport(start, report(member("n3", "north"), fleet.Ready, loadOf("e", 3)))
		digest := view.LocalDigest(start, loadOf("e", 4))
		Expect(digest.Activity.EndpointLoads).To(Equal([]fleet.EndpointLoad{{Endpoint: fleet.KeyOf("e"), InFlight: 9}}))
		Expect(digest.Members).To(HaveLen(3))
		Expect(view.PeerActivity(start).EndpointLoads).To(Equal(loadsByKey(map[string]int{"e": 5})))
	})

	It("subtracts its own activity from the digest of its delegate", func() {
		view.ApplyRegistration(start, member("n0", "north"))
		view.ApplyRegistration(start, member("n1", "north"))
		view.ApplyDigest(start, fleet.Digest{Region: "north", MembersHash: 1, Activity: loadOf("e", 7)}, loadOf("e", 4))
		Expect(view.PeerActivity(start).EndpointLoads).To(Equal(loadsByKey(map[string]int{"e": 3})))
	})

	It("counts endpoint loads for a short time, and workspace demand as long as an instance of the region is known", func() {
		activity := loadOf("e", 2)
		activity.WorkspaceDemand = demandOf("azul", 5).WorkspaceDemand
		members := []fleet.Status{{Member: member("s1", "south"), State: fleet.Ready}}
		south := fleet.Digest{Region: "south", MembersHash: 1, Members: members, Activity: activity}
		view.ApplyDigest(start, south, fleet.Activity{})
		view.ApplyRegionDemand(start, south)
		later := view.PeerActivity(start.Add(5 * time.Second))
		Expect(later.EndpointLoads).To(BeEmpty())
		Expect(later.OtherRegionsDemand).To(Equal(map[string]float64{"azul": 5}))
		view.ApplyRegistration(start, member("s1", "south"))
		muchLater := start.Add(time.Minute)
		view.Expire(muchLater)
		Expect(view.PeerActivity(muchLater).OtherRegionsDemand).To(Equal(map[string]float64{"azul": 5}), "s1 is unreachable but still registered")
		view.RemoveRegistration("s1")
		view.Expire(muchLater)
		Expect(view.PeerActivity(muchLater).OtherRegionsDemand).To(BeEmpty())
	})

	It("counts the demand on its own zone separately", func() {
		otherZone := member("n3", "north")
		otherZone.Zone = "north-2"
		view.ApplyReport(start, report(member("n1", "north"), fleet.Ready, demandOf("azul", 5)))
		view.ApplyReport(start, report(otherZone, fleet.Ready, demandOf("azul", 3)))
		activity := view.PeerActivity(start)
		Expect(activity.RegionDemand).To(Equal(map[string]float64{"azul": 8}))
		Expect(activity.ZoneDemand).To(Equal(map[string]float64{"azul": 5}))
	})

	It("sends other regions the demand on all its zones together", func() {
		otherZone := member("n3", "north")
		otherZone.Zone = "north-2"
		view.ApplyReport(start, report(otherZone, fleet.Ready, demandOf("azul", 3)))
		digest := view.LocalDigestWithDemand(start, demandOf("azul", 5))
		Expect(digest.Activity.WorkspaceDemand).To(Equal(demandOf("azul", 8).WorkspaceDemand))
	})

	It("marks demand as incomplete until every region with instances has reported its demand", func() {
		Expect(view.PeerActivity(start).DemandIncomplete).To(BeFalse())
		view.ApplyRegistration(start, member("s1", "south"))
		Expect(view.PeerActivity(start).DemandIncomplete).To(BeTrue())
		view.ApplyRegionDemand(start, fleet.Digest{Region: "south", MembersHash: 1})
		Expect(view.PeerActivity(start).DemandIncomplete).To(BeFalse())
	})

	It("returns the pool holders by zone, and none while it hears from no other instance", func() {
		view.ApplyRegistration(start, member("n1", "north"))
		Expect(view.PoolHolders(start)).To(BeEmpty())
		view.ApplyReport(start, report(member("n3", "north"), fleet.Ready, fleet.Activity{}))
		Expect(namesOf(view.PoolHolders(start)["north-1"])).To(Equal([]string{"n1", "n2", "n3"}))
		view.RecordFailure(start, "n1")
		Expect(namesOf(view.PoolHolders(start)["north-1"])).To(Equal([]string{"n2", "n3"}))
		Expect(view.PoolHolders(start.Add(fleet.SilentAfter + time.Second))).To(BeEmpty())
	})

	It("uses the fraction of its zone's instances that it reaches, ignoring leaving ones, as its pool fraction", func() {
		for _, name := range []string{"n1", "n3", "n4"} {
			view.ApplyReport(start, report(member(name, "north"), fleet.Ready, fleet.Activity{}))
		}
		Expect(view.PoolFraction(start)).To(Equal(1.0))
		view.RecordFailure(start, "n1")
		Expect(view.PoolFraction(start)).To(Equal(0.75))
		view.ApplyReport(start, report(member("n4", "north"), fleet.Leaving, fleet.Activity{}))
		Expect(view.PoolFraction(start)).To(BeNumerically("~", 2.0/3, 1e-9))
		Expect(view.PoolFraction(start.Add(fleet.SilentAfter + time.Second))).To(BeNumerically("~", 1.0/3, 1e-9))
	})

	It("limits its pool fraction to an even one while others reach an instance of its zone that it does not reach", func() {
		receiveDigest := func(now time.Time, names ...string) {
			var members []fleet.Status
			for _, name := range names {
				members = append(members, fleet.Status{Member: member(name, "north"), State: fleet.Ready})
			}
			view.ApplyDigest(now, fleet.Digest{Region: "north", MembersHash: 1, Members: members}, fleet.Activity{})
		}
		receiveDigest(start, "n1", "n3")
		view.RecordFailure(start, "n1")
		Expect(view.PoolFraction(start)).To(BeNumerically("~", 2.0/3, 1e-9))
		soon := start.Add(time.Second)
		receiveDigest(soon, "n1", "n3")
		Expect(view.PoolFraction(soon)).To(BeNumerically("~", 2.0/3, 1e-9), "n1 may have stopped since it was last seen")
		view.RecordFailure(start.Add(fleet.SuspectFor), "n1")
		late := start.Add(3 * time.Second)
		receiveDigest(late, "n1", "n3")
		Expect(view.PoolFraction(late)).To(BeNumerically("~", 1.0/3, 1e-9))
		view.RecordReply("n1")
		Expect(view.PoolFraction(late.Add(2*fleet.SuspectFor))).To(BeNumerically("~", 1.0/3, 1e-9), "all other instances are silent")
		receiveDigest(late.Add(2*fleet.SuspectFor), "n1", "n3")
		Expect(view.PoolFraction(late.Add(2 * fleet.SuspectFor))).To(Equal(1.0))
	})

	It("marks demand as stale when a member or a region has become silent", func() {
		view.ApplyReport(start, report(member("n1", "north"), fleet.Ready, demandOf("azul", 5)))
		view.ApplyRegistration(start, member("s1", "south"))
		receiveDigest := func(now time.Time, stale bool) {
			south := fleet.Digest{Region: "south", MembersHash: 1, DemandStale: stale}
			view.ApplyDigest(now, south, fleet.Activity{})
			view.ApplyRegionDemand(now, south)
		}
		receiveDigest(start, false)
		Expect(view.PeerActivity(start).DemandStale).To(BeFalse())
		later := start.Add(fleet.SilentAfter + time.Second)
		view.ApplyReport(later, report(member("n1", "north"), fleet.Ready, demandOf("azul", 5)))
		Expect(view.PeerActivity(later).DemandStale).To(BeTrue(), "the other region is silent")
		receiveDigest(later, false)
		Expect(view.PeerActivity(later).DemandStale).To(BeFalse())
		receiveDigest(later, true)
		Expect(view.PeerActivity(later).DemandStale).To(BeTrue(), "a member of the other region is silent")
	})

	It("is a pool holder of its zone when no other instance is known", func() {
		Expect(namesOf(view.PoolHolders(start)["north-1"])).To(Equal([]string{"n2"}))
	})

	It("counts the demand of a member that has become silent", func() {
		view.ApplyReport(start, report(member("n1", "north"), fleet.Ready, demandOf("azul", 5)))
		digest := view.LocalDigestWithDemand(start.Add(5*time.Second), fleet.Activity{})
		Expect(digest.Members).To(HaveLen(1))
		Expect(digest.Activity.WorkspaceDemand).To(Equal(demandOf("azul", 5).WorkspaceDemand))
	})

	It("omits members that the receiver knows, and the receiver keeps them", func() {
		south := fleet.Digest{Region: "south", MembersHash: 11, Members: []fleet.Status{{Member: member("s1", "south"), State: fleet.Ready}}}
		view.ApplyDigest(start, south, fleet.Activity{})
		for _, digest := range view.DigestsForMember(start, fleet.Activity{}, fleet.Report{MemberHashes: map[string]uint64{"south": 11}}) {
			if digest.Region == "south" {
				Expect(digest.Members).To(BeEmpty())
			}
		}
		view.ApplyDigest(start.Add(2*time.Second), fleet.Digest{Region: "south", MembersHash: 11}, fleet.Activity{})
		Expect(view.CallerAddresses(start.Add(4*time.Second), "south", 64)).To(Equal([]string{"s1:1"}))
	})

	It("asks for the members again after a digest that omits members it does not know", func() {
		// Two delegates reply at the same time and each omits the members named in the report.
		// A digest with more members arrives between the two replies.
		n1 := fleet.Status{Member: member("n1", "north"), State: fleet.Ready}
		n3 := fleet.Status{Member: member("n3", "north"), State: fleet.Ready}
		view.ApplyDigest(start, fleet.Digest{Region: "north", MembersHash: 11, Members: []fleet.Status{n1}}, fleet.Activity{})
		view.ApplyDigest(start, fleet.Digest{Region: "north", MembersHash: 13, Members: []fleet.Status{n1, n3}}, fleet.Activity{})
		view.ApplyDigest(start, fleet.Digest{Region: "north", MembersHash: 11}, fleet.Activity{})
		Expect(view.MemberHashes()).To(Equal(map[string]uint64{"north": 0}))
	})

	It("measures silence from an instance's last report even if digests keep including the instance", func() {
		delegate := fleet.New(member("n0", "north"))
		delegate.ApplyReport(start, report(member("n1", "north"), fleet.Ready, fleet.Activity{}))
		remoteView := fleet.New(member("s1", "south"))
		for now := start; now.Before(start.Add(2 * fleet.SilentAfter)); now = now.Add(250 * time.Millisecond) {
			remoteView.ApplyDigest(now, delegate.LocalDigest(now, fleet.Activity{}), fleet.Activity{})
			accepting := namesOf(remoteView.AcceptingMembers(now))
			if now.Sub(start) <= fleet.SilentAfter {
				Expect(accepting).To(ContainElement("n1"))
			} else {
				Expect(accepting).NotTo(ContainElement("n1"), "silent for %v", now.Sub(start))
			}
		}
	})

	It("sends a member the endpoint loads of its own region and of the regions that it names", func() {
		view.ApplyRegistration(start, member("s1", "south"))
		view.ApplyDigest(start, fleet.Digest{Region: "south", MembersHash: 11, Activity: loadOf("e", 2)}, fleet.Activity{})
		digestedLoads := func(regions ...string) map[fleet.EndpointKey]int {
			loads := make(map[fleet.EndpointKey]int)
			for _, digest := range view.DigestsForMember(start, loadOf("own", 1), fleet.Report{UsedRegions: regions}) {
				for _, load := range digest.Activity.EndpointLoads {
					loads[load.Endpoint] = load.InFlight
				}
			}
			return loads
		}
		Expect(digestedLoads()).To(Equal(loadsByKey(map[string]int{"own": 1})))
		Expect(digestedLoads("south")).To(Equal(loadsByKey(map[string]int{"own": 1, "e": 2})))
	})

	// Guards against members that take endpoints for free whose slots other regions' requests
	// hold, and crowd these requests out.
	It("sends a member what other regions have in flight at the endpoints of its own", func() {
		view.ApplyRegistration(start, member("s1", "south"))
		view.SetLocalEndpoints([]fleet.EndpointKey{fleet.KeyOf("local")})
		southern := append(loadOf("local", 3).EndpointLoads, loadOf("southern", 2).EndpointLoads...)
		view.ApplyDigest(start, fleet.Digest{Region: "south", MembersHash: 11, Activity: fleet.Activity{EndpointLoads: southern}}, fleet.Activity{})
		own := loadOf("local", 1)
		inFlight := func(report fleet.Report, after time.Duration) map[fleet.EndpointKey]int {
			loads := make(map[fleet.EndpointKey]int)
			for _, digest := range view.DigestsForMember(start.Add(after), own, report) {
				for _, load := range digest.Activity.EndpointLoads {
					loads[load.Endpoint] += load.InFlight
				}
			}
			return loads
		}
		Expect(inFlight(fleet.Report{}, 0)).To(Equal(loadsByKey(map[string]int{"local": 4})))
		Expect(inFlight(fleet.Report{UsedRegions: []string{"south"}}, 0)).To(Equal(loadsByKey(map[string]int{"local": 4, "southern": 2})))
		Expect(inFlight(fleet.Report{}, 4*time.Second)).To(Equal(loadsByKey(map[string]int{"local": 1})), "the region's digest has expired")
	})

	It("relays a digest to a delegate that lacks it or has a much older one", func() {
		view.ApplyRegistration(start, member("s1", "south"))
		south := fleet.Digest{Region: "south", MembersHash: 11, Activity: loadOf("e", 2)}
		view.ApplyDigest(start, south, fleet.Activity{})
		view.ApplyRegionDemand(start, south)
		relayedRegions := func(ages map[string]int64) []string {
			var regions []string
			for _, digest := range view.DigestsForDelegate(start, fleet.Activity{}, fleet.Exchange{Digest: fleet.Digest{Region: "east"}, DemandAgeMillis: ages}) {
				regions = append(regions, digest.Region)
			}
			return regions
		}
		Expect(relayedRegions(nil)).To(Equal([]string{"north", "south"}))
		Expect(relayedRegions(map[string]int64{"south": 500})).To(Equal([]string{"north"}))
		Expect(relayedRegions(map[string]int64{"south": 5000})).To(Equal([]string{"north", "south"}))
	})

	It("ignores a digest that is older than the stored one", func() {
		view.ApplyDigest(start, fleet.Digest{Region: "south", MembersHash: 1, Activity: loadOf("e", 1)}, fleet.Activity{})
		view.ApplyDigest(start, fleet.Digest{Region: "south", MembersHash: 1, AgeMillis: 400, Activity: loadOf("e", 9)}, fleet.Activity{})
		Expect(view.PeerActivity(start).EndpointLoads).To(Equal(loadsByKey(map[string]int{"e": 1})))
	})

	It("forgets an instance that is neither registered nor heard from", func() {
		view.ApplyRegistration(start, member("n1", "north"))
		view.RemoveRegistration("n1")
		view.Expire(start.Add(time.Second))
		Expect(view.Size()).To(Equal(2))
		view.Expire(start.Add(fleet.ForgottenAfter + time.Second))
		Expect(view.Size()).To(Equal(1))
	})
})
