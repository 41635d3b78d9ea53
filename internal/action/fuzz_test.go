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

// defaultSteps is the average number of events in one check.
const defaultSteps = "2000"

// event is a kind of event that the fuzzer draws with a probability proportional
// to its weight.
type event struct {
	weight int
	apply  func()
}

// events returns the kinds of event that the fuzzer draws from.
func (s *simulation) events() []event {
	// active wraps an event that has no effect on a paused node.
	active := func(f func(*node)) func() {
		return func() {
			if n := s.anyNode(); !n.paused {
				f(n)
			}
		}
	}
	return []event{
		{30, s.newKey},
		{150, s.send},
		{1200, s.runTask},
		{15, s.releaseDelayed},
		{80, active(s.refreshView)},
		{100, active(s.writeJournal)},
		{3, func() { s.startIncarnation(s.anyNode()) }},
		{10, func() { s.anyNode().paused = true }},
		{40, func() { s.anyNode().paused = false }},
		{1, active(func(n *node) { n.core.Seal() })},
		{10, s.togglePartition},
		{6, func() { s.storeDown = !s.storeDown }},
		{20, func() { s.now = s.now.Add(time.Minute) }},
		{4, func() { s.now = s.now.Add(7 * time.Minute) }},
	}
}

func (s *simulation) togglePartition() {
	n, other := s.anyNode(), s.anyNode()
	n.unreachable[other.id] = !n.unreachable[other.id]
}

// runRandomEvent draws an event and applies it. It draws from a generator that is
// seeded by rapid: rapid's own draws prefer small values, so some events would
// hardly ever occur.
func (s *simulation) runRandomEvent(events []event) {
	total := 0
	for _, e := range events {
		total += e.weight
	}
	remaining := s.rng.IntN(total)
	for _, e := range events {
		if remaining < e.weight {
			e.apply()
			return
		}
		remaining -= e.weight
	}
}

func checkActions(tb rapid.TB, injected injectedFaults, reuseNames bool) {
	rapid.Check(tb, func(t *rapid.T) {
		s := newSimulation(t, injected, reuseNames)
		events := s.events()
		t.Repeat(map[string]func(*rapid.T){
			"":      func(*rapid.T) { s.check() },
			"event": func(*rapid.T) { s.runRandomEvent(events) },
		})
	})
}

// setFlag sets a flag of rapid until the end of the test.
func setFlag(t *testing.T, name, value string) {
	previous := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, previous) })
}

// TestFuzzActionsAtMostOnce exposes three entries to restarts, pauses, partitions,
// store outages, lost and late messages, and upstream failures. It checks that an
// action runs at most once, that an action reported as "not-run" did not run, and
// that an action that was answered is not reported as "not-run" afterwards.
func TestFuzzActionsAtMostOnce(t *testing.T) {
	if os.Getenv("LOVAGE_FUZZ_STEPS") == "" {
		setFlag(t, "rapid.steps", defaultSteps)
	}
	checkActions(t, injectedFaults{}, false)
}

// failureRecorder stands in for a test that is expected to fail. It records the
// failure without failing the enclosing test.
type failureRecorder struct {
	*testing.T
	failed bool
}

func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }
func (r *failureRecorder) Error(...any)          { r.failed = true }
func (r *failureRecorder) Fail()                 { r.failed = true }
func (r *failureRecorder) Failed() bool          { return r.failed }
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) Log(...any)            {}
func (r *failureRecorder) Fatalf(string, ...any) { r.FailNow() }
func (r *failureRecorder) Fatal(...any)          { r.FailNow() }
func (r *failureRecorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// TestFuzzFindsBrokenVariants runs the fuzzer with a fixed seed against cores with
// one deliberate fault each. The fuzzer must detect every fault.
func TestFuzzFindsBrokenVariants(t *testing.T) {
	for name, variant := range map[string]struct {
		faults     injectedFaults
		reuseNames bool
	}{
		"restarted owner keeps its name":    {reuseNames: true},
		"unreachable owner means not-run":   {faults: injectedFaults{unreachableIsNotRun: true}},
		"key recorded after the run":        {faults: injectedFaults{recordAfterRun: true}},
		"other entry runs for a gone owner": {faults: injectedFaults{runForGoneOwner: true}},
		"stale attempt starts":              {faults: injectedFaults{ignoreTombstones: true}},
	} {
		t.Run(name, func(t *testing.T) {
			setFlag(t, "rapid.seed", "1")
			setFlag(t, "rapid.steps", defaultSteps)
			setFlag(t, "rapid.checks", "300")
			setFlag(t, "rapid.shrinktime", "0s")
			r := &failureRecorder{T: t}
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
