package hedge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lovagescale/internal/hedge"
)

var key = hedge.Key{Upstream: "files", Route: "read", Region: "north"}

const ms = time.Millisecond

// A delay that follows the tail instead of the quantile would never be reached, one below
// most runs would double the load.
func TestDelayIsTheTimeByWhichMostRunsEnd(t *testing.T) {
	for name, test := range map[string]struct {
		run             func(random float64) time.Duration
		warm, objective time.Duration
		from, to        time.Duration
	}{
		"even durations":          {func(x float64) time.Duration { return time.Duration(100+100*x) * ms }, 0, 0, 180 * ms, 215 * ms},
		"tail of 3 in 100":        {func(x float64) time.Duration { return pick(x < 0.03, 2100*ms, 300*ms) }, 0, 0, 295 * ms, 330 * ms},
		"first runs, 2 in 10":     {func(x float64) time.Duration { return pick(x < 0.2, 1000*ms, 300*ms) }, 300 * ms, 0, 990 * ms, 1100 * ms},
		"objective before it":     {func(x float64) time.Duration { return time.Duration(100+100*x) * ms }, 0, 245 * ms, 185 * ms, 185 * ms},
		"objective out of reach":  {func(x float64) time.Duration { return time.Duration(100+100*x) * ms }, 0, 210 * ms, 190 * ms, 215 * ms},
		"runs that differ little": {func(float64) time.Duration { return 300 * ms }, 300 * ms, 0, 450 * ms, 450 * ms},
		"very short runs":         {func(float64) time.Duration { return 20 * time.Microsecond }, 0, 0, 10 * ms, 10 * ms},
		"longer than all buckets": {func(float64) time.Duration { return time.Hour }, 0, 0, 60 * time.Second, 70 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, random := hedge.NewPolicy(), rand.New(rand.NewPCG(1, 2))
			for range 2000 {
				p.Observe(key, test.run(random.Float64()))
			}
			delay, known := p.Delay(key, hedge.Expectation{Warm: test.warm, Second: 40 * ms, Objective: test.objective})
			g.Expect(known).To(BeTrue())
			g.Expect(delay).To(And(BeNumerically(">=", test.from), BeNumerically("<=", test.to)))
		})
	}
}

func pick(condition bool, yes, no time.Duration) time.Duration {
	if condition {
		return yes
	}
	return no
}

// With few runs the quantile is that of chance; another route or region says nothing.
func TestDelayIsUnknownBeforeEnoughRuns(t *testing.T) {
	g := NewWithT(t)
	p := hedge.NewPolicy()
	for range 59 {
		p.Observe(key, 100*ms)
	}
	_, known := p.Delay(key, hedge.Expectation{})
	g.Expect(known).To(BeFalse())
	p.Observe(key, 100*ms)
	_, known = p.Delay(key, hedge.Expectation{})
	g.Expect(known).To(BeTrue())
	_, known = p.Delay(hedge.Key{Upstream: "files", Route: "read", Region: "south"}, hedge.Expectation{})
	g.Expect(known).To(BeFalse())
}

// After a change of all runs, a delay that stayed short would hedge every request.
func TestDelayFollowsLongerRuns(t *testing.T) {
	g := NewWithT(t)
	p := hedge.NewPolicy()
	for range 5000 {
		p.Observe(key, 100*ms)
	}
	for range 100 {
		p.Observe(key, 400*ms)
	}
	delay, _ := p.Delay(key, hedge.Expectation{})
	g.Expect(delay).To(BeNumerically(">=", 400*ms))
	g.Expect(p.Describe()).To(HaveLen(1))
}
