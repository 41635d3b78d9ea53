package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// slotActivity returns the activity of an instance with demand of the workspaces.
func slotActivity(used float64, slots map[string]float64) Activity {
	sums := make(SlotSums)
	sums.Add("files", 0, "", 0, used, used/2)
	var a Activity
	for workspace, demand := range slots {
		a.WorkspaceDemand = append(a.WorkspaceDemand, WorkspaceDemand{Workspace: workspace, Rate: 1})
		sums.Add("files", 0, workspace, demand, 0, 0)
	}
	a.SlotDemand = sums.Encode(a.WorkspaceDemand)
	return a
}

// Guards against demand that is lost, doubled or given to another workspace on its way from
// reports over the digests of two regions to a member.
func TestSlotDemandAddsUpOverRegions(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_764_800_000_000)
	d := deployment{regions: 2, zonesPerRegion: 1, instancesPerZone: 3, endpoints: 1}
	delegate, member := delegateAndMember(now, d.reports(0, rand.New(rand.NewPCG(1, 1)), func(int, *Activity) {}))
	other := New(unevenDeployment.member(1, 0, 0))
	own := slotActivity(10, map[string]float64{"a": 4, "b": 8})
	delegate.ApplyReport(now, Report{Status: Status{Member: member.Self(), State: Ready}, Activity: own})
	delegateOwn := slotActivity(2, map[string]float64{"b": 2})
	digest := other.LocalDigestWithDemand(now, slotActivity(20, map[string]float64{"a": 16, "c": 1}))
	delegate.ApplyDigest(now, digest, Activity{})
	delegate.ApplyRegionDemand(now, digest)

	totals := delegate.Totals(now, "region0-zone0", delegateOwn.WorkspaceDemand)
	delegate.AddSlotTotals(now, &totals, delegateOwn)
	member.ApplyDigest(now, delegate.LocalDigest(now, delegateOwn), own)
	member.ApplySlotTotals(now, totals, own)
	sums, madeAt, known := member.PeerSlots(now)
	g.Expect(known).To(BeTrue())
	g.Expect(madeAt).To(Equal(now))
	use := sums[SlotKey{"files", 0}]
	g.Expect(use.Used).To(BeNumerically("~", 22, 0.01))
	g.Expect(use.Refused).To(BeNumerically("~", 11, 0.01))
	for workspace, demand := range map[string]float64{"a": 16, "b": 2, "c": 1} {
		g.Expect(use.Workspaces[workspace]).To(BeNumerically("~", demand, 1), workspace)
	}
	_, _, known = member.PeerSlots(now.Add(slotsLifetime + time.Millisecond))
	g.Expect(known).To(BeFalse(), "the totals are too old")

	for _, remote := range delegate.DigestsForMember(now, delegateOwn, Report{}) {
		g.Expect(remote.Activity.SlotDemand).To(BeEmpty(), "the totals contain it")
	}
	third := delegate.DigestsForDelegate(now, delegateOwn, Exchange{Digest: Digest{Region: "region2"}})
	g.Expect(third).To(HaveLen(2))
	relayed := make(SlotSums)
	relayed.decode(third[1].Activity.SlotDemand, third[1].Activity.WorkspaceDemand)
	g.Expect(relayed[SlotKey{"files", 0}].Workspaces["a"]).To(BeNumerically("~", 16, 1), "relayed to a third region")
}

// Guards against totals of an earlier build, which lack the field, and the other way round.
func TestSlotDemandIsOptional(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_764_800_000_000)
	v := New(Member{Instance: "one", Region: "north"})
	v.ApplySlotTotals(now, Totals{}, slotActivity(1, map[string]float64{"a": 1}))
	v.upsertPeer(now, Status{Member: Member{Instance: "another", Region: "north"}})
	sums, _, known := v.PeerSlots(now)
	g.Expect(!known || len(sums) == 0).To(BeTrue())
	var old struct {
		WorkspaceDemand []WorkspaceDemand `msgpack:"w,omitempty"`
	}
	g.Expect(msgpack.Unmarshal(encoded(slotActivity(1, map[string]float64{"a": 1})), &old)).To(Succeed())
	g.Expect(old.WorkspaceDemand).To(HaveLen(1))
}

// Guards against demand that the limit on rows or unknown workspaces drop, and against rows
// that cannot be read.
func TestEncodedSlotsKeepTheSum(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sums, want, names := make(SlotSums), 0.0, []WorkspaceDemand{}
		for i := range rapid.IntRange(0, 60).Draw(rt, "workspaces") {
			name := fmt.Sprint("w", i)
			demand := rapid.Float64Range(0.05, 500).Draw(rt, "demand")
			sums.Add("files", rapid.IntRange(0, 2).Draw(rt, "class"), name, demand, 1, 0)
			want += demand
			if rapid.Bool().Draw(rt, "named") {
				names = append(names, WorkspaceDemand{Workspace: name})
			}
		}
		rows, got := 0, make(SlotSums)
		got.decode(sums.Encode(names), names)
		sum := 0.0
		for _, use := range got {
			sum += use.Rest
			rows += len(use.Workspaces)
			for _, slots := range use.Workspaces {
				sum += slots
			}
		}
		if rows > maxListedWorkspaces || sum < want*0.95 || sum > want*1.05 {
			rt.Fatalf("%d rows hold %.2f of %.2f slots", rows, sum, want)
		}
		got.decode([]SlotDemand{{Upstream: "files", Rows: rapid.SliceOf(rapid.Byte()).Draw(rt, "rows")}}, names)
	})
}
