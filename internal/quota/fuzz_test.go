package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

// fuzzOptions shorten all times, so that many leases end within one run.
var fuzzOptions = Options{
	GrantTTL: time.Second, PauseLimit: 3 * time.Second, OwnerTTL: 20 * time.Second,
	AskTimeout: 800 * time.Millisecond, Horizon: time.Second,
}

var workspaces = []string{"azul", "verde"}

func fuzzWorld(draw func(int) int, broken func(*Core)) *world {
	limits := map[string]Limit{"azul": {Rate: 100, Burst: 20}, "verde": {Rate: 5, Burst: 40}}
	options := fuzzOptions
	options.ReturnAfter = []time.Duration{100 * time.Millisecond, time.Minute}[draw(2)]
	w := newWorld(options, 3, 0, limits, draw)
	w.broken = broken
	for range 2 {
		for z := range w.zones {
			w.start([]string{"zone-0", "zone-1", "zone-2"}[z], "")
		}
	}
	w.quiet = false
	w.syncInterval = 100 * time.Millisecond
	return w
}

// step does one random thing. The platform's promise is kept: an instance that
// it does not list has ended, or runs again only after the pause limit.
func (w *world) step() {
	n := w.nodes[w.draw(len(w.nodes))]
	switch action := w.draw(200); {
	case action < 14:
		w.spendAll()
	case action < 80:
		name := workspaces[w.draw(2)]
		for range 1 + w.draw(25) {
			w.request(n, name)
		}
	case action < 150:
		w.advance(time.Duration(1+w.draw(150))*time.Millisecond, 5*time.Millisecond)
	case action < 162:
		w.advance(time.Duration(5+w.draw(25))*100*time.Millisecond, 50*time.Millisecond)
		if w.draw(2) == 0 {
			w.spendAll()
		}
	case action < 163:
		w.advance(25*time.Second, 500*time.Millisecond)
	case action < 164:
		w.end(n)
	case action < 170:
		w.release(n)
	case action < 174:
		w.pauseOrResume(n)
	case action < 177:
		w.storeDown = w.draw(4) == 0
	case action < 181:
		w.loseReplies = w.draw(4)
	case action < 184:
		w.cut[n.Zone] = w.draw(4) == 0
	case action < 188:
		w.lossPercent = w.draw(2) * w.draw(50)
		w.maxDelay = time.Duration(2+w.draw(2)*w.draw(800)) * time.Millisecond
	case action < 189:
		w.limits = Limits{Revision: w.limits.Revision + 1, Zones: w.zones, Workspaces: map[string]Limit{
			"azul":  {Rate: float64(20 + w.draw(200)), Burst: float64(5 + w.draw(40))},
			"verde": {Rate: float64(1 + w.draw(20)), Burst: float64(5 + w.draw(40))},
		}}
	case action < 196:
		w.configure(n)
	case action < 199:
		for _, other := range w.nodes {
			w.configure(other)
		}
	default:
		switch w.draw(8) {
		case 0, 1:
			w.replaceAll()
		case 2:
			w.addZone()
		}
	}
}

// addZone adds a zone to the text, which one new entry and no other has yet.
func (w *world) addZone() {
	const maxZones = 6
	if w.zones == maxZones {
		return
	}
	w.zones++
	w.limits.Revision++
	w.limits.Zones = w.zones
	w.start(fmt.Sprintf("zone-%d", w.zones-1), "")
}

// spendAll takes every token that any process can spend.
func (w *world) spendAll() {
	for _, n := range w.nodes {
		for _, name := range workspaces {
			for !n.paused() && n.core.Take(w.now, name) {
				w.admit(name)
			}
		}
	}
}

func (w *world) replaceAll() {
	for _, old := range append([]*node(nil), w.nodes...) {
		w.end(old)
	}
}

// release is a planned stop: the shares are given up, the process ends later.
func (w *world) release(n *node) {
	if n.paused() {
		return
	}
	n.core.Release(w.now)
	w.drain(n)
	w.syncZone(n)
	w.syncOwners(n)
	w.advance(time.Duration(1+w.draw(800))*time.Millisecond, 5*time.Millisecond)
	w.end(n)
}

// end kills a process and starts another, of the same or a new instance.
func (w *world) end(n *node) {
	n.dead = true
	switch listed := w.listed[n.Instance]; {
	case listed && w.draw(2) == 0:
		w.start(n.Zone, n.Instance)
	case listed:
		delete(w.listed, n.Instance)
		w.start(n.Zone, "")
	}
	w.remove()
}

// pauseOrResume pauses a process. One that is paused may leave the list and be
// replaced; it then runs again only after the pause limit.
func (w *world) pauseOrResume(n *node) {
	listed := w.listed[n.Instance]
	switch {
	case !n.paused():
		n.pausedAt = w.now
	case listed && w.draw(2) == 0:
		delete(w.listed, n.Instance)
		w.start(n.Zone, "")
	case listed || w.now.Sub(n.pausedAt) > w.options.PauseLimit:
		w.resume(n)
	}
}

// TestFuzzQuota checks that no workspace gets more than its rate and burst.
func TestFuzzQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := fuzzWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, nil)
		t.Repeat(map[string]func(*rapid.T){"step": func(t *rapid.T) {
			w.step()
			w.checkStock()
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		}})
	})
}

// randomSteps runs steps of a seed until a violation.
func randomSteps(seed uint64, steps int, broken func(*Core)) *world {
	random := rand.New(rand.NewPCG(seed, seed))
	w := fuzzWorld(random.IntN, broken)
	for range steps {
		w.step()
		w.checkStock()
		if w.violation != "" {
			break
		}
	}
	return w
}

// TestFuzzQuotaSteps drives a long uniform walk and must reach real admissions.
func TestFuzzQuotaSteps(t *testing.T) {
	g := NewWithT(t)
	for seed := uint64(1); seed <= 3; seed++ {
		w := randomSteps(seed, 3000, nil)
		g.Expect(w.violation).To(BeEmpty(), "seed %d", seed)
		g.Expect(w.admitted).To(BeNumerically(">", 1000))
		g.Expect(w.refused).To(BeNumerically(">", 1000))
	}
}

// TestBrokenVariantsAreFound shows that the walk finds faults.
func TestBrokenVariantsAreFound(t *testing.T) {
	for name, broken := range map[string]func(*Core){
		"a transfer is credited before its debit":                func(c *Core) { c.creditBeforeDebit = true },
		"a lease is counted from the reply":                      func(c *Core) { c.leaseFromReply = true },
		"a new owner does not wait out the grants of the former": func(c *Core) { c.skipHandoverWait = true },
	} {
		t.Run(name, func(t *testing.T) {
			found := ""
			for seed := uint64(1); seed <= 8 && found == ""; seed++ {
				found = randomSteps(seed, 10_000, broken).violation
				t.Log("seed", seed, found)
			}
			NewWithT(t).Expect(found).NotTo(BeEmpty())
		})
	}
}
