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

func uses(endpoint string, n int) fleet.Activity {
	return fleet.Activity{Uses: []fleet.Use{{Endpoint: fleet.KeyOf(endpoint), InFlight: n}}}
}

func demand(workspace string, rate float32) fleet.Activity {
	return fleet.Activity{Demand: []fleet.Demand{{Workspace: workspace, Rate: rate}}}
}

// usesOf are the requests under way at endpoints, by their identifiers.
func usesOf(uses map[string]int) map[fleet.EndpointKey]int {
	byKey := make(map[fleet.EndpointKey]int)
	for endpoint, n := range uses {
		byKey[fleet.KeyOf(endpoint)] = n
	}
	return byKey
}

func instances(members []fleet.Member) []string {
	names := []string{}
	for _, m := range members {
		names = append(names, m.Instance)
	}
	return names
}

var _ = Describe("Core", func() {
	var core *fleet.Core

	BeforeEach(func() {
		core = fleet.New(member("n2", "north"))
		core.SetState(fleet.Ready)
	})

	It("sends callers to instances that are ready and heard, and to no silent one", func() {
		core.Heard(start, report(member("n1", "north"), fleet.Ready, fleet.Activity{}))
		core.Heard(start, report(member("n3", "north"), fleet.Leaving, fleet.Activity{}))
		core.Registered(start, member("n4", "north"))
		Expect(core.Entries(start, "north", 64)).To(Equal([]string{"n1:1", "n2:1"}))
		later := start.Add(fleet.SilentAfter + time.Millisecond)
		Expect(core.Entries(later, "north", 64)).To(Equal([]string{"n2:1"}))
	})

	It("names the instances of other regions where a region has none", func() {
		core.Digested(start, fleet.Digest{Region: "south", Hash: 3, Members: []fleet.Status{{Member: member("s1", "south"), State: fleet.Ready}}}, fleet.Activity{})
		Expect(core.Entries(start, "south", 64)).To(Equal([]string{"s1:1"}))
		Expect(core.Entries(start, "east", 64)).To(Equal([]string{"n2:1", "s1:1"}))
	})

	It("passes over a delegate that does not answer, and takes its place", func() {
		core.Registered(start, member("n0", "north"))
		core.Registered(start, member("n1", "north"))
		Expect(instances(core.Delegates(start, "north"))).To(Equal([]string{"n0", "n1"}))
		Expect(core.IsDelegate(start)).To(BeFalse())
		core.Failed(start, "n0")
		Expect(instances(core.Delegates(start, "north"))).To(Equal([]string{"n1", "n2"}))
		Expect(core.IsDelegate(start)).To(BeTrue())
		Expect(core.IsDelegate(start.Add(fleet.SuspectFor))).To(BeFalse())
	})

	It("passes over one that goes on not answering for longer, so that later ones get their turn", func() {
		for _, name := range []string{"n0", "n1"} {
			core.Registered(start, member(name, "north"))
		}
		now := start
		core.Failed(now, "n0")
		now = now.Add(fleet.SuspectFor)
		Expect(instances(core.Delegates(now, "north"))).To(Equal([]string{"n0", "n1"}), "it is tried again")
		core.Failed(now, "n0")
		core.Failed(now, "n0") // another call of the same time
		Expect(instances(core.Delegates(now.Add(2*fleet.SuspectFor-1), "north"))).To(Equal([]string{"n1", "n2"}))
		now = now.Add(2 * fleet.SuspectFor)
		Expect(instances(core.Delegates(now, "north"))).To(Equal([]string{"n0", "n1"}))
		core.Answered("n0")
		core.Failed(now, "n0")
		Expect(instances(core.Delegates(now.Add(fleet.SuspectFor), "north"))).To(Equal([]string{"n0", "n1"}), "it answered meanwhile")
	})

	It("is known to others when its registration of this run is in force, or one answered it", func() {
		again := member("n2", "north")
		again.Incarnation = 2
		core = fleet.New(again)
		core.Registered(start, member("n1", "north"))
		core.Registered(start, member("n2", "north"))
		Expect(core.Acknowledged()).To(BeFalse(), "that was the run before")
		core.Registered(start, again)
		Expect(core.Acknowledged()).To(BeTrue())

		core = fleet.New(again)
		core.Registered(start, member("n1", "north"))
		core.Failed(start, "n1")
		Expect(core.Acknowledged()).To(BeFalse())
		core.Answered("n1")
		Expect(core.Acknowledged()).To(BeTrue())
	})

	It("is its own delegate when no other instance of the region answers", func() {
		core.Registered(start, member("n0", "north"))
		core.Failed(start, "n0")
		Expect(instances(core.Delegates(start, "north"))).To(Equal([]string{"n2"}))
	})

	It("takes nothing from an earlier run of an instance", func() {
		again := member("n1", "north")
		again.Incarnation = 2
		Expect(core.Heard(start, report(again, fleet.Ready, uses("e", 1)))).To(BeTrue())
		Expect(core.Heard(start, report(member("n1", "north"), fleet.Leaving, uses("e", 9)))).To(BeFalse())
		Expect(core.Others(start).Uses).To(Equal(usesOf(map[string]int{"e": 1})))
	})

	It("sums up its region as a delegate and does not count itself among the others", func() {
		core.Heard(start, report(member("n1", "north"), fleet.Ready, uses("e", 2)))
		core.Heard(start, report(member("n3", "north"), fleet.Ready, uses("e", 3)))
		digest := core.OwnDigest(start, uses("e", 4))
		Expect(digest.Activity.Uses).To(Equal([]fleet.Use{{Endpoint: fleet.KeyOf("e"), InFlight: 9}}))
		Expect(digest.Members).To(HaveLen(3))
		Expect(core.Others(start).Uses).To(Equal(usesOf(map[string]int{"e": 5})))
	})

	It("takes its own part off the digest of its delegate", func() {
		core.Registered(start, member("n0", "north"))
		core.Registered(start, member("n1", "north"))
		core.Digested(start, fleet.Digest{Region: "north", Hash: 1, Activity: uses("e", 7)}, uses("e", 4))
		Expect(core.Others(start).Uses).To(Equal(usesOf(map[string]int{"e": 3})))
	})

	It("counts uses for a short time and demand on quotas while an instance of the region is known", func() {
		both := uses("e", 2)
		both.Demand = demand("azul", 5).Demand
		members := []fleet.Status{{Member: member("s1", "south"), State: fleet.Ready}}
		south := fleet.Digest{Region: "south", Hash: 1, Members: members, Activity: both}
		core.Digested(start, south, fleet.Activity{})
		core.Demanded(start, south)
		later := core.Others(start.Add(5 * time.Second))
		Expect(later.Uses).To(BeEmpty())
		Expect(later.Abroad).To(Equal(map[string]float64{"azul": 5}))
		core.Registered(start, member("s1", "south"))
		muchLater := start.Add(time.Minute)
		core.Expire(muchLater)
		Expect(core.Others(muchLater).Abroad).To(Equal(map[string]float64{"azul": 5}), "cut off, and still registered")
		core.Unregistered("s1")
		core.Expire(muchLater)
		Expect(core.Others(muchLater).Abroad).To(BeEmpty())
	})

	It("tells the demand of its own zone apart", func() {
		other := member("n3", "north")
		other.Zone = "north-2"
		core.Heard(start, report(member("n1", "north"), fleet.Ready, demand("azul", 5)))
		core.Heard(start, report(other, fleet.Ready, demand("azul", 3)))
		others := core.Others(start)
		Expect(others.Region).To(Equal(map[string]float64{"azul": 8}))
		Expect(others.Zone).To(Equal(map[string]float64{"azul": 5}))
	})

	It("tells other regions the demand without zones", func() {
		other := member("n3", "north")
		other.Zone = "north-2"
		core.Heard(start, report(other, fleet.Ready, demand("azul", 3)))
		abroad := core.DigestAbroad(start, demand("azul", 5))
		Expect(abroad.Activity.Demand).To(Equal(demand("azul", 8).Demand))
	})

	It("is blind while a region with instances has told nothing", func() {
		Expect(core.Others(start).Blind).To(BeFalse())
		core.Registered(start, member("s1", "south"))
		Expect(core.Others(start).Blind).To(BeTrue())
		core.Demanded(start, fleet.Digest{Region: "south", Hash: 1})
		Expect(core.Others(start).Blind).To(BeFalse())
	})

	It("names the holders of pools by zone, and none while it hears nobody", func() {
		core.Registered(start, member("n1", "north"))
		Expect(core.Holders(start)).To(BeEmpty())
		core.Heard(start, report(member("n3", "north"), fleet.Ready, fleet.Activity{}))
		Expect(instances(core.Holders(start)["north-1"])).To(Equal([]string{"n1", "n2", "n3"}))
		core.Failed(start, "n1")
		Expect(instances(core.Holders(start)["north-1"])).To(Equal([]string{"n2", "n3"}))
		Expect(core.Holders(start.Add(fleet.SilentAfter + time.Second))).To(BeEmpty())
	})

	It("counts the part of its zone that it reaches, without those that leave", func() {
		for _, name := range []string{"n1", "n3", "n4"} {
			core.Heard(start, report(member(name, "north"), fleet.Ready, fleet.Activity{}))
		}
		Expect(core.HoldersPart(start)).To(Equal(1.0))
		core.Failed(start, "n1")
		Expect(core.HoldersPart(start)).To(Equal(0.75))
		core.Heard(start, report(member("n4", "north"), fleet.Leaving, fleet.Activity{}))
		Expect(core.HoldersPart(start)).To(BeNumerically("~", 2.0/3, 1e-9))
		Expect(core.HoldersPart(start.Add(fleet.SilentAfter + time.Second))).To(BeNumerically("~", 1.0/3, 1e-9))
	})

	It("counts its even part only while others reach one of its zone that it does not reach", func() {
		hear := func(now time.Time, names ...string) {
			var members []fleet.Status
			for _, name := range names {
				members = append(members, fleet.Status{Member: member(name, "north"), State: fleet.Ready})
			}
			core.Digested(now, fleet.Digest{Region: "north", Hash: 1, Members: members}, fleet.Activity{})
		}
		hear(start, "n1", "n3")
		core.Failed(start, "n1")
		Expect(core.HoldersPart(start)).To(BeNumerically("~", 2.0/3, 1e-9))
		soon := start.Add(time.Second)
		hear(soon, "n1", "n3")
		Expect(core.HoldersPart(soon)).To(BeNumerically("~", 2.0/3, 1e-9), "it may have died since")
		core.Failed(start.Add(fleet.SuspectFor), "n1")
		late := start.Add(3 * time.Second)
		hear(late, "n1", "n3")
		Expect(core.HoldersPart(late)).To(BeNumerically("~", 1.0/3, 1e-9))
		core.Answered("n1")
		Expect(core.HoldersPart(late.Add(2*fleet.SuspectFor))).To(BeNumerically("~", 1.0/3, 1e-9), "all are silent by now")
		hear(late.Add(2*fleet.SuspectFor), "n1", "n3")
		Expect(core.HoldersPart(late.Add(2 * fleet.SuspectFor))).To(Equal(1.0))
	})

	It("says that demand is stale when a member or a region has fallen silent", func() {
		core.Heard(start, report(member("n1", "north"), fleet.Ready, demand("azul", 5)))
		core.Registered(start, member("s1", "south"))
		hear := func(now time.Time, stale bool) {
			south := fleet.Digest{Region: "south", Hash: 1, Stale: stale}
			core.Digested(now, south, fleet.Activity{})
			core.Demanded(now, south)
		}
		hear(start, false)
		Expect(core.Others(start).Stale).To(BeFalse())
		later := start.Add(fleet.SilentAfter + time.Second)
		core.Heard(later, report(member("n1", "north"), fleet.Ready, demand("azul", 5)))
		Expect(core.Others(later).Stale).To(BeTrue(), "the other region is silent")
		hear(later, false)
		Expect(core.Others(later).Stale).To(BeFalse())
		hear(later, true)
		Expect(core.Others(later).Stale).To(BeTrue(), "a member of the other region is silent")
	})

	It("is its zone's holder where no other instance is known", func() {
		Expect(instances(core.Holders(start)["north-1"])).To(Equal([]string{"n2"}))
	})

	It("counts the demand of a member that has fallen silent", func() {
		core.Heard(start, report(member("n1", "north"), fleet.Ready, demand("azul", 5)))
		digest := core.DigestAbroad(start.Add(5*time.Second), fleet.Activity{})
		Expect(digest.Members).To(HaveLen(1))
		Expect(digest.Activity.Demand).To(Equal(demand("azul", 5).Demand))
	})

	It("leaves out members that the receiver knows, who keeps them", func() {
		south := fleet.Digest{Region: "south", Hash: 11, Members: []fleet.Status{{Member: member("s1", "south"), State: fleet.Ready}}}
		core.Digested(start, south, fleet.Activity{})
		for _, digest := range core.Digests(start, fleet.Activity{}, fleet.Report{Known: map[string]uint64{"south": 11}}) {
			if digest.Region == "south" {
				Expect(digest.Members).To(BeEmpty())
			}
		}
		core.Digested(start.Add(2*time.Second), fleet.Digest{Region: "south", Hash: 11}, fleet.Activity{})
		Expect(core.Entries(start.Add(4*time.Second), "south", 64)).To(Equal([]string{"s1:1"}))
	})

	It("asks for the members again when it got a digest without them that it does not know", func() {
		// Two delegates answered at once: each left out the members that the report named,
		// and the other one's digest, with more members, came in between.
		n1 := fleet.Status{Member: member("n1", "north"), State: fleet.Ready}
		n3 := fleet.Status{Member: member("n3", "north"), State: fleet.Ready}
		core.Digested(start, fleet.Digest{Region: "north", Hash: 11, Members: []fleet.Status{n1}}, fleet.Activity{})
		core.Digested(start, fleet.Digest{Region: "north", Hash: 13, Members: []fleet.Status{n1, n3}}, fleet.Activity{})
		core.Digested(start, fleet.Digest{Region: "north", Hash: 11}, fleet.Activity{})
		Expect(core.Known()).To(Equal(map[string]uint64{"north": 0}))
	})

	It("counts silence from an instance's last report, however many delegates tell of it", func() {
		delegate := fleet.New(member("n0", "north"))
		delegate.Heard(start, report(member("n1", "north"), fleet.Ready, fleet.Activity{}))
		far := fleet.New(member("s1", "south"))
		for now := start; now.Before(start.Add(2 * fleet.SilentAfter)); now = now.Add(250 * time.Millisecond) {
			far.Digested(now, delegate.OwnDigest(now, fleet.Activity{}), fleet.Activity{})
			takes := instances(far.Takes(now))
			if now.Sub(start) <= fleet.SilentAfter {
				Expect(takes).To(ContainElement("n1"))
			} else {
				Expect(takes).NotTo(ContainElement("n1"), "silent for %v", now.Sub(start))
			}
		}
	})

	It("tells a member of endpoints in its own region and in those that it names", func() {
		core.Registered(start, member("s1", "south"))
		core.Digested(start, fleet.Digest{Region: "south", Hash: 11, Activity: uses("e", 2)}, fleet.Activity{})
		told := func(regions ...string) map[fleet.EndpointKey]int {
			known := make(map[fleet.EndpointKey]int)
			for _, digest := range core.Digests(start, uses("own", 1), fleet.Report{Regions: regions}) {
				for _, use := range digest.Activity.Uses {
					known[use.Endpoint] = use.InFlight
				}
			}
			return known
		}
		Expect(told()).To(Equal(usesOf(map[string]int{"own": 1})))
		Expect(told("south")).To(Equal(usesOf(map[string]int{"own": 1, "e": 2})))
	})

	It("relays a digest to a delegate that lacks it or has it from long before", func() {
		core.Registered(start, member("s1", "south"))
		south := fleet.Digest{Region: "south", Hash: 11, Activity: uses("e", 2)}
		core.Digested(start, south, fleet.Activity{})
		core.Demanded(start, south)
		relayed := func(ages map[string]int64) []string {
			var regions []string
			for _, digest := range core.Relays(start, fleet.Activity{}, fleet.Exchange{Digest: fleet.Digest{Region: "east"}, AgeMillis: ages}) {
				regions = append(regions, digest.Region)
			}
			return regions
		}
		Expect(relayed(nil)).To(Equal([]string{"north", "south"}))
		Expect(relayed(map[string]int64{"south": 500})).To(Equal([]string{"north"}))
		Expect(relayed(map[string]int64{"south": 5000})).To(Equal([]string{"north", "south"}))
	})

	It("passes over a digest that is older than one it has", func() {
		core.Digested(start, fleet.Digest{Region: "south", Hash: 1, Activity: uses("e", 1)}, fleet.Activity{})
		core.Digested(start, fleet.Digest{Region: "south", Hash: 1, AgeMillis: 400, Activity: uses("e", 9)}, fleet.Activity{})
		Expect(core.Others(start).Uses).To(Equal(usesOf(map[string]int{"e": 1})))
	})

	It("forgets an instance that is neither registered nor heard", func() {
		core.Registered(start, member("n1", "north"))
		core.Unregistered("n1")
		core.Expire(start.Add(time.Second))
		Expect(core.Size()).To(Equal(2))
		core.Expire(start.Add(fleet.ForgottenAfter + time.Second))
		Expect(core.Size()).To(Equal(1))
	})
})
