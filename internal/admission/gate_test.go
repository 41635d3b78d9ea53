package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lovagescale/internal/fleet"
)

// scenario is a demand on an upstream whose endpoints have capacity for 400 requests a second.
type scenario struct {
	name       string
	sources    []source
	retryAfter time.Duration
	restartAt  float64
	check      func(g Gomega, baseline, gated []tally)
}

const simSeconds, simWarmUp = 50, 10

// run returns the tallies and the slot time used.
func (sc scenario) run(gated bool) ([]tally, float64) {
	s := newSimulation(4, 30, gated)
	s.retryAfter = sc.retryAfter
	if sc.restartAt > 0 {
		s.restartAt = sc.restartAt
	}
	tallies := s.run(simSeconds, simWarmUp, sc.sources)
	return tallies, s.served
}

func hot(rate float64) source { return source{workspace: "hot", only: -1, demand: steady(rate)} }

// wave returns a demand that changes by half within 36 s.
func wave(mean, phase float64) func(float64) float64 {
	return func(second float64) float64 { return mean * (1 + 0.5*math.Sin(2*math.Pi*(second/36+phase))) }
}

// burst returns a demand that is high from second 20 to 30.
func burst(rate, peak float64) func(float64) float64 {
	return func(second float64) float64 {
		if second >= 20 && second < 30 {
			return peak
		}
		return rate
	}
}

// smallAreServedMore checks the scenarios of a hot workspace beside small ones.
func smallAreServedMore(g Gomega, baseline, gated []tally) {
	g.Expect(total(gated[:11]).fraction()).To(BeNumerically(">", total(baseline[:11]).fraction()+0.1))
	g.Expect(gated[11].fraction()).To(BeNumerically(">", total(gated).fraction()/4))
}

var scenarios = []scenario{
	{name: "a hot workspace at a full upstream", sources: append(small(11, 25), hot(400)), check: smallAreServedMore},
	{name: "callers that retry immediately", sources: append(small(11, 25), hot(400)), retryAfter: 20 * time.Millisecond, check: smallAreServedMore},
	{name: "a restart of all instances", sources: append(small(11, 25), hot(400)), restartAt: 25, check: smallAreServedMore},
	{
		name: "a wave between regions", sources: []source{
			{workspace: "a", only: 0, demand: wave(180, 0)}, {workspace: "b", only: 1, demand: wave(180, 0.33)}, {workspace: "c", only: 2, demand: wave(180, 0.67)}},
		check: func(g Gomega, _, gated []tally) {
			for _, t := range gated {
				g.Expect(t.fraction()).To(BeNumerically("~", total(gated).fraction(), 0.05))
			}
		},
	},
	{
		name: "a burst of the least urgent class", sources: []source{
			{workspace: "a", class: 0, only: -1, demand: steady(250)}, {workspace: "a", class: 1, only: -1, demand: burst(100, 500)}},
		check: func(g Gomega, baseline, gated []tally) {
			g.Expect(gated[0].fraction()).To(BeNumerically(">", baseline[0].fraction()+0.03))
			g.Expect(gated[0].fraction()).To(BeNumerically(">", gated[1].fraction()-0.05))
			g.Expect(gated[1].fraction()).To(BeNumerically(">", total(gated).fraction()/4))
		},
	},
	{
		name: "capacity for all", sources: append(small(11, 10), hot(70)),
		check: func(g Gomega, baseline, gated []tally) {
			g.Expect(gated).To(Equal(baseline), "nothing changes while slots are not scarce")
		},
	},
}

// Each scenario guards against a workspace or class that displaces the others where requests
// are served first come, first served, and against slots that shares leave idle.
func TestScarceSlotsAreShared(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			g := NewWithT(t)
			baseline, used := sc.run(false)
			gated, gatedUse := sc.run(true)
			t.Logf("first come: %.3f, last source %.3f; shared: %.3f, last source %.3f; use %.3f", total(baseline).fraction(), baseline[len(baseline)-1].fraction(),
				total(gated).fraction(), gated[len(gated)-1].fraction(), gatedUse/used)
			g.Expect(gatedUse / used).To(BeNumerically(">=", 0.97))
			sc.check(g, baseline, gated)
		})
	}
}

// Guards against limits that differ by the caller's distance: what callers of another region
// lose by them, no share of their workspace gives back.
func TestDifferentLimitsRefuseRegionsUnevenly(t *testing.T) {
	difference := func(farLimit float64) float64 {
		s := newSimulation(2, 30, true)
		tallies := s.run(simSeconds, simWarmUp, []source{
			{workspace: "near", only: 0, demand: steady(300)}, {workspace: "far", only: 1, demand: steady(300), limit: farLimit}})
		return tallies[0].fraction() - tallies[1].fraction()
	}
	g := NewWithT(t)
	g.Expect(difference(1.05)).To(BeNumerically(">", 0.1))
	g.Expect(difference(simLimit)).To(BeNumerically("~", 0, 0.05))
}

var gateStart = time.UnixMilli(1_764_800_000_000)

// scarceGate returns a gate whose upstream has n workspaces with one request per 100 ms each,
// and lacks capacity for half of the demand.
func scarceGate(n int) *Gate {
	gate := NewGate()
	for range 40 {
		for w := range n {
			gate.Admit(gateStart, simUpstream, fmt.Sprint("w", w), 0, 0)
			gate.RecordRefusal(simUpstream, fmt.Sprint("w", w), 0)
			gate.RecordUse(simUpstream, fmt.Sprint("w", w), 0, time.Duration(initialCost/2*float64(time.Second)))
		}
		gate.Tick(100 * time.Millisecond)
	}
	gate.Update(gateStart, gate.Use(), nil, Weights{Default: 1, Total: float64(n)})
	return gate
}

// Guards against a workspace that floods one instance until the next report.
func TestJumpIsLimitedBeforeItIsReported(t *testing.T) {
	g := NewWithT(t)
	gate := scarceGate(20)
	within := 0
	for i := range 1000 {
		if ok, reason := gate.Admit(gateStart.Add(time.Duration(i)*200*time.Microsecond), simUpstream, "w0", 0, 0); ok {
			within++
			g.Expect(reason).To(Equal(WithinShare))
		}
	}
	g.Expect(within).To(BeNumerically("<", 30))
	_, reason := gate.Admit(gateStart.Add(200*time.Millisecond), simUpstream, "w0", 0, 0)
	g.Expect(reason).To(Equal(DemandJumped))
	demand, share := gate.Share(simUpstream, "w1", 0)
	g.Expect(share).To(BeNumerically("<", demand))
}

// Guards against shares that outlive a partition, and against limits where no workspace is.
func TestOldSharesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	gate := scarceGate(20)
	ok, reason := gate.Admit(gateStart.Add(ShareLifetime), simUpstream, "w0", 0, 1)
	g.Expect(ok).To(BeFalse())
	g.Expect(reason).To(Equal(AboveShare))
	ok, reason = gate.Admit(gateStart.Add(ShareLifetime+time.Millisecond), simUpstream, "w0", 0, 1)
	g.Expect(ok).To(BeTrue())
	g.Expect(reason).To(Equal(SharesOutdated))
	ok, _ = gate.Admit(gateStart, simUpstream, "", 0, 1)
	g.Expect(ok).To(BeTrue(), "requests without a workspace have no share")
}

// Guards against shares of nothing, which would be undefined, while no endpoint runs requests.
func TestOutageHasNoShares(t *testing.T) {
	g := NewWithT(t)
	gate := NewGate()
	for range 100 {
		gate.Admit(gateStart, simUpstream, "a", 0, 0)
		gate.RecordRefusal(simUpstream, "a", 0)
	}
	gate.Tick(time.Second)
	gate.Update(gateStart, gate.Use(), nil, Weights{Default: 1, Total: 1})
	_, reason := gate.Admit(gateStart, simUpstream, "a", 0, 1)
	g.Expect(reason).To(Equal(NotScarce))
}

// Guards against a small workspace that loses its only request per second to rounding.
func TestSmallWorkspaceIsNotStarved(t *testing.T) {
	g := NewWithT(t)
	gate := scarceGate(20)
	others := fleet.SlotSums{}
	others.Add(simUpstream, 0, "w1", 5000, 100, 4900)
	gate.Update(gateStart, gate.Use(), others, Weights{ByWorkspace: map[string]float64{"w1": 1000}, Default: 1, Total: 1020})
	_, share := gate.Share(simUpstream, "tiny", 0)
	g.Expect(share).To(BeNumerically("<", initialCost), "less than one request per second")
	within := 0.0
	for second := range 60 {
		gate.Update(gateStart.Add(time.Duration(second)*time.Second), gate.Use(), others, Weights{ByWorkspace: map[string]float64{"w1": 1000}, Default: 1, Total: 1020})
		if ok, _ := gate.Admit(gateStart.Add(time.Duration(second)*time.Second), simUpstream, "tiny", 0, 0); ok {
			within++
		}
	}
	g.Expect(within * initialCost).To(BeNumerically(">", 0.9*60*share))
}

func BenchmarkAdmit(b *testing.B) {
	gate := scarceGate(400)
	names := make([]string, 400)
	for w := range names {
		names[w] = fmt.Sprint("w", w)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		gate.Admit(gateStart, simUpstream, names[i%400], 0, 0.3)
		i++
	}
}
