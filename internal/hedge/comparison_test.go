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

// outcome is what the callers get and what it costs.
type outcome struct {
	requests, within, late, second int
	work                           float64 // slot time in seconds
}

func (o outcome) share() float64 { return float64(o.within) / float64(o.requests) }
func (o outcome) extra() float64 { return float64(o.second) / float64(o.requests) }
func (o outcome) String() string {
	return fmt.Sprintf("within %.3f, late %.3f, additional runs %.3f, slot time %.3f s a request", o.share(),
		float64(o.late)/float64(o.requests), o.extra(), o.work/float64(o.requests))
}

const (
	endpoints, slots   = 24, 6
	step               = 5 * ms
	firstRun, warmRun  = 1100 * ms, 330 * ms
	objective, timeout = 1000 * ms, 2500 * ms
)

type job struct {
	arrived time.Duration
	a, b    int // preferred endpoints
	hedged  bool
	done    bool
}

type run struct {
	job    *job
	sentAt time.Duration
	left   time.Duration
}

// simulate runs a pattern for 90 s. delay returns the time before a second attempt.
func simulate(p pattern, seed uint64, delay func(*hedge.Policy) (time.Duration, bool)) outcome {
	random := rand.New(rand.NewPCG(seed, 5))
	policy, budget := hedge.NewPolicy(), allowance.NewRetryBudget(allowance.RetryOptions{Ratio: 0.2, Burst: 210})
	budget.SetInstances(33)
	var o outcome
	var queues [endpoints][]*run // the first slots of them run
	var slow [endpoints]bool
	send := func(now time.Duration, j *job, endpoint int) {
		work := warmRun
		if random.Float64() < p.firstRuns {
			work = firstRun
		}
		if random.Float64() < p.tailFraction {
			work = time.Duration(float64(work) * p.tailFactor)
		}
		queues[endpoint] = append(queues[endpoint], &run{j, now, work})
	}
	for now := time.Duration(0); now < 90*time.Second; now += step {
		if now%(600*ms) == 0 {
			for i := range slow {
				slow[i] = random.Float64() < p.slowFraction
			}
		}
		for n := random.Float64(); n < p.rate*step.Seconds(); n++ {
			j := &job{arrived: now, a: random.IntN(endpoints)}
			j.b = (j.a + 1 + random.IntN(endpoints-1)) % endpoints
			if len(queues[j.b]) < len(queues[j.a]) {
				j.a, j.b = j.b, j.a
			}
			o.requests++
			budget.RecordFirstAttempt("files")
			send(now, j, j.a)
		}
		inFlight := 0
		for i := range queues {
			inFlight += len(queues[i])
		}
		scarce := float64(inFlight) >= 0.6*endpoints*slots
		after, known := delay(policy)
		for i := range queues {
			kept := queues[i][:0:0]
			for position, r := range queues[i] {
				j := r.job
				if position < slots && !j.done {
					factor := 1.0
					if slow[i] {
						factor = p.slowFactor
					}
					r.left -= time.Duration(float64(step) / factor)
					o.work += step.Seconds()
				}
				took := now + step - j.arrived
				if !j.done && (r.left <= 0 || took >= timeout) {
					j.done = true
					if r.left <= 0 && took <= objective {
						o.within++
					} else if r.left <= 0 {
						o.late++
					}
				}
				if j.done {
					if i == j.a {
						policy.Observe(key, now+step-r.sentAt)
					}
					continue
				}
				if i == j.a && known && !j.hedged && took >= after && !scarce && len(queues[j.b]) < slots*6/10+1 && budget.TakeRetry("files") {
					j.hedged = true
					o.second++
					send(now, j, j.b)
				}
				kept = append(kept, r)
			}
			queues[i] = kept
		}
	}
	return o
}

// Compares no second attempts, those after the policy's delay, and those after a fixed one.
// It guards against a policy that costs slots without serving more requests in time.
func TestComparisonOfDelays(t *testing.T) {
	off := func(*hedge.Policy) (time.Duration, bool) { return 0, false }
	on := func(p *hedge.Policy) (time.Duration, bool) { return p.Delay(key, warmRun) }
	fixed := func(*hedge.Policy) (time.Duration, bool) { return 400 * ms, true }
	for _, test := range []struct {
		name    string
		pattern pattern
		gain    float64 // least gain of the share within the objective
	}{
		{"even runs", pattern{rate: 190}, 0},
		{"noise", pattern{rate: 150, firstRuns: 0.02, slowFraction: 0.15, slowFactor: 2.5}, 0},
		{"tail", pattern{rate: 150, firstRuns: 0.02, tailFraction: 0.03, tailFactor: 7}, 0},
		{"noise and tail", pattern{rate: 140, firstRuns: 0.02, slowFraction: 0.15, slowFactor: 2.5, tailFraction: 0.03, tailFactor: 7}, 0},
		{"noise, tail and first runs", pattern{rate: 120, firstRuns: 0.15, slowFraction: 0.15, slowFactor: 2.5, tailFraction: 0.03, tailFactor: 7}, 0},
		{"scarce slots", pattern{rate: 420, firstRuns: 0.02, tailFraction: 0.03, tailFactor: 7}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			without, with, withFixed := simulate(test.pattern, 1, off), simulate(test.pattern, 1, on), simulate(test.pattern, 1, fixed)
			t.Logf("off:   %v\non:    %v\nfixed: %v", without, with, withFixed)
			g.Expect(with.share()).To(BeNumerically(">=", without.share()+test.gain))
		})
	}
}
