package joint

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

// fuzzSteps are the steps from which the fuzz tests choose.
var fuzzSteps = map[string]func(*simulation){
	"send":    func(sim *simulation) { sim.sendAttempt(sim.randomNode()) },
	"burst":   func(sim *simulation) { sim.sendBurst(sim.randomNode()) },
	"advance": func(sim *simulation) { sim.advance(time.Duration(1+sim.draw(20)) * tickInterval) },
	"settle":  func(sim *simulation) { sim.advance(10 * time.Second) },
	"kill": func(sim *simulation) {
		if n := sim.randomNode(); n.actionCore != nil && sim.draw(3) == 0 {
			sim.kill(n)
		}
	},
	"start": func(sim *simulation) {
		if n := sim.randomNode(); n.actionCore == nil {
			sim.startProcess(n)
		}
	},
	"pause": func(sim *simulation) {
		if n := sim.randomNode(); n.isRunning() && sim.draw(3) == 0 {
			n.paused = true
		}
	},
	"resume": func(sim *simulation) { sim.resume(sim.randomNode()) },
	"nap":    func(sim *simulation) { sim.pauseBriefly(sim.randomNode()) },
	"cut":    func(sim *simulation) { sim.partitionedZones[sim.randomNode().zone] = sim.draw(4) == 0 },
	"store":  func(sim *simulation) { sim.storeDown = sim.draw(4) == 0 },
}

// stepNames lists the steps in a fixed order, so that findViolation is deterministic for
// a seed. Steps that occur twice are chosen twice as often.
var stepNames = []string{"send", "burst", "advance", "settle", "kill", "start", "pause", "resume", "nap", "cut", "store", "send", "burst", "advance"}

func (sim *simulation) randomNode() *node { return sim.nodes[sim.draw(len(sim.nodes))] }

// sendBurst sends a node more requests than the endpoints of its zone have slots.
func (sim *simulation) sendBurst(n *node) {
	for range 3 * slotsPerEndpoint {
		sim.sendAttempt(n)
	}
}

// resume resumes a paused node. Requests arrive before the next tick of its control
// loop.
func (sim *simulation) resume(n *node) {
	if n.actionCore == nil || !n.paused {
		return
	}
	n.paused = false
	sim.sendBurst(n)
}

// pauseBriefly pauses a node for less time than its rights are valid, and sends requests
// to its sibling meanwhile.
func (sim *simulation) pauseBriefly(n *node) {
	if !n.isRunning() {
		return
	}
	n.paused = true
	sim.advance(time.Second)
	if other := sim.sibling(n); other != nil {
		sim.sendBurst(other)
		sim.sendBurst(other)
	}
	sim.resume(n)
}

func TestFuzzCoresTogether(t *testing.T) {
	runCount := 0
	rapid.Check(t, func(t *rapid.T) {
		// Faults are drawn with uniform probability, while rapid prefers small values.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "faults"), 0))
		sim := newSimulation(random.IntN, injectedFaults{})
		actions := make(map[string]func(*rapid.T))
		for name, step := range fuzzSteps {
			actions[name] = func(*rapid.T) { step(sim) }
		}
		actions[""] = func(t *rapid.T) {
			if sim.checkOracles(); sim.violation != "" {
				t.Fatal(sim.violation)
			}
		}
		t.Repeat(actions)
		runCount += sim.runCount
	})
	if runCount == 0 {
		t.Fatal("no action ran")
	}
}

// findViolation runs the simulation with a seed and returns the first violation, or "".
func findViolation(seed uint64, faults injectedFaults) string {
	random := rand.New(rand.NewPCG(seed, 0))
	sim := newSimulation(random.IntN, faults)
	const count = 300
	for range count {
		fuzzSteps[stepNames[random.IntN(len(stepNames))]](sim)
		if sim.checkOracles(); sim.violation != "" {
			break
		}
	}
	return sim.violation
}

// TestFuzzPlainSeeds runs fixed seeds with uniform draws, while rapid prefers small
// values.
func TestFuzzPlainSeeds(t *testing.T) {
	for seed := range uint64(20) {
		if found := findViolation(seed, injectedFaults{}); found != "" {
			t.Errorf("seed %d: %s", seed, found)
		}
	}
}

// TestFuzzFindsBrokenGlue checks that each injected fault is found by one of some fixed
// seeds.
func TestFuzzFindsBrokenGlue(t *testing.T) {
	for _, variant := range []struct {
		name   string
		faults injectedFaults
	}{
		{"a new process reuses the incarnation of the previous one", injectedFaults{reuseIncarnations: true}},
		{"a handover without an answer is reported as not-run", injectedFaults{lostHandoverIsNotRun: true}},
		{"endpoints are used without regard to ownership", injectedFaults{ignoreOwnership: true}},
		{"an action is sent again after a lost answer", injectedFaults{resendAfterLostAnswer: true}},
		{"a paused process is declared dead", injectedFaults{declarePausedDead: true}},
	} {
		t.Run(variant.name, func(t *testing.T) {
			const seeds = 50
			for seed := range uint64(seeds) {
				if found := findViolation(seed, variant.faults); found != "" {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Errorf("not found by %d seeds", seeds)
		})
	}
}
