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

// fuzzOptions shortens all times, so that many grants and leases expire within one
// run.
var fuzzOptions = Options{
	GrantTTL: time.Second, PauseLimit: 3 * time.Second, OwnerTTL: 20 * time.Second,
	GrantTimeout: 800 * time.Millisecond, DemandHorizon: time.Second,
}

var fuzzWorkspaces = []string{"azul", "verde"}

func newFuzzSimulation(draw func(int) int, injectFault func(*Core)) *simulation {
	limits := map[string]Limit{"azul": {Rate: 100, Burst: 20}, "verde": {Rate: 5, Burst: 40}}
	options := fuzzOptions
	options.ReturnAfter = []time.Duration{100 * time.Millisecond, time.Minute}[draw(2)]
	s := newSimulation(options, 3, 0, limits, draw)
	s.injectFault = injectFault
	for range 2 {
		for zone := range s.zones {
			s.start([]string{"zone-0", "zone-1", "zone-2"}[zone], "")
		}
	}
	s.reliableNetwork = false
	s.syncInterval = 100 * time.Millisecond
	return s
}

// randomStep does one random action. It keeps the guarantee of the platform: an
// instance that is not listed has ended, or runs again only after the pause limit.
func (s *simulation) randomStep() {
	n := s.nodes[s.draw(len(s.nodes))]
	switch action := s.draw(200); {
	case action < 14:
		s.spendAll()
	case action < 80:
		name := fuzzWorkspaces[s.draw(2)]
		for range 1 + s.draw(25) {
			s.request(n, name)
		}
	case action < 150:
		s.advance(time.Duration(1+s.draw(150))*time.Millisecond, 5*time.Millisecond)
	case action < 162:
		s.advance(time.Duration(5+s.draw(25))*100*time.Millisecond, 50*time.Millisecond)
		if s.draw(2) == 0 {
			s.spendAll()
		}
	case action < 163:
		s.advance(25*time.Second, 500*time.Millisecond)
	case action < 164:
		s.replaceProcess(n)
	case action < 170:
		s.releaseProcess(n)
	case action < 174:
		s.pauseOrResume(n)
	case action < 177:
		s.storeDown = s.draw(4) == 0
	case action < 181:
		s.repliesToLose = s.draw(4)
	case action < 184:
		s.cutOffZones[n.Zone] = s.draw(4) == 0
	case action < 188:
		s.lossPercent = s.draw(2) * s.draw(50)
		s.maxDelay = time.Duration(2+s.draw(2)*s.draw(800)) * time.Millisecond
	case action < 189:
		s.limits = Limits{Revision: s.limits.Revision + 1, Zones: s.zones, Workspaces: map[string]Limit{
			"azul":  {Rate: float64(20 + s.draw(200)), Burst: float64(5 + s.draw(40))},
			"verde": {Rate: float64(1 + s.draw(20)), Burst: float64(5 + s.draw(40))},
		}}
	case action < 196:
		s.configure(n)
	case action < 199:
		for _, other := range s.nodes {
			s.configure(other)
		}
	default:
		switch s.draw(8) {
		case 0, 1:
			s.replaceAll()
		case 2:
			s.addZone()
		}
	}
}

// addZone adds a zone to the configuration. A new entry in that zone is the only one
// that has the new revision at first.
func (s *simulation) addZone() {
	const maxZones = 6
	if s.zones == maxZones {
		return
	}
	s.zones++
	s.limits.Revision++
	s.limits.Zones = s.zones
	s.start(fmt.Sprintf("zone-%d", s.zones-1), "")
}

// spendAll takes every token that any running process can spend.
func (s *simulation) spendAll() {
	for _, n := range s.nodes {
		for _, name := range fuzzWorkspaces {
			for !n.paused() && n.core.TryAcquire(s.now, name) {
				s.recordAdmission(name)
			}
		}
	}
}

func (s *simulation) replaceAll() {
	for _, old := range append([]*node(nil), s.nodes...) {
		s.replaceProcess(old)
	}
}

// releaseProcess stops a process as planned: it gives up its shares and ends later.
func (s *simulation) releaseProcess(n *node) {
	if n.paused() {
		return
	}
	n.core.Release(s.now)
	s.drain(n)
	s.syncZone(n)
	s.syncOwners(n)
	s.advance(time.Duration(1+s.draw(800))*time.Millisecond, 5*time.Millisecond)
	s.replaceProcess(n)
}

// replaceProcess kills a process. If its instance is listed, it starts another
// process, of the same instance or of a new one that replaces it on the list.
func (s *simulation) replaceProcess(n *node) {
	n.dead = true
	switch listed := s.listed[n.Instance]; {
	case listed && s.draw(2) == 0:
		s.start(n.Zone, n.Instance)
	case listed:
		delete(s.listed, n.Instance)
		s.start(n.Zone, "")
	}
	s.removeDead()
}

// pauseOrResume pauses a running process. The instance of a paused process may be
// removed from the list and replaced; the process then resumes only after the pause
// limit.
func (s *simulation) pauseOrResume(n *node) {
	listed := s.listed[n.Instance]
	switch {
	case !n.paused():
		n.pausedAt = s.now
	case listed && s.draw(2) == 0:
		delete(s.listed, n.Instance)
		s.start(n.Zone, "")
	case listed || s.now.Sub(n.pausedAt) > s.options.PauseLimit:
		s.resume(n)
	}
}

// TestFuzzQuota checks that no workspace gets more than its rate and burst allow.
func TestFuzzQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFuzzSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, nil)
		t.Repeat(map[string]func(*rapid.T){"step": func(t *rapid.T) {
			s.randomStep()
			s.checkSpendable()
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		}})
	})
}

// runRandomSteps does random steps drawn from a seed until there is a violation.
func runRandomSteps(seed uint64, steps int, injectFault func(*Core)) *simulation {
	random := rand.New(rand.NewPCG(seed, seed))
	s := newFuzzSimulation(random.IntN, injectFault)
	for range steps {
		s.randomStep()
		s.checkSpendable()
		if s.violation != "" {
			break
		}
	}
	return s
}

// TestFuzzQuotaSteps does long runs of uniformly drawn steps, which must admit and
// refuse many requests.
func TestFuzzQuotaSteps(t *testing.T) {
	g := NewWithT(t)
	for seed := uint64(1); seed <= 3; seed++ {
		s := runRandomSteps(seed, 3000, nil)
		g.Expect(s.violation).To(BeEmpty(), "seed %d", seed)
		g.Expect(s.admitted).To(BeNumerically(">", 1000))
		g.Expect(s.refused).To(BeNumerically(">", 1000))
	}
}

// TestBrokenVariantsAreFound checks that random steps detect deliberate faults.
func TestBrokenVariantsAreFound(t *testing.T) {
	for name, injectFault := range map[string]func(*Core){
		"a grant is credited before its debit":                   func(c *Core) { c.creditBeforeDebit = true },
		"the expiry of a grant is counted from the reply":        func(c *Core) { c.expiryFromReply = true },
		"a new owner does not wait out the grants of the former": func(c *Core) { c.skipIssueWait = true },
	} {
		t.Run(name, func(t *testing.T) {
			violation := ""
			for seed := uint64(1); seed <= 8 && violation == ""; seed++ {
				violation = runRandomSteps(seed, 10_000, injectFault).violation
				t.Log("seed", seed, violation)
			}
			NewWithT(t).Expect(violation).NotTo(BeEmpty())
		})
	}
}
