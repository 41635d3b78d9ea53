package joint

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

// steps are the events that the fuzzing chooses from.
var steps = map[string]func(*fleet){
	"send":    func(f *fleet) { f.send(f.any()) },
	"burst":   func(f *fleet) { f.burst(f.any()) },
	"advance": func(f *fleet) { f.advance(time.Duration(1+f.draw(20)) * tick) },
	"settle":  func(f *fleet) { f.advance(10 * time.Second) },
	"kill": func(f *fleet) {
		if n := f.any(); n.actions != nil && f.draw(3) == 0 {
			f.kill(n)
		}
	},
	"start": func(f *fleet) {
		if n := f.any(); n.actions == nil {
			f.boot(n)
		}
	},
	"pause": func(f *fleet) {
		if n := f.any(); n.up() && f.draw(3) == 0 {
			n.paused = true
		}
	},
	"resume": func(f *fleet) { f.resume(f.any()) },
	"nap":    func(f *fleet) { f.nap(f.any()) },
	"cut":    func(f *fleet) { f.cut[f.any().zone] = f.draw(4) == 0 },
	"store":  func(f *fleet) { f.storeDown = f.draw(4) == 0 },
}

// order fixes the order of steps for a plain random driver.
var order = []string{"send", "burst", "advance", "settle", "kill", "start", "pause", "resume", "nap", "cut", "store", "send", "burst", "advance"}

func (f *fleet) any() *node { return f.nodes[f.draw(len(f.nodes))] }

// burst sends more than a node has slots for.
func (f *fleet) burst(n *node) {
	for range 3 * slots {
		f.send(n)
	}
}

// resume lets a paused node go on; requests run before its control loop does.
func (f *fleet) resume(n *node) {
	if n.actions == nil || !n.paused {
		return
	}
	n.paused = false
	f.burst(n)
}

// nap pauses a node for less time than its rights last, while its sibling is
// loaded.
func (f *fleet) nap(n *node) {
	if !n.up() {
		return
	}
	n.paused = true
	f.advance(time.Second)
	if other := f.sibling(n); other != nil {
		f.burst(other)
		f.burst(other)
	}
	f.resume(n)
}

func TestFuzzCoresTogether(t *testing.T) {
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		// Faults are drawn without rapid's preference for small values.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "faults"), 0))
		f := newFleet(random.IntN, broken{})
		actions := make(map[string]func(*rapid.T))
		for name, step := range steps {
			actions[name] = func(*rapid.T) { step(f) }
		}
		actions[""] = func(t *rapid.T) {
			if f.check(); f.violation != "" {
				t.Fatal(f.violation)
			}
		}
		t.Repeat(actions)
		ran += f.ran
	})
	if ran == 0 {
		t.Fatal("no action ran")
	}
}

// violationOf runs the model from a seed and returns what it found.
func violationOf(seed uint64, faults broken) string {
	random := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(random.IntN, faults)
	const count = 300
	for range count {
		steps[order[random.IntN(len(order))]](f)
		if f.check(); f.violation != "" {
			break
		}
	}
	return f.violation
}

// TestFuzzPlainSeeds runs seeds without rapid's preference for small values.
func TestFuzzPlainSeeds(t *testing.T) {
	for seed := range uint64(20) {
		if found := violationOf(seed, broken{}); found != "" {
			t.Errorf("seed %d: %s", seed, found)
		}
	}
}

// TestFuzzFindsBrokenGlue requires that each fault is found from a fixed seed.
func TestFuzzFindsBrokenGlue(t *testing.T) {
	for _, variant := range []struct {
		name   string
		faults broken
	}{
		{"a new process with the incarnation of the last one", broken{reusedName: true}},
		{"a lost hand-over taken for not-run", broken{softened: true}},
		{"endpoints without an owner", broken{shared: true}},
		{"an action sent again after a lost answer", broken{repeated: true}},
		{"a paused process taken for a dead one", broken{hasty: true}},
	} {
		t.Run(variant.name, func(t *testing.T) {
			const seeds = 50
			for seed := range uint64(seeds) {
				if found := violationOf(seed, variant.faults); found != "" {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Errorf("not found by %d seeds", seeds)
		})
	}
}
