package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// unevenDeployment has the size of a fleet whose smallest region sends requests to both
// others.
var unevenDeployment = deployment{regions: 3, zonesPerRegion: 2, instancesPerZone: 10, endpoints: 528, workspaces: 73, upstreams: 3, busy: 15}

// delegateAndMember returns the first delegate of a region whose instances sent the reports,
// and the view of another instance that is no delegate.
func delegateAndMember(now time.Time, reports []Report) (delegate, member *View) {
	for _, own := range reports {
		v := New(own.Status.Member)
		v.SetState(Ready)
		for _, report := range reports {
			v.ApplyReport(now, report)
		}
		if v.IsFirstDelegate(now) {
			delegate = v
		} else if !v.IsDelegate(now) {
			member = v
		}
	}
	return delegate, member
}

// reports returns the reports of a region's instances, each of which gets requests of half of
// the workspaces. change changes their activities.
func (d deployment) reports(region int, random *rand.Rand, change func(region int, a *Activity)) []Report {
	var reports []Report
	for i := range d.zonesPerRegion * d.instancesPerZone {
		a := d.activity(random)
		a.WorkspaceDemand = nil
		for n := range d.workspaces {
			if random.IntN(2) == 0 {
				a.WorkspaceDemand = append(a.WorkspaceDemand, WorkspaceDemand{Workspace: fmt.Sprint("work", n), Rate: random.Float32()})
			}
		}
		change(region, &a)
		member := d.member(region, i%d.zonesPerRegion, i/d.zonesPerRegion)
		reports = append(reports, Report{Status: Status{Member: member, State: Ready}, Activity: a})
	}
	return reports
}

// traffic returns the bytes of two reports of an instance of region 0 and of the reply to one of
// them. A delegate of this build accepts packed reports.
func (d deployment) traffic(g Gomega, thisBuild bool, change func(region int, a *Activity)) int {
	now := time.UnixMilli(1_764_800_000_000)
	random := rand.New(rand.NewPCG(1, 1))
	reports := d.reports(0, random, change)
	delegate, member := delegateAndMember(now, reports)
	for region := 1; region < d.regions; region++ {
		other, _ := delegateAndMember(now, d.reports(region, random, change))
		digest := other.LocalDigestWithDemand(now, Activity{})
		delegate.ApplyDigest(now, digest, Activity{})
		delegate.ApplyRegionDemand(now, digest)
	}
	report := Report{Status: member.Status(), MemberHashes: delegate.MemberHashes(), UsedRegions: []string{"region1", "region2"}}
	report.MemberHashes["region0"] = delegate.LocalDigest(now, Activity{}).MembersHash
	for _, r := range reports {
		if r.Status == report.Status {
			report.Activity = r.Activity
		}
	}
	delegate.SetEndpoints(d.endpointKeys())
	totals := delegate.Totals(now, "region0-zone0", nil)
	delegate.AddSlotTotals(now, &totals, Activity{})
	plain := Reply{Digests: delegate.DigestsForMember(now, Activity{}, report), Totals: &totals, Packing: Packing{AcceptsReports: thisBuild}}
	reply, err := delegate.PackReply(plain, delegate.Packing())
	g.Expect(err).NotTo(HaveOccurred())
	member.RecordReported(delegate.Self(), reply)
	packed, err := member.PackReport(delegate.Self(), report)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(packed.Packed) > 0).To(Equal(thisBuild), "earlier builds get plain reports")
	unpacked, err := UnpackReport(packed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(encoded(unpacked.Activity)).To(Equal(encoded(report.Activity)))
	return 2*size(packed) + size(reply)
}

// Guards against fields that increase the traffic between instances by more than 5% in the
// region that uses all of them, and against reports that a delegate cannot read.
func TestControlBytesGrowLittle(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(2, 2))
	before := unevenDeployment.traffic(g, false, func(int, *Activity) {})
	packed := unevenDeployment.traffic(g, true, func(_ int, a *Activity) { a.RoundRates() })
	all := unevenDeployment.traffic(g, true, func(region int, a *Activity) {
		a.RoundRates()
		sums := make(SlotSums)
		for upstream := range 3 {
			name := fmt.Sprint("upstream", upstream)
			for _, w := range a.WorkspaceDemand {
				sums.Add(name, 0, w.Workspace, random.ExpFloat64()/5, random.Float64()/5, random.Float64()/20)
			}
			for other := 1; region == 0 && other <= 2; other++ {
				rate := 1 + 4*random.Float64()
				a.RemoteAnswers = append(a.RemoteAnswers, NewRemoteAnswers(AnswersKeyOf(name, fmt.Sprint("region", other)),
					AnswerRates{Rate: rate, Busy: rate * (0.3 + 0.1*random.Float64())}))
			}
		}
		a.SlotDemand = sums.Encode(a.WorkspaceDemand)
	})
	t.Logf("two reports and a reply have %d bytes before, %d packed, %d with all fields", before, packed, all)
	g.Expect(all).To(BeNumerically("<=", before*105/100))
}
