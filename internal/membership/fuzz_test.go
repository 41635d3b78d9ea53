package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
	"lovagescale/internal/instancelist"
)

// memberHistory records how the view of one core has shown one incarnation.
type memberHistory struct {
	counter uint64
	leaving bool
	// removedAfterDeath is set when the view no longer contains an incarnation that
	// has died. The view may contain it again only with a higher counter, which it
	// raised before its death.
	removedAfterDeath bool
}

// oracle records the events of a run and checks every view against them.
type oracle struct {
	fleet  *fleet
	diedAt map[string]time.Time // by incarnation
	// histories holds the history of each incarnation for each core.
	histories map[*Core]map[string]*memberHistory
	// splitZones holds the zones that were partitioned internally. Both parts of such
	// a zone publish summaries of it, so that other zones see the state of either
	// part.
	splitZones map[string]bool
}

func (o *oracle) recordDeath(n *node) { o.diedAt[n.core.self.Incarnation] = o.fleet.now }

func (o *oracle) checkViews(t *rapid.T) {
	for _, n := range o.fleet.nodes {
		if n.running() {
			o.checkView(t, n.core)
		}
	}
}

func (o *oracle) checkView(t *rapid.T, c *Core) {
	shown := o.histories[c]
	if shown == nil {
		shown = make(map[string]*memberHistory)
		o.histories[c] = shown
	}
	present := make(map[string]bool)
	for _, m := range c.View().Members {
		present[m.Incarnation] = true
		h := shown[m.Incarnation]
		if h == nil {
			h = &memberHistory{}
			shown[m.Incarnation] = h
		}
		if h.removedAfterDeath && m.Counter <= h.counter && !o.splitZones[m.Zone] {
			t.Fatalf("%s shows %s again after its death", c.self.Incarnation, m.Incarnation)
		}
		if m.Counter < h.counter {
			t.Fatalf("%s shows %s with counter %d after counter %d", c.self.Incarnation, m.Incarnation, m.Counter, h.counter)
		}
		if h.leaving && m.State == instancelist.Live {
			t.Fatalf("%s shows %s as live after it was leaving", c.self.Incarnation, m.Incarnation)
		}
		h.removedAfterDeath = false
		h.counter = m.Counter
		h.leaving = h.leaving || o.leavesForGood(c, m)
	}
	for incarnation, h := range shown {
		h.removedAfterDeath = h.removedAfterDeath || (o.deathDetectable(incarnation) && !present[incarnation])
	}
}

// leavesForGood reports whether the core knows definitely that a member leaves, either
// from the member itself or because the list turned its instance from live to
// leaving. If the first list that the core read shows the instance as leaving, that
// may concern an earlier incarnation.
func (o *oracle) leavesForGood(c *Core, m Member) bool {
	listed := c.listed[m.Instance].State == instancelist.Leaving
	return m.State == instancelist.Leaving && (!listed || c.announcedLeaving[m.Incarnation])
}

// deathDetectable reports whether an incarnation died so long ago that its absence
// from a view means that its death is known, and not that a summary omits it.
func (o *oracle) deathDetectable(incarnation string) bool {
	diedAt, dead := o.diedAt[incarnation]
	return dead && o.fleet.now.Sub(diedAt) > o.fleet.options.WithDefaults().SuspectAfter
}

// checkConverged requires that the view of every running core contains exactly the
// running incarnations, with their states and none suspected.
func (o *oracle) checkConverged(t *rapid.T) {
	expected := make(map[string]instancelist.State)
	for _, n := range o.fleet.nodes {
		if !n.down {
			expected[n.core.self.Incarnation] = n.core.self.State
		}
	}
	for _, n := range o.fleet.nodes {
		if n.down {
			continue
		}
		view := n.core.View()
		for _, m := range view.Members {
			if state, running := expected[m.Incarnation]; !running || m.State != state || m.Suspected {
				t.Fatalf("%s shows an outdated or suspected member %+v (running: %v)", view.Self.Incarnation, m, running)
			}
		}
		if len(view.Members) != len(expected) {
			t.Fatalf("%s shows %d members, want %d", view.Self.Incarnation, len(view.Members), len(expected))
		}
	}
}

// TestFuzzMembership exposes a fleet to message loss, reordering and duplication,
// paused, killed and replaced processes, partitioned zones and a list that lags. It
// checks every view on the way, and that all views are exact once the faults end.
func TestFuzzMembership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 4).Draw(t, "per zone"), Options{})
		o := &oracle{fleet: f, diedAt: make(map[string]time.Time), histories: make(map[*Core]map[string]*memberHistory),
			splitZones: make(map[string]bool)}
		anyNode := rapid.SampledFrom(f.nodes)
		t.Repeat(map[string]func(*rapid.T){
			"": o.checkViews,
			"run": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "seconds") {
					f.advance(time.Second)
					o.checkViews(t)
				}
			},
			"lose":   func(t *rapid.T) { f.lossPercent = rapid.IntRange(0, 60).Draw(t, "percent") },
			"repeat": func(t *rapid.T) { f.duplicatePercent = rapid.IntRange(0, 30).Draw(t, "percent") },
			"kill": func(t *rapid.T) {
				n := anyNode.Draw(t, "node")
				n.down = true
				o.recordDeath(n)
			},
			"replace": func(t *rapid.T) {
				n := anyNode.Draw(t, "node")
				o.recordDeath(n)
				f.startIncarnation(n)
			},
			"freeze": func(t *rapid.T) { anyNode.Draw(t, "node").paused = true },
			"resume": func(t *rapid.T) { anyNode.Draw(t, "node").paused = false },
			"leave": func(t *rapid.T) {
				n := anyNode.Draw(t, "node")
				if n.running() {
					n.instance.State = instancelist.Leaving
					f.sendAll(n, n.core.Leave(f.now))
				}
			},
			"list": func(*rapid.T) { f.publishList() },
			"cut": func(t *rapid.T) {
				a, b := anyNode.Draw(t, "a").instance.Zone, anyNode.Draw(t, "b").instance.Zone
				f.partitioned[[2]string{a, b}] = true
				o.splitZones[a] = o.splitZones[a] || a == b
			},
			"heal": func(*rapid.T) { clear(f.partitioned) },
		})
		f.healAndConverge()
		o.checkViews(t)
		o.checkConverged(t)
	})
}
