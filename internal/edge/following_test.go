package edge

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lovagescale/internal/fleet"
)

// fleetOf returns the control state of an instance that knows the named others of its
// region.
func fleetOf(now time.Time, self string, others ...string) *state {
	settings := Settings{Instance: self, Zone: "north-1", Region: "north", Link: self,
		Zones: map[string]string{"north-1": "north"}, Bounds: DefaultBounds()}
	s := New(settings, Ports{}, zerolog.Nop()).state
	for _, other := range others {
		s.fleet.ApplyRegistration(now, fleet.Member{Instance: other, Zone: "north-1", Region: "north", Link: other})
	}
	s.tick(now)
	return s
}

// Load pattern: calls to the store on a calm day. Both delegates of each region
// followed it, twice the calls that the region needs.
func TestOneInstanceOfARegionFollowsTheStore(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	first, second, third := fleetOf(now, "a", "b", "c"), fleetOf(now, "b", "a", "c"), fleetOf(now, "c", "a", "b")
	for _, s := range []*state{first, second, third} {
		for _, delegate := range []string{"a", "b"} {
			if delegate != s.fleet.Self().Instance {
				s.following.heard(now, delegate, 300*time.Millisecond)
			}
		}
		s.publishFollowing(now)
	}
	g.Expect(first.edge.rests(now)).To(BeFalse())
	g.Expect(second.edge.rests(now)).To(BeTrue())
	g.Expect(third.edge.rests(now)).To(BeTrue())
}

func TestTheSecondDelegateTakesOverAtOnce(t *testing.T) {
	now := time.Now()
	for name, lose := range map[string]func(s *state){
		"the first one does not answer":  func(s *state) { s.peerFailed(now, "a") },
		"the first one lost the store":   func(s *state) { s.following.heard(now, "a", storeFresh+time.Millisecond) },
		"the first one stops as planned": func(s *state) { s.fleet.ApplyReport(now, leaving("a")); s.following.failed("a") },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := fleetOf(now, "b", "a", "c")
			s.following.heard(now, "a", 0)
			s.publishFollowing(now)
			g.Expect(s.edge.rests(now)).To(BeTrue())
			lose(s)
			s.publishFollowing(now)
			g.Expect(s.edge.rests(now)).To(BeFalse())
		})
	}
}

func leaving(instance string) fleet.Report {
	member := fleet.Member{Instance: instance, Zone: "north-1", Region: "north", Link: instance}
	return fleet.Report{Status: fleet.Status{Member: member, State: fleet.Leaving}}
}

// Load pattern: all instances start at once, on the first second of a day or after a
// loss of power: each read the store whole and then followed it until a delegate
// answered.
func TestAnInstanceThatReadTheStoreGivesDelegatesTimeToAnswer(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	first, third := fleetOf(now, "a", "b", "c"), fleetOf(now, "c", "a", "b")
	for _, s := range []*state{first, third} {
		s.following.read(now)
		s.publishFollowing(now)
	}
	g.Expect(first.edge.rests(now)).To(BeFalse())
	g.Expect(third.edge.rests(now)).To(BeTrue())
	g.Expect(third.edge.rests(now.Add(delegateFresh))).To(BeFalse(), "none answered")
	alone := fleetOf(now, "a")
	alone.following.read(now)
	alone.publishFollowing(now)
	g.Expect(alone.edge.rests(now)).To(BeFalse(), "others may come")
}

func TestNobodyRestsOnOldNews(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := fleetOf(now, "c", "a", "b")
	s.following.heard(now, "a", 0)
	s.publishFollowing(now)
	g.Expect(s.edge.rests(now.Add(delegateFresh - time.Millisecond))).To(BeTrue())
	g.Expect(s.edge.rests(now.Add(delegateFresh))).To(BeFalse())
}

func TestOneDelegateWithFreshNewsIsEnough(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := fleetOf(now, "c", "a", "b")
	s.following.heard(now, "b", 0)
	s.following.heard(now, "a", time.Minute)
	s.publishFollowing(now)
	g.Expect(s.edge.rests(now)).To(BeTrue())
}

func TestARestingDelegateTellsTheAgeOfWhatItWasTold(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := fleetOf(now, "b", "a")
	s.edge.storeHeard.Store(now.Add(-time.Minute).UnixNano())
	s.following.heard(now, "a", 300*time.Millisecond)
	s.storeSeen(now, now.Add(-300*time.Millisecond))
	s.publishFollowing(now)
	g.Expect(s.toldAge(now)).To(Equal(300 * time.Millisecond))
	g.Expect(s.toldAge(now.Add(time.Second))).To(Equal(1300 * time.Millisecond))

	s.peerFailed(now, "a")
	g.Expect(s.toldAge(now)).To(BeNumerically("~", time.Minute, time.Millisecond),
		"one that does not rest tells of its own calls only")
}

// Load pattern: all instances of a large region start at once.
func TestAnInstanceThatBeginsReportsOften(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var others []string
	for n := range 40 {
		others = append(others, fmt.Sprint("b", n))
	}
	s := fleetOf(now, "c", others...)
	g.Expect(s.turn(now).interval).To(Equal(reportInterval))
	g.Expect(s.turn(now).large).To(BeTrue())
	g.Expect(s.turn(now.Add(startTime)).interval).To(Equal(maxReportInterval))
}
