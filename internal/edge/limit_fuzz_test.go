package edge

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// limitSpan is a time in which the endpoint names the same limit.
type limitSpan struct {
	limit float64
	// begin is when an answer first named the limit in this span, or the zero time. end is when
	// the endpoint ceased to name it.
	begin, end time.Time
}

// setLimit makes the endpoint name another limit from now on, or none if it is 0.
func (sim *limitSimulation) setLimit(limit float64) {
	sim.endSpan()
	sim.limit, sim.namedAt = limit, time.Time{}
}

func (sim *limitSimulation) endSpan() {
	if sim.limit > 0 && !sim.namedAt.IsZero() {
		sim.spans = append(sim.spans, limitSpan{limit: sim.limit, begin: sim.namedAt, end: sim.now})
	}
}

// checkSpans fails the test if a window in a span holds more requests than the rule allows. An
// instance counts as told if it passed on any earlier statement.
func (sim *limitSimulation) checkSpans(rt *rapid.T) {
	sim.endSpan()
	for _, span := range sim.spans {
		if worst, allowed := sim.worstWindowIn(span.begin.Add(contactTime), span.end), allowedUnder(span.limit); float64(worst) > allowed {
			rt.Fatalf("an endpoint with a limit of %.2f a second got %d requests in %v from %d instances between %v and %v; allowed %.0f",
				span.limit, worst, limitWindow, len(sim.instances), span.begin.UnixMilli(), span.end.UnixMilli(), allowed)
		}
	}
}

// lookupsNameOnly reports whether lookups name just the given large instances: those of one zone
// alone are not enough.
func (sim *limitSimulation) lookupsNameOnly(large []int) bool {
	zones := make(map[string]bool)
	for _, i := range large {
		zones[sim.settings[i].Zone] = true
	}
	return len(zones) > 1
}

// pause pauses an instance, which excuses it as long as a freeze excuses machines.
func (sim *limitSimulation) pause(i int, duration time.Duration) {
	sim.downUntil[i] = sim.now.Add(duration)
	sim.excusedUntil[i] = sim.downUntil[i].Add(contactTime)
}

// Guards against a limit that holds only while all goes well: endpoints name, change and drop
// limits while zones are lost, instances restart or pause, answers come late and demand stops. No
// window holds more requests than allowed, and once no limit is named all requests come again.
func TestFuzzNamedLimitUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		zones, perZone := rapid.IntRange(1, 2).Draw(rt, "zones"), rapid.IntRange(1, 12).Draw(rt, "instances a zone")
		sim := newLimitSimulation(rapid.Uint64().Draw(rt, "seed"), 1, zones, perZone)
		sim.serviceTime = time.Duration(rapid.IntRange(20, 1200).Draw(rt, "service ms")) * time.Millisecond
		if perZone > 2 && zones > 1 && rapid.Bool().Draw(rt, "uneven") {
			large := sim.makeUneven()
			if sim.lookupsNameOnly(large) {
				sim.caller = func() int { return large[sim.random.IntN(len(large))] }
			}
		}
		limits := rapid.Float64Range(0.2, 8)
		demand := rapid.Float64Range(0.5, 40).Draw(rt, "demand")
		n := len(sim.instances)
		instance := rapid.IntRange(0, n-1)
		ms := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(rt, name)) * time.Millisecond
		}
		sim.run(3*time.Second, demand)
		sim.setLimit(limits.Draw(rt, "limit"))
		for range rapid.IntRange(1, 5).Draw(rt, "events") {
			sim.run(ms("calm ms", 500, 6000), demand)
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0:
				sim.run(ms("quiet ms", 3000, 20000), 0)
			case 1:
				sim.restart(instance.Draw(rt, "restarted"))
			case 2:
				sim.loseZone("r0-z0", ms("outage ms", 500, 9000), demand)
			case 3:
				sim.setLimit(0)
				sim.run(ms("unlimited ms", 200, 9000), demand)
				sim.setLimit(limits.Draw(rt, "limit"))
			case 4:
				sim.sendFor(instance.Draw(rt, "late"), ms("late ms", 1000, 9000))
			case 5:
				sim.pause(instance.Draw(rt, "paused"), ms("pause ms", 500, 5000))
			case 6:
				sim.setLimit(limits.Draw(rt, "limit"))
			}
		}
		sim.run(6*time.Second, demand)
		sim.checkSpans(rt)
		if demand < 5 {
			return
		}
		sim.setLimit(0)
		sim.run(30*time.Second, demand)
		arrived, offered := len(sim.arrivals), sim.offered
		sim.run(4*time.Second, demand)
		if arrived, offered = len(sim.arrivals)-arrived, sim.offered-offered; arrived < offered {
			rt.Fatalf("%d of %d requests came, 30 s after the limit had ended", arrived, offered)
		}
	})
}
