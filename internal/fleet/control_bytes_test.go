package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// unevenDeployment has the size of a fleet whose smallest region sends requests to both
// others.
var unevenDeployment = deployment{regions: 3, zonesPerRegion: 2, instancesPerZone: 10, endpoints: 528, workspaces: 73, upstreams: 3, busy: 15}

// traffic is the size of the messages of one instance of region 0 in a round: two reports and
// the reply to one of them.
type traffic struct{ report, reply int }

func (t traffic) total() int { return 2*t.report + t.reply }

// traffic returns the traffic with activities changed by change. Reports are packed if packed
// is set.
func (d deployment) traffic(packed bool, change func(region int, random *rand.Rand, a *Activity)) traffic {
	now := time.UnixMilli(1_764_800_000_000)
	random, extra := rand.New(rand.NewPCG(1, 1)), rand.New(rand.NewPCG(2, 2))
	var delegate *View
	var last Report
	for region := range d.regions {
		view := New(d.member(region, 0, 0))
		view.SetState(Ready)
		var reports []Report
		for zone := range d.zonesPerRegion {
			for n := range d.instancesPerZone {
				a := d.denseActivity(random)
				change(region, extra, &a)
				if packed {
					a.RoundRates()
				}
				reports = append(reports, Report{Status: Status{Member: d.member(region, zone, n), State: Ready}, Activity: a})
				view.ApplyReport(now, reports[len(reports)-1])
			}
		}
		delegates := view.Delegates(now, view.self.Member.Region)
		chosen := New(delegates[0])
		chosen.SetState(Ready)
		for _, report := range reports {
			chosen.ApplyReport(now, report)
		}
		if region == 0 {
			delegate, last = chosen, reports[len(reports)-1]
			continue
		}
		digest := chosen.LocalDigestWithDemand(now, Activity{})
		delegate.ApplyDigest(now, digest, Activity{})
		delegate.ApplyRegionDemand(now, digest)
	}
	last.MemberHashes = delegate.MemberHashes()
	last.MemberHashes["region0"] = delegate.LocalDigest(now, Activity{}).MembersHash
	last.UsedRegions = []string{"region1", "region2"}
	delegate.SetEndpoints(d.endpointKeys())
	totals := delegate.Totals(now, "region0-zone0", nil)
	delegate.AddSlotTotals(now, &totals, Activity{})
	packing := Packing{AcceptsReports: packed}
	reply, err := delegate.PackReply(Reply{Digests: delegate.DigestsForMember(now, Activity{}, last), Totals: &totals, Packing: packing}, delegate.Packing())
	if err != nil {
		panic(err)
	}
	member := New(last.Status.Member)
	member.ApplyReport(now, Report{Status: delegate.self})
	member.RecordReported(delegate.Self(), Reply{Packing: packing})
	if last, err = member.PackReport(delegate.Self(), last); err != nil {
		panic(err)
	}
	return traffic{size(last), size(reply)}
}

// denseActivity returns the activity of an instance that gets requests of half of the
// workspaces.
func (d deployment) denseActivity(random *rand.Rand) Activity {
	a := d.activity(random)
	a.WorkspaceDemand = nil
	for n := range d.workspaces {
		if random.IntN(2) == 0 {
			a.WorkspaceDemand = append(a.WorkspaceDemand, WorkspaceDemand{Workspace: fmt.Sprint("work", n), Rate: random.Float32()})
		}
	}
	return a
}

// sendToOtherRegions lets region 0 send requests to the others.
func sendToOtherRegions(region int, random *rand.Rand, a *Activity) {
	for upstream := 0; region == 0 && upstream < 3; upstream++ {
		for other := 1; other <= 2; other++ {
			rate := 1 + 4*random.Float64()
			a.RemoteAnswers = append(a.RemoteAnswers, NewRemoteAnswers(AnswersKeyOf(fmt.Sprint("upstream", upstream), fmt.Sprint("region", other)),
				AnswerRates{Rate: rate, Busy: rate * (0.3 + 0.1*random.Float64())}))
		}
	}
}

// useSlots adds demand on slots of three upstreams.
func useSlots(_ int, random *rand.Rand, a *Activity) {
	sums := make(SlotSums)
	for upstream := range 3 {
		for _, w := range a.WorkspaceDemand {
			sums.Add(fmt.Sprint("upstream", upstream), 0, w.Workspace, random.ExpFloat64()/5, random.Float64()/5, random.Float64()/20)
		}
	}
	a.SlotDemand = sums.Encode(a.WorkspaceDemand)
}

// Guards against fields that increase the traffic between instances by more than 5% in the
// region that uses all of them.
func TestControlBytesGrowLittle(t *testing.T) {
	before := unevenDeployment.traffic(false, func(int, *rand.Rand, *Activity) {})
	packed := unevenDeployment.traffic(true, func(int, *rand.Rand, *Activity) {})
	remote := unevenDeployment.traffic(true, sendToOtherRegions)
	all := unevenDeployment.traffic(true, func(region int, random *rand.Rand, a *Activity) {
		sendToOtherRegions(region, random, a)
		useSlots(region, random, a)
	})
	t.Logf("before %+v, packed %+v, with answers of other regions %+v, with slots too %+v", before, packed, remote, all)
	if all.total() > before.total()*105/100 {
		t.Errorf("a round has %d bytes, before %d", all.total(), before.total())
	}
}
