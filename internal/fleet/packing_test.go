package fleet

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/mirror"
	"lovagescale/internal/store"
)

// deployment describes a fleet for the sizes of its messages.
type deployment struct {
	regions, zonesPerRegion, instancesPerZone, endpoints, workspaces, upstreams int
	// busy is the number of endpoints at which an instance has requests in flight.
	busy int
}

func (d deployment) member(region, zone, n int) Member {
	name := fmt.Sprintf("front-region%d-zone%d-%d", region, zone, n)
	return Member{Instance: name, Incarnation: 1764800000000 + int64(n), Zone: fmt.Sprintf("region%d-zone%d", region, zone),
		Region: fmt.Sprintf("region%d", region), Callers: fmt.Sprintf("10.%d.%d.%d:8668", region, zone, n), Link: fmt.Sprintf("10.%d.%d.%d:8667", region, zone, n)}
}

func (d deployment) activity(random *rand.Rand) Activity {
	var a Activity
	for range d.busy {
		a.EndpointLoads = append(a.EndpointLoads, EndpointLoad{Endpoint: KeyOf(fmt.Sprint("i-", random.IntN(d.endpoints))), InFlight: 1})
	}
	for n := range d.upstreams {
		a.UpstreamDemand = append(a.UpstreamDemand, UpstreamDemand{Upstream: fmt.Sprint("upstream", n), Rate: random.Float32()})
		a.UpstreamAnswers = append(a.UpstreamAnswers, UpstreamAnswers{Upstream: fmt.Sprint("upstream", n), Rate: 1, Busy: 1})
	}
	for n := range d.workspaces {
		if random.IntN(10) == 0 {
			a.WorkspaceDemand = append(a.WorkspaceDemand, WorkspaceDemand{Workspace: fmt.Sprint("work", n), Rate: random.Float32()})
		}
	}
	return a
}

// delegateView returns the view of the first delegate of region 0 with reports of its whole
// region and digests of all others.
func (d deployment) delegateView(now time.Time) (*View, Report) {
	random := rand.New(rand.NewPCG(1, 1))
	v := New(d.member(0, 0, 0))
	var last Report
	for zone := range d.zonesPerRegion {
		for n := range d.instancesPerZone {
			if zone == 0 && n == 0 {
				continue
			}
			last = Report{Status: Status{Member: d.member(0, zone, n), State: Ready}, Activity: d.activity(random)}
			v.ApplyReport(now, last)
		}
	}
	for region := 1; region < d.regions; region++ {
		other := New(d.member(region, 0, 0))
		for zone := range d.zonesPerRegion {
			for n := 1; n < d.instancesPerZone; n++ {
				other.ApplyReport(now, Report{Status: Status{Member: d.member(region, zone, n), State: Ready}, Activity: d.activity(random)})
			}
		}
		digest := other.LocalDigestWithDemand(now, d.activity(random))
		v.ApplyDigest(now, digest, Activity{})
		v.ApplyRegionDemand(now, digest)
	}
	last.MemberHashes = v.MemberHashes()
	last.MemberHashes[v.self.Member.Region] = v.LocalDigest(now, Activity{}).MembersHash
	last.UsedRegions = []string{"region1", "region2"}
	return v, last
}

func encoded(value any) []byte {
	data, err := msgpack.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func size(value any) int { return len(encoded(value)) }

func (d deployment) endpointKeys() []EndpointKey {
	var keys []EndpointKey
	for n := range d.endpoints {
		keys = append(keys, KeyOf(fmt.Sprint("i-", n)))
	}
	return keys
}

// largeDeployment has 198 instances.
var largeDeployment = deployment{regions: 3, zonesPerRegion: 3, instancesPerZone: 22, endpoints: 434, workspaces: 140, upstreams: 2, busy: 12}

// reply returns what the delegate of the deployment replies to a report, and its view.
func (d deployment) reply(now time.Time) (Reply, *View) {
	v, report := d.delegateView(now)
	v.SetEndpoints(d.endpointKeys())
	totals := v.Totals(now, "region0-zone0", nil)
	return Reply{Digests: v.DigestsForMember(now, Activity{}, report), Totals: &totals}, v
}

// The reply to each report is most of what instances send each other. Plain, it grows with
// the endpoints by 7 bytes a region, and 64 members get one a second.
func TestPackedRepliesAreSmall(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_764_800_000_000)
	plain, v := largeDeployment.reply(now)
	packed, err := v.PackReply(plain, v.Packing())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(size(packed)).To(BeNumerically("<", size(plain)/4))

	receiver := New(largeDeployment.member(0, 1, 1))
	receiver.SetEndpoints(largeDeployment.endpointKeys())
	unpacked, err := receiver.UnpackReply(packed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(encoded(unpacked)).To(Equal(encoded(plain)))
}

func TestPackedRepliesSurviveChangesOfTheEndpoints(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_764_800_000_000)
	plain, v := largeDeployment.reply(now)
	receiver := New(largeDeployment.member(0, 1, 1))
	receiver.SetEndpoints(largeDeployment.endpointKeys()[:100])
	unknown, err := v.PackReply(plain, receiver.Packing())
	g.Expect(err).NotTo(HaveOccurred())
	unpacked, err := receiver.UnpackReply(unknown)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(encoded(unpacked)).To(Equal(encoded(plain)), "a sender that does not know the receiver's endpoints sends rows")

	receiver.SetEndpoints(largeDeployment.endpointKeys())
	packed, err := v.PackReply(plain, receiver.Packing())
	g.Expect(err).NotTo(HaveOccurred())
	receiver.SetEndpoints(largeDeployment.endpointKeys()[1:])
	unpacked, err = receiver.UnpackReply(packed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(encoded(unpacked)).To(Equal(encoded(plain)), "the list changed after the report")

	var unpackErr *UnpackError
	_, err = New(largeDeployment.member(0, 1, 2)).UnpackReply(packed)
	g.Expect(err).To(BeAssignableToTypeOf(unpackErr), "a list that was never known")
	packed.Packed = packed.Packed[:len(packed.Packed)/2]
	_, err = receiver.UnpackReply(packed)
	g.Expect(err).To(BeAssignableToTypeOf(unpackErr), "cut short")
}

// An exchange between delegates of two regions held all members each time.
func TestExchangesLeaveOutMembersThatTheReceiverHas(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_764_800_000_000)
	_, sender := largeDeployment.reply(now)
	receiver := New(largeDeployment.member(1, 0, 0))
	receiver.SetEndpoints(largeDeployment.endpointKeys())
	sender.ApplyRegistration(now, receiver.Self())
	plain := Exchange{Digest: sender.LocalDigestWithDemand(now, Activity{})}
	exchange := func() int {
		packed, err := sender.PackExchange(receiver.Self(), plain)
		g.Expect(err).NotTo(HaveOccurred())
		got, err := receiver.UnpackExchange(packed)
		g.Expect(err).NotTo(HaveOccurred())
		receiver.ApplyDigest(now, got.Digest, Activity{})
		g.Expect(receiver.RegionSize("region0")).To(Equal(66))
		g.Expect(got.Digest.Activity).To(Equal(plain.Digest.Activity))
		sender.RecordExchanged(receiver.Self(), plain.Digest.MembersHash, Reply{Packing: receiver.Packing()})
		return size(packed)
	}
	first := exchange()
	second := exchange()
	g.Expect(first).To(Equal(size(plain)), "nothing is known of the receiver yet")
	g.Expect(second).To(BeNumerically("<", first/4))

	restarted := receiver.Self()
	restarted.Incarnation++
	sender.ApplyRegistration(now, restarted)
	again, err := sender.PackExchange(restarted, plain)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(size(again)).To(Equal(first), "a later run knows nothing")
}

func TestReplyWithoutEndpointsIsPacked(t *testing.T) {
	g := NewWithT(t)
	v := New(largeDeployment.member(0, 0, 0))
	for _, hash := range []uint64{0, 7} {
		packed, err := v.PackReply(Reply{Revision: 3}, Packing{Accepted: true, EndpointsHash: hash})
		g.Expect(err).NotTo(HaveOccurred())
		unpacked, err := v.UnpackReply(packed)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(unpacked).To(Equal(Reply{Revision: 3}))
	}
}

func BenchmarkPack(b *testing.B) {
	plain, v := largeDeployment.reply(time.UnixMilli(1_764_800_000_000))
	for b.Loop() {
		if _, err := v.PackReply(plain, v.Packing()); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncodePlain(b *testing.B) {
	plain, _ := largeDeployment.reply(time.UnixMilli(1_764_800_000_000))
	for b.Loop() {
		size(plain)
	}
}

func BenchmarkDigestsForMember(b *testing.B) {
	now := time.UnixMilli(1_764_800_000_000)
	v, report := largeDeployment.delegateView(now)
	for b.Loop() {
		v.DigestsForMember(now, Activity{}, report)
	}
}

// An old build neither asks for a packed delta nor understands one.
func TestPulledConfigurationsAreSmall(t *testing.T) {
	g := NewWithT(t)
	var configuration bytes.Buffer
	for n := range 140 {
		fmt.Fprintf(&configuration, `{"entry-kind":"tenants","metadata":{"name":"work%d"},"spec":{"keys":["key-%x"],"rate-per-s":%d}},`, n, KeyOf(fmt.Sprint(n)), n)
	}
	delta := mirror.Delta{Era: 1, Revision: 9, Entries: []store.Entry{{Key: "configuration", Value: configuration.Bytes(), Revision: 8}}, Removed: map[string]uint64{"gone": 7}}
	plain, err := PackDelta(delta, Pull{})
	g.Expect(err).NotTo(HaveOccurred())
	var old mirror.Delta
	g.Expect(msgpack.Unmarshal(encoded(plain), &old)).To(Succeed())
	g.Expect(old).To(Equal(delta), "as an old build decodes it")
	var fromOld PullReply
	g.Expect(msgpack.Unmarshal(encoded(delta), &fromOld)).To(Succeed())
	g.Expect(fromOld.Unpack()).To(Equal(delta), "as an old build sends it")

	packed, err := PackDelta(delta, Pull{AcceptsPacked: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(size(packed)).To(BeNumerically("<", size(plain)/4))
	g.Expect(packed.Unpack()).To(Equal(delta))
	packed.Packed[len(packed.Packed)/2] ^= 0xff
	_, err = packed.Unpack()
	var unpackErr *UnpackError
	g.Expect(err).To(BeAssignableToTypeOf(unpackErr))
}

// TestSizesByLaw logs the sizes of messages by the size of the fleet (go test -v). Packed
// ones are under a third at every size.
func TestSizesByLaw(t *testing.T) {
	now := time.UnixMilli(1_764_800_000_000)
	for _, d := range []deployment{
		{regions: 3, zonesPerRegion: 2, instancesPerZone: 5, endpoints: 70, workspaces: 30, upstreams: 2, busy: 8},
		{regions: 3, zonesPerRegion: 3, instancesPerZone: 11, endpoints: 360, workspaces: 80, upstreams: 2, busy: 12},
		{regions: 3, zonesPerRegion: 3, instancesPerZone: 33, endpoints: 1100, workspaces: 200, upstreams: 2, busy: 12},
		{regions: 48, zonesPerRegion: 3, instancesPerZone: 16, endpoints: 12000, workspaces: 100, upstreams: 20, busy: 12},
	} {
		reply, v := d.reply(now)
		packed, err := v.PackReply(reply, v.Packing())
		if err != nil {
			t.Fatal(err)
		}
		exchange := Exchange{Digest: v.LocalDigestWithDemand(now, Activity{})}
		to := d.member(1, 0, 0)
		v.RecordExchanged(to, exchange.Digest.MembersHash, Reply{Packing: v.Packing()})
		packedExchange, err := v.PackExchange(to, exchange)
		if err != nil {
			t.Fatal(err)
		}
		if size(packed) > size(reply)/3 || size(packedExchange) > size(exchange)/3 {
			t.Errorf("packed reply has %d of %d bytes, exchange %d of %d", size(packed), size(reply), size(packedExchange), size(exchange))
		}
		n := d.regions * d.zonesPerRegion * d.instancesPerZone
		t.Logf("%d instances, %d regions, %d endpoints, %d workspaces: reply %d -> %d bytes, exchange %d -> %d",
			n, d.regions, d.endpoints, d.workspaces, size(reply), size(packed), size(exchange), size(packedExchange))
	}
}
