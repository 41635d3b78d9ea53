package action

import (
	"flag"
	"os"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

// defaultSteps is the average number of events of one check.
const defaultSteps = "2000"

// event is one of the events that the fuzzer chooses from, by weight.
type event struct {
	weight int
	happen func()
}

func (w *world) events() []event {
	// active events need a node that is not paused.
	active := func(f func(*node)) func() {
		return func() {
			if n := w.anyNode(); !n.paused {
				f(n)
			}
		}
	}
	return []event{
		{30, w.newKey},
		{150, w.send},
		{1200, w.step},
		{15, w.release},
		{80, active(w.gossip)},
		{100, active(w.writeJournal)},
		{3, func() { w.boot(w.anyNode()) }},
		{10, func() { w.anyNode().paused = true }},
		{40, func() { w.anyNode().paused = false }},
		{1, active(func(n *node) { n.core.Seal() })},
		{10, w.cutOrHeal},
		{6, func() { w.storeDown = !w.storeDown }},
		{20, func() { w.now = w.now.Add(time.Minute) }},
		{4, func() { w.now = w.now.Add(7 * time.Minute) }},
	}
}

func (w *world) cutOrHeal() {
	n, other := w.anyNode(), w.anyNode()
	n.cut[other.id] = !n.cut[other.id]
}

// happen draws one event. The draws are made from one seed of rapid, whose own
// draws prefer small values and would choose some events hardly ever.
func (w *world) happen(events []event) {
	total := 0
	for _, e := range events {
		total += e.weight
	}
	drawn := w.random.IntN(total)
	for _, e := range events {
		if drawn < e.weight {
			e.happen()
			return
		}
		drawn -= e.weight
	}
}

func checkActions(tb rapid.TB, faults broken, reuseNames bool) {
	rapid.Check(tb, func(t *rapid.T) {
		w := newWorld(t, faults, reuseNames)
		events := w.events()
		t.Repeat(map[string]func(*rapid.T){
			"":      func(*rapid.T) { w.check() },
			"event": func(*rapid.T) { w.happen(events) },
		})
	})
}

// setFlag sets a flag of rapid for one test.
func setFlag(t *testing.T, name, value string) {
	previous := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, previous) })
}

// TestFuzzActionsAtMostOnce drives three entries through deaths, pauses,
// partitions, store outages, lost and late replies, and upstream failures: an
// action runs at most once, a "not-run" is true, and what was answered is never
// said to be "not-run".
func TestFuzzActionsAtMostOnce(t *testing.T) {
	if os.Getenv("LOVAGE_FUZZ_STEPS") == "" {
		setFlag(t, "rapid.steps", defaultSteps)
	}
	checkActions(t, broken{}, false)
}

// recorder takes the place of a test that is expected to fail.
type recorder struct {
	*testing.T
	failed bool
}

func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Error(...any)          { r.failed = true }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Log(...any)            {}
func (r *recorder) Fatalf(string, ...any) { r.FailNow() }
func (r *recorder) Fatal(...any)          { r.FailNow() }
func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// TestFuzzFindsBrokenVariants runs the same fuzzer with a fixed seed on cores
// with a deliberate fault: each fault must be found.
func TestFuzzFindsBrokenVariants(t *testing.T) {
	for name, variant := range map[string]struct {
		faults     broken
		reuseNames bool
	}{
		"owner forgets on restart":          {reuseNames: true},
		"unknown softened to not-run":       {faults: broken{softened: true}},
		"record written after the send":     {faults: broken{sentFirst: true}},
		"other entry adopts a dead owner's": {faults: broken{adopts: true}},
		"late try starts after a not-run":   {faults: broken{unordered: true}},
	} {
		t.Run(name, func(t *testing.T) {
			setFlag(t, "rapid.seed", "1")
			setFlag(t, "rapid.steps", defaultSteps)
			setFlag(t, "rapid.checks", "300")
			setFlag(t, "rapid.shrinktime", "0s")
			r := &recorder{T: t}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				checkActions(r, variant.faults, variant.reuseNames)
			}()
			<-ended
			if !r.failed {
				t.Fatalf("fault %q was not found", name)
			}
		})
	}
}
