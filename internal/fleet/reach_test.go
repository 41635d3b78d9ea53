package fleet_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/fleet"
	"lovagescale/internal/steering"
)

// Members that reach no endpoint, and the instances that share an endpoint's limit.
var _ = Describe("View of members that reach no endpoint", func() {
	var view *fleet.View

	cutOff := func(m fleet.Member) fleet.Report {
		return fleet.Report{Status: fleet.Status{Member: m, State: fleet.Ready, NoEndpoint: true}}
	}
	ready := func(m fleet.Member) fleet.Report { return report(m, fleet.Ready, fleet.Activity{}) }
	inZone := func(m fleet.Member, zone string) fleet.Member {
		m.Zone = zone
		return m
	}

	BeforeEach(func() {
		view = fleet.New(member("n2", "north"))
		view.SetState(fleet.Ready)
	})

	It("leaves them out of look-ups while others of the region remain", func() {
		view.ApplyReport(start, cutOff(member("n1", "north")))
		Expect(view.CallerAddresses(start, "north", 64)).To(Equal([]string{"n2:1"}))
		view.SetNoEndpoint(true)
		Expect(view.CallerAddresses(start, "north", 64)).To(Equal([]string{"n1:1", "n2:1"}))
		view.ApplyReport(start, ready(member("n1", "north")))
		Expect(view.CallerAddresses(start, "north", 64)).To(Equal([]string{"n1:1"}))
	})

	It("learns of them from digests of other regions, and when they reach endpoints again", func() {
		delegate := fleet.New(member("s1", "south"))
		delegate.SetState(fleet.Ready)
		for _, unreachable := range []bool{false, true, false} {
			delegate.SetNoEndpoint(unreachable)
			digest := delegate.LocalDigest(start, fleet.Activity{})
			if digest.MembersHash == view.MemberHashes()["south"] {
				digest.Members = nil // as in a reply to this view
			}
			view.ApplyDigest(start, digest, fleet.Activity{})
			want := []fleet.Member{member("s1", "south")}
			if unreachable {
				want = nil
			}
			Expect(view.HandoverTargets(start)[2]).To(Equal(want))
		}
	})

	It("hands over to members that accept callers and reach endpoints, by distance", func() {
		view.ApplyReport(start, ready(member("n1", "north")))
		view.ApplyReport(start, ready(inZone(member("n3", "north"), "north-2")))
		view.ApplyReport(start, ready(member("s1", "south")))
		view.ApplyReport(start, cutOff(member("n4", "north")))
		view.ApplyReport(start, report(member("n5", "north"), fleet.Leaving, fleet.Activity{}))
		view.ApplyRegistration(start, member("n6", "north"))
		targets := view.HandoverTargets(start)
		Expect(namesOf(targets[0])).To(Equal([]string{"n1"}))
		Expect(namesOf(targets[1])).To(Equal([]string{"n3"}))
		Expect(namesOf(targets[2])).To(Equal([]string{"s1"}))

		view.RecordFailure(start, "n1")
		Expect(view.HandoverTargets(start)[0]).To(BeEmpty(), "it did not reply")
		Expect(view.HandoverTargets(start.Add(fleet.SilentAfter + time.Millisecond))[1]).To(BeEmpty(), "it is silent")
	})

	It("shares limits among members that reach endpoints, and keeps the shares of silent ones unused", func() {
		view.ApplyReport(start, ready(member("n1", "north")))
		view.ApplyReport(start, cutOff(member("n3", "north")))
		view.ApplyReport(start, ready(member("s1", "south")))
		senders, shares := view.LimitSharing(start).Senders("north", "e", 9)
		Expect(namesOf(senders)).To(ConsistOf("n1", "n2"))
		Expect(shares).To(Equal(3))
		senders, _ = view.LimitSharing(start.Add(fleet.SilentAfter+time.Millisecond)).Senders("north", "e", 9)
		Expect(namesOf(senders)).To(ConsistOf("n1", "n2"), "reports may be lost")
		senders, shares = view.LimitSharing(start.Add(6*time.Second+time.Millisecond)).Senders("north", "e", 9)
		Expect(namesOf(senders)).To(Equal([]string{"n2"}))
		Expect(shares).To(Equal(3))
		view.ApplyReport(start, ready(member("n4", "north")))
		senders, _ = view.LimitSharing(start.Add(time.Minute)).Senders("north", "e", 9)
		Expect(namesOf(senders)).To(ConsistOf("n1", "n2", "n4"), "this instance hears only itself")
		view.ApplyReport(start.Add(time.Minute), report(member("n4", "north"), fleet.Leaving, fleet.Activity{}))
		senders, _ = view.LimitSharing(start).Senders("north", "e", 1)
		Expect(senders).To(HaveLen(1))
		senders, _ = view.LimitSharing(start).Senders("east", "e", 9)
		Expect(namesOf(senders)).To(ConsistOf("n1", "n2", "s1"), "no instance is of that region")
	})

	It("shares a limit fully among the members that lookups name, if these are few", func() {
		capable := func(name string, capacity steering.Capacity) fleet.Report {
			r := ready(member(name, "north"))
			r.Status.Capacity = &capacity
			return r
		}
		view.SetCapacity(steering.Capacity{LinkMbps: 10, Cores: 0.2})
		for i := range 9 {
			view.ApplyReport(start, capable(fmt.Sprint("small", i), steering.Capacity{LinkMbps: 10, Cores: 0.2}))
		}
		large := []string{"large1", "large2", "large3"}
		for _, name := range large {
			view.ApplyReport(start, capable(name, steering.Capacity{LinkMbps: 200, Cores: 0.8}))
		}
		senders, shares := view.LimitSharing(start).Senders("north", "e", 8)
		Expect(namesOf(senders)).To(ConsistOf(large))
		Expect(shares).To(Equal(3))
	})

	It("prefers the same members for a key on every instance, and replaces only one that is lost", func() {
		var members []fleet.Member
		for i := range 20 {
			members = append(members, member(fmt.Sprint("n", i), "north"))
		}
		before := fleet.Preferred(members, "e", 5)
		reversed := make([]fleet.Member, len(members))
		for i, m := range members {
			reversed[len(members)-1-i] = m
		}
		Expect(fleet.Preferred(reversed, "e", 5)).To(Equal(before))
		var rest []fleet.Member
		for _, m := range members {
			if m != before[1] {
				rest = append(rest, m)
			}
		}
		after := fleet.Preferred(rest, "e", 5)
		Expect(after[:4]).To(Equal([]fleet.Member{before[0], before[2], before[3], before[4]}))
	})
})
