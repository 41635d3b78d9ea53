package edge

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lovagescale/internal/fleet"
)

// newTestState returns the control state of an instance that knows the given other
// instances of its region.
func newTestState(now time.Time, self string, others ...string) *state {
	settings := Settings{Instance: self, Zone: "north-1", Region: "north", Link: self,
		Zones: map[string]string{"north-1": "north"}, Bounds: DefaultBounds()}
	s := New(settings, Ports{}, zerolog.Nop()).state
	for _, other := range others {
		s.fleet.ApplyRegistration(now, fleet.Member{Instance: other, Zone: "north-1", Region: "north", Link: other})
	}
	s.tick(now)
	return s
}

// Even while nothing failed, both delegates of each region followed the store, with twice
// the number of calls that the region needs.
func TestOneInstanceOfARegionFollowsTheStore(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	first, second, third := newTestState(now, "a", "b", "c"), newTestState(now, "b", "a", "c"), newTestState(now, "c", "a", "b")
	for _, s := range []*state{first, second, third} {
		for _, delegate := range []string{"a", "b"} {
			if delegate != s.fleet.Self().Instance {
				s.followerElection.recordDelegateReply(now, delegate, 300*time.Millisecond)
			}
		}
		s.publishFollowerElection(now)
	}
	g.Expect(first.edge.reliesOnDelegates(now)).To(BeFalse())
	g.Expect(second.edge.reliesOnDelegates(now)).To(BeTrue())
	g.Expect(third.edge.reliesOnDelegates(now)).To(BeTrue())
}

func TestTheSecondDelegateTakesOverAtOnce(t *testing.T) {
	now := time.Now()
	for name, fail := range map[string]func(s *state){
		"the first one does not reply": func(s *state) { s.recordPeerFailure(now, "a") },
		"the first one lost the store": func(s *state) { s.followerElection.recordDelegateReply(now, "a", maxStoreAge+time.Millisecond) },
		"the first one is leaving":     func(s *state) { s.fleet.ApplyReport(now, leavingReport("a")); s.followerElection.removeDelegate("a") },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newTestState(now, "b", "a", "c")
			s.followerElection.recordDelegateReply(now, "a", 0)
			s.publishFollowerElection(now)
			g.Expect(s.edge.reliesOnDelegates(now)).To(BeTrue())
			fail(s)
			s.publishFollowerElection(now)
			g.Expect(s.edge.reliesOnDelegates(now)).To(BeFalse())
		})
	}
}

func leavingReport(instance string) fleet.Report {
	member := fleet.Member{Instance: instance, Zone: "north-1", Region: "north", Link: instance}
	return fleet.Report{Status: fleet.Status{Member: member, State: fleet.Leaving}}
}

// When all instances started at once, at the beginning of a day or after a power failure,
// each read a snapshot of the store and then also followed the store until a delegate
// replied.
func TestDelegatesGetTimeToReplyAfterOwnRead(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	first, third := newTestState(now, "a", "b", "c"), newTestState(now, "c", "a", "b")
	for _, s := range []*state{first, third} {
		s.followerElection.recordOwnRead(now)
		s.publishFollowerElection(now)
	}
	g.Expect(first.edge.reliesOnDelegates(now)).To(BeFalse())
	g.Expect(third.edge.reliesOnDelegates(now)).To(BeTrue())
	g.Expect(third.edge.reliesOnDelegates(now.Add(delegateReplyLifetime))).To(BeFalse(), "no delegate replied")
	alone := newTestState(now, "a")
	alone.followerElection.recordOwnRead(now)
	alone.publishFollowerElection(now)
	g.Expect(alone.edge.reliesOnDelegates(now)).To(BeFalse(), "it is the first delegate itself")
}

func TestDelegateReplyExpires(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := newTestState(now, "c", "a", "b")
	s.followerElection.recordDelegateReply(now, "a", 0)
	s.publishFollowerElection(now)
	g.Expect(s.edge.reliesOnDelegates(now.Add(delegateReplyLifetime - time.Millisecond))).To(BeTrue())
	g.Expect(s.edge.reliesOnDelegates(now.Add(delegateReplyLifetime))).To(BeFalse())
}

func TestOneFreshDelegateReplySuffices(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := newTestState(now, "c", "a", "b")
	s.followerElection.recordDelegateReply(now, "b", 0)
	s.followerElection.recordDelegateReply(now, "a", time.Minute)
	s.publishFollowerElection(now)
	g.Expect(s.edge.reliesOnDelegates(now)).To(BeTrue())
}

func TestStoreAgeForPeersWhileRelyingOnDelegates(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := newTestState(now, "b", "a")
	s.edge.ownStoreAnswerAt.Store(now.Add(-time.Minute).UnixNano())
	s.followerElection.recordDelegateReply(now, "a", 300*time.Millisecond)
	s.recordStoreAnswer(now, now.Add(-300*time.Millisecond))
	s.publishFollowerElection(now)
	g.Expect(s.storeAgeForPeers(now)).To(Equal(300 * time.Millisecond))
	g.Expect(s.storeAgeForPeers(now.Add(time.Second))).To(Equal(1300 * time.Millisecond))

	s.recordPeerFailure(now, "a")
	g.Expect(s.storeAgeForPeers(now)).To(BeNumerically("~", time.Minute, time.Millisecond),
		"an instance that follows the store itself reports only its own calls")
}

// All instances of a large region start at once. They report at the shortest interval at
// first.
func TestNewInstanceReportsAtShortestInterval(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var others []string
	for n := range 40 {
		others = append(others, fmt.Sprint("b", n))
	}
	s := newTestState(now, "c", others...)
	g.Expect(s.newMessageRound(now).interval).To(Equal(reportInterval))
	g.Expect(s.newMessageRound(now).largeRegion).To(BeTrue())
	g.Expect(s.newMessageRound(now.Add(frequentReportTime)).interval).To(Equal(maxReportInterval))
}
