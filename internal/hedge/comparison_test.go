package hedge_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lovagescale/internal/allowance"
	"lovagescale/internal/hedge"
)

// pattern is a load on one region of an upstream whose objects have two preferred endpoints.
type pattern struct {
	rate                     float64 // requests per second
	firstRuns                float64 // fraction of the runs
	slowFraction, slowFactor float64 // of the endpoints, drawn anew every 600 ms
	tailFraction, tailFactor float64 // of the runs
}

const (
	endpoints, slots   = 24, 6
	step               = 5 * ms
	firstRun, warmRun  = 1100 * ms, 330 * ms
	objective, timeout = 1000 * ms, 2500 * ms
)

// outcome is what the callers get and what it costs, per request.
type outcome struct{ requests, within, late, second, slotTime float64 }

func (o outcome) String() string {
	return fmt.Sprintf("within %.3f, late %.3f, second attempts %.3f, slot time %.3f s", o.within, o.late, o.second, o.slotTime)
}

// job is a request, whose second attempt is at endpoint b.
type job struct {
	arrived      time.Duration
	a, b         int
	hedged, done bool
}

type run struct {
	*job
	left time.Duration
}

type delayFunc func(*hedge.Policy) (time.Duration, bool)

type simulation struct {
	pattern
	outcome
	random *rand.Rand
	policy *hedge.Policy
	budget *allowance.RetryBudget
	queues [endpoints][]*run // the first ones of a queue are in the slots
	slow   [endpoints]bool
	delay  delayFunc
}

// simulate runs a pattern for 90 s.
func simulate(p pattern, delay delayFunc) outcome {
	s := &simulation{pattern: p, delay: delay, random: rand.New(rand.NewPCG(1, 5)), policy: hedge.NewPolicy(),
		budget: allowance.NewRetryBudget(allowance.RetryOptions{Ratio: 0.2, Burst: 210})}
	s.budget.SetInstances(33)
	for now := time.Duration(0); now < 90*time.Second; now += step {
		if now%(600*ms) == 0 {
			for i := range s.slow {
				s.slow[i] = s.random.Float64() < p.slowFraction
			}
		}
		for n := s.random.Float64(); n < p.rate*step.Seconds(); n++ {
			j := &job{arrived: now, a: s.random.IntN(endpoints)}
			j.b = (j.a + 1 + s.random.IntN(endpoints-1)) % endpoints
			if len(s.queues[j.b]) < len(s.queues[j.a]) {
				j.a, j.b = j.b, j.a
			}
			s.requests++
			s.budget.RecordFirstAttempt("files")
			s.send(j, j.a)
		}
		s.advance(now + step)
	}
	o := s.outcome
	return outcome{o.requests, o.within / o.requests, o.late / o.requests, o.second / o.requests, o.slotTime / o.requests}
}

func (s *simulation) send(j *job, endpoint int) {
	work := pick(s.random.Float64() < s.firstRuns, firstRun, warmRun)
	if s.random.Float64() < s.tailFraction {
		work = time.Duration(float64(work) * s.tailFactor)
	}
	s.queues[endpoint] = append(s.queues[endpoint], &run{j, work})
}

// advance advances all runs by a step.
func (s *simulation) advance(now time.Duration) {
	inFlight := 0
	for i := range s.queues {
		inFlight += len(s.queues[i])
	}
	after, known := s.delay(s.policy)
	known = known && float64(inFlight) < 0.6*endpoints*slots
	for i := range s.queues {
		var kept []*run
		for position, r := range s.queues[i] {
			if position < slots && !r.done {
				r.left -= time.Duration(step.Seconds() / map[bool]float64{true: s.slowFactor, false: 1}[s.slow[i]] * 1e9)
				s.slotTime += step.Seconds()
			}
			took := now - r.arrived
			if !r.done && (r.left <= 0 || took >= timeout) {
				r.done = true
				if r.left <= 0 && took <= objective {
					s.within++
				} else if r.left <= 0 {
					s.late++
				}
			}
			if r.done && i == r.a {
				s.policy.Observe(key, took)
			}
			if r.done {
				continue
			}
			kept = append(kept, r)
			if known && i == r.a && !r.hedged && took >= after && len(s.queues[r.b]) < slots*6/10+1 && s.budget.TakeSpareRetry("files") {
				r.hedged = true
				s.second++
				s.send(r.job, r.b)
			}
		}
		s.queues[i] = kept
	}
}

// Compares no second attempts, those after the policy's delay, and those after a fixed one.
// It guards against a policy that costs slots without serving more requests in time.
func TestComparisonOfDelays(t *testing.T) {
	off := func(*hedge.Policy) (time.Duration, bool) { return 0, false }
	on := func(p *hedge.Policy) (time.Duration, bool) {
		return p.Delay(key, hedge.Expectation{Warm: warmRun, Second: warmRun, Objective: objective})
	}
	fixed := func(*hedge.Policy) (time.Duration, bool) { return 400 * ms, true }
	for name, test := range map[string]struct {
		pattern            pattern
		gain, second, work float64 // least gain within the objective, most second attempts and slot time
	}{
		"even runs":                  {pattern{rate: 190}, 0, 0.01, 1},
		"noise":                      {pattern{rate: 150, firstRuns: 0.02, slowFraction: 0.15, slowFactor: 2.5}, 0.01, 0.13, 1.05},
		"tail":                       {pattern{rate: 150, firstRuns: 0.02, tailFraction: 0.03, tailFactor: 7}, 0.04, 0.06, 0.95},
		"noise and tail":             {pattern{rate: 140, firstRuns: 0.02, slowFraction: 0.15, slowFactor: 2.5, tailFraction: 0.03, tailFactor: 7}, 0.03, 0.15, 1},
		"noise, tail and first runs": {pattern{rate: 120, firstRuns: 0.15, slowFraction: 0.15, slowFactor: 2.5, tailFraction: 0.03, tailFactor: 7}, 0.04, 0.17, 1.03},
		"scarce slots":               {pattern{rate: 290, firstRuns: 0.02, tailFraction: 0.03, tailFactor: 7}, 0, 0.01, 1.01},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			without, with := simulate(test.pattern, off), simulate(test.pattern, on)
			t.Logf("off:   %v\non:    %v\nfixed: %v", without, with, simulate(test.pattern, fixed))
			g.Expect(with.within).To(BeNumerically(">=", without.within+test.gain))
			g.Expect(with.second).To(BeNumerically("<=", test.second))
			g.Expect(with.slotTime).To(BeNumerically("<=", test.work*without.slotTime))
		})
	}
}
