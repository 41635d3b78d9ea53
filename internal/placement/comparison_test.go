package placement_test

import (
	"testing"
	"time"

	"lovagescale/internal/placement"
)

// comparisonTime is how long a policy is measured. The figures in the documentation are of
// 40 s.
const comparisonTime = 15 * time.Second

func present(*driver, *chooser, *placement.Request) {}

func twoRandom(d *driver, _ *chooser, r *placement.Request) {
	r.AffinityKey, r.Preferred = d.random.Uint64()|1, 2
}

func byUtilization(k int) policy {
	return func(_ *driver, _ *chooser, r *placement.Request) { r.Preferred = k }
}

func byCompletion(k int) policy {
	return func(d *driver, c *chooser, r *placement.Request) {
		r.Preferred, r.TimeLeft = k, d.deadline
		r.Expected, _ = c.runTimes.Expect(serving, "r")
	}
}

// catalogue is the catalogue of deployment B in one of its two large regions.
func catalogue() pattern {
	return pattern{endpoints: 106, slots: 6, objects: 309, keptWarm: 17, choosers: 11, rate: 620, firstRun: 1100 * time.Millisecond,
		objective: time.Second, deadline: 6 * time.Second, slowFraction: 0.15, slowFactor: 2.5, noise: 600 * time.Millisecond,
		tailFraction: 0.03, tailFactor: 7, reportEvery: 350 * time.Millisecond}
}

// orders is the orders of deployment A in one of its two large regions, whose instances
// report once in 640 ms. Endpoints report no speed there.
func orders() pattern {
	return pattern{endpoints: 27, slots: 5, objects: 93, keptWarm: 21, choosers: 20, rate: 260, firstRun: 840 * time.Millisecond,
		objective: 600 * time.Millisecond, deadline: 4 * time.Second, reportEvery: 640 * time.Millisecond,
		stated: func(int, int) int { return 0 }}
}

// TestComparison compares the choice of one preferred endpoint, the less loaded of two random
// endpoints, the less loaded of two preferred ones and the one with the earlier expected
// completion. It guards against a change that costs first runs, or that sends the requests
// of many instances to the same endpoint.
func TestComparison(t *testing.T) {
	busy := catalogue()
	busy.rate = 950
	manyChoosers, lastingNoise := busy, busy
	manyChoosers.choosers, manyChoosers.reportEvery = 33, time.Second
	lastingNoise.noise = 3 * time.Second
	thirdSlow := busy
	thirdSlow.slowFraction, thirdSlow.rate = 0.33, 700
	for _, c := range []struct {
		name string
		pattern
		// minGain is by how much the share within the objective must exceed that of one
		// preferred endpoint.
		minGain float64
	}{
		{"catalogue", catalogue(), 0.005},
		{"catalogue, busy", busy, 0.08},
		{"33 choosers, reports each second", manyChoosers, 0.08},
		{"noise changes every 3 s", lastingNoise, 0.08},
		{"a third slow at once", thirdSlow, 0.05},
		{"orders", orders(), 0.015},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			run := func(name string, choose policy) outcome {
				o := compare(c.pattern, choose, 3, comparisonTime)
				t.Logf("%-34s %-20s %s", c.name, name, o)
				return o
			}
			one, random := run("one preferred", present), run("two random", twoRandom)
			utilization, completion := run("two, by utilization", byUtilization(2)), run("two, by completion", byCompletion(2))
			run("three, by completion", byCompletion(3))
			if gain := completion.withinShare() - one.withinShare(); gain < c.minGain {
				t.Errorf("gain over one preferred endpoint is %.3f, below %.3f", gain, c.minGain)
			}
			if completion.withinShare() < utilization.withinShare()-0.01 || completion.withinShare() < random.withinShare() {
				t.Errorf("fewer requests within the objective than by utilization or at random")
			}
			if completion.firstRunShare() > one.firstRunShare()+0.01 {
				t.Errorf("first runs are %.3f of the runs, with one preferred endpoint %.3f", completion.firstRunShare(), one.firstRunShare())
			}
			if completion.peak > one.peak {
				t.Errorf("peak utilization %.2f, with one preferred endpoint %.2f", completion.peak, one.peak)
			}
		})
	}
}

// TestFaultySpeeds lets endpoints report wrong speeds. The outcome must be about that without
// speeds: a speed that is trusted for good would keep requests away from half of the
// endpoints.
func TestFaultySpeeds(t *testing.T) {
	base := catalogue()
	base.rate, base.slowFraction = 950, 0
	want := compare(base, byUtilization(2), 3, comparisonTime)
	for name, stated := range map[string]func(endpoint, speed int) int{
		"always usual":     func(int, int) int { return 100 },
		"always 10,000":    func(int, int) int { return 10_000 },
		"half of them 500": func(endpoint, _ int) int { return []int{100, 500}[endpoint%2] },
		"absent":           func(int, int) int { return 0 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := base
			p.stated = stated
			got := compare(p, byCompletion(2), 3, comparisonTime)
			t.Logf("%s; by utilization: %s", got, want)
			if got.withinShare() < want.withinShare()-0.02 {
				t.Errorf("%.3f within the objective, without speeds %.3f", got.withinShare(), want.withinShare())
			}
		})
	}
}

// TestOldBuildsBesideNew lets half of the choosers use one preferred endpoint and send no
// speeds. It must cost no first runs, and serve no fewer requests than the old build alone.
func TestOldBuildsBesideNew(t *testing.T) {
	p := catalogue()
	p.rate = 950
	mixed := func(d *driver, c *chooser, r *placement.Request) {
		for i, known := range d.choosers {
			if known == c && i%2 == 0 {
				byCompletion(2)(d, c, r)
			}
		}
	}
	old, both := compare(p, present, 3, comparisonTime), compare(p, mixed, 3, 40*time.Second)
	t.Logf("old: %s; old and new: %s", old, both)
	if both.withinShare() < old.withinShare() || both.firstRunShare() > old.firstRunShare()+0.01 {
		t.Errorf("worse than the old build alone")
	}
}
