package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against answers that are counted twice or for the wrong endpoints on their way
// through the digests of two regions.
func TestCallerAnswersAddUpOverRegions(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_764_800_000_000)
	d := deployment{regions: 2, zonesPerRegion: 1, instancesPerZone: 3}
	there := AnswersKeyOf("files", "region1")
	local := Activity{UpstreamAnswers: []UpstreamAnswers{{Upstream: "files", Rate: 20, Busy: 6}}}
	remote := Activity{RemoteAnswers: []RemoteAnswers{NewRemoteAnswers(there, AnswerRates{Rate: 5, Busy: 2})}}

	delegate := New(d.member(0, 0, 0))
	delegate.ApplyReport(now, Report{Status: Status{Member: d.member(0, 0, 1), State: Ready}, Activity: remote})
	other := New(d.member(1, 0, 0))
	digest := other.LocalDigest(now, local)
	delegate.ApplyDigest(now, digest, Activity{})
	g.Expect(delegate.PeerActivity(now).CallerAnswers[there]).To(Equal(AnswerRates{Rate: 25, Busy: 8}))

	member := New(d.member(0, 0, 2))
	member.ApplyDigest(now, delegate.LocalDigest(now, remote), remote)
	member.ApplyDigest(now, digest, Activity{})
	g.Expect(member.PeerActivity(now).CallerAnswers[there]).To(Equal(AnswerRates{Rate: 25, Busy: 8}),
		"two of region 0 send there, one of them is this instance")
	g.Expect(member.PeerActivity(now.Add(digestLifetime+time.Second)).CallerAnswers).To(BeEmpty(), "digests are too old")
}

// Guards against a field that instances of an earlier build cannot skip, and against its size.
func TestRemoteAnswersAreOptionalAndSmall(t *testing.T) {
	g := NewWithT(t)
	with := Activity{RemoteAnswers: []RemoteAnswers{{Key: 0xfedcba98, CentiRate: 4000, BusyMillis: 16000}}}
	var old struct {
		UpstreamDemand []UpstreamDemand `msgpack:"d,omitempty"`
	}
	g.Expect(msgpack.Unmarshal(encoded(with), &old)).To(Succeed())
	g.Expect(size(with) - size(Activity{})).To(BeNumerically("<=", 16))
}
