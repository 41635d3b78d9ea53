package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagescale/internal/catalog"
	"lovagescale/internal/namedlimit"
	"lovagescale/internal/placement"
	"lovagescale/internal/upstream"
)

// limitSimulation lets the instances of a fleet send requests to one endpoint that names a
// limit in its answers. Fleet messages are those of quotaSimulation.
type limitSimulation struct {
	*quotaSimulation
	// limit is what the endpoint's answers name, or 0 if they name none.
	limit float64
	// namedAt is when an answer first named the limit.
	namedAt time.Time
	// toldAt is when an instance first passed on an answer that names the limit, by index.
	toldAt []time.Time
	// excusedUntil is the time until which a fault excuses an instance, by index.
	excusedUntil []time.Time
	arrivals     []limitArrival
	// offered is the number of requests for the endpoint at instances that were up.
	offered int
	// pending are the answers under way, in the order of their arrival.
	pending []pendingAnswer
	// serviceTime is how long the endpoint takes for an answer.
	serviceTime time.Duration
	// spans are the times in which the endpoint named a limit, but for the present one.
	spans []limitSpan
	// caller returns the index of the instance at which the next request arrives.
	caller func() int
}

type limitArrival struct {
	at   time.Time
	from int
}

type pendingAnswer struct {
	at       time.Time
	sent     namedlimit.Stamp
	instance *Edge
	from     int
	endpoint *placement.Endpoint
	limit    float64
}

const (
	limitedUpstream = "files"
	// limitServiceTime is how long the endpoint usually takes for an answer.
	limitServiceTime = 150 * time.Millisecond
)

func newLimitSimulation(seed uint64, regions, zones, perZone int) *limitSimulation {
	sim := &limitSimulation{quotaSimulation: newQuotaSimulation(seed, regions, zones, perZone, 1000)}
	n := len(sim.instances)
	sim.serviceTime = limitServiceTime
	sim.caller = func() int { return sim.random.IntN(n) }
	sim.toldAt, sim.excusedUntil = make([]time.Time, n), make([]time.Time, n)
	for i := range n {
		sim.register(i)
	}
	return sim
}

// register makes the endpoint known to an instance.
func (sim *limitSimulation) register(i int) {
	s := sim.instances[i].state
	s.registry = placement.NewRegistry(s.edge.settings.Zones, func(placement.Record) *upstream.Pool {
		return upstream.NewPool("127.0.0.1:1", 1, 0)
	})
	s.register(sim.now, limitedEndpoint)
	s.publishTable(sim.now)
	s.tick(sim.now)
}

var limitedEndpoint = placement.Record{ID: "e", StartMillis: 1, Upstream: limitedUpstream, Address: "127.0.0.1:1", Zone: "r0-z0", Slots: 1000}

// makeCold lets the instances learn of each other and makes the endpoint cold.
func (sim *limitSimulation) makeCold(rate float64) {
	c := catalog.New(2, nil, []catalog.Upstream{{Name: limitedUpstream, ColdRate: rate, ColdDuration: time.Minute}}, nil, catalog.Limits{})
	for _, e := range sim.instances {
		e.catalog.Store(c)
	}
	sim.run(3*time.Second, 0)
	cold := limitedEndpoint
	cold.Sequence++
	cold.ColdLeft = time.Minute
	for _, e := range sim.instances {
		e.state.register(sim.now, cold)
	}
}

// restart restarts an instance, which excuses it as long as a restart excuses machines.
func (sim *limitSimulation) restart(i int) {
	sim.start(i)
	sim.register(i)
	sim.excusedUntil[i] = sim.now.Add(contactTime)
	sim.toldAt[i] = time.Time{}
}

// contactTime is the bound contact-s of the users' rules.
const contactTime = 4 * time.Second

// run simulates a time with the given demand, in requests per second over all instances.
func (sim *limitSimulation) run(duration time.Duration, demand float64) {
	weights := make([]float64, len(sim.instances)) // no demand on the quota
	for range int(duration / simStep) {
		sim.step(0, weights)
		sim.deliverAnswers()
		expected := demand * simStep.Seconds()
		for n := int(expected + sim.random.Float64()); n > 0; n-- {
			sim.send(sim.caller())
		}
	}
}

// send sends a request of an instance, unless the instance is down or its part of the limit
// is used up.
func (sim *limitSimulation) send(from int) { sim.sendFor(from, sim.serviceTime) }

// sendFor sends a request that the endpoint takes the given time to answer.
func (sim *limitSimulation) sendFor(from int, serviceTime time.Duration) {
	if !sim.isUp(from) {
		return
	}
	sim.offered++
	e := sim.instances[from]
	endpoint, err := e.table.Load().Choose(sim.now, placement.Request{Upstream: limitedUpstream, Region: "r0", Local: e.settings.Region == "r0", MaxUtilization: 1})
	if err != nil {
		return
	}
	sim.arrivals = append(sim.arrivals, limitArrival{sim.now, from})
	answer := pendingAnswer{sim.now.Add(serviceTime), endpoint.StampRequest(sim.now), e, from, endpoint, sim.limit}
	position := len(sim.pending)
	for position > 0 && sim.pending[position-1].at.After(answer.at) {
		position--
	}
	sim.pending = slices.Insert(sim.pending, position, answer)
}

// loseZone stops the instances of a zone for a time, then starts them again. No demand comes
// to them meanwhile.
func (sim *limitSimulation) loseZone(zone string, duration time.Duration, demand float64) {
	var lost []int
	for i, s := range sim.settings {
		if s.Zone == zone {
			lost = append(lost, i)
			sim.downUntil[i] = sim.now.Add(duration)
		}
	}
	sim.run(duration, demand)
	for _, i := range lost {
		sim.restart(i)
	}
}

// checkLimit fails the test if a window holds more requests than the rule allows.
func (sim *limitSimulation) checkLimit(t *testing.T, limit float64) {
	t.Helper()
	if worst, allowed := sim.worstWindow(), allowedUnder(limit); float64(worst) > allowed {
		t.Errorf("an endpoint with a limit of %.1f a second got %d requests in %v from %d instances; allowed %.0f",
			limit, worst, limitWindow, len(sim.instances), allowed)
	}
}

// allowedUnder returns how many requests the users' rule allows in limitWindow.
func allowedUnder(limit float64) float64 {
	const factor, slack = 1.5, 5
	return factor*limit*limitWindow.Seconds() + slack
}

func (sim *limitSimulation) deliverAnswers() {
	for len(sim.pending) > 0 && !sim.pending[0].at.After(sim.now) {
		answer := sim.pending[0]
		sim.pending = sim.pending[1:]
		answer.endpoint.HearLimit(sim.now, answer.sent, answer.limit, answer.limit > 0)
		answer.instance.table.Load().End(sim.now, answer.endpoint, placement.Answered, 1)
		if answer.limit > 0 && sim.toldAt[answer.from].IsZero() && sim.instances[answer.from] == answer.instance {
			sim.toldAt[answer.from] = sim.now
		}
		if answer.limit > 0 && sim.namedAt.IsZero() {
			sim.namedAt = sim.now
		}
	}
}

// The times of the users' rule on named limits.
const (
	limitWindow = 4 * time.Second
	toldFor     = 500 * time.Millisecond
)

// worstWindow returns the most arrivals in a window from contactTime after the endpoint
// first named its limit.
func (sim *limitSimulation) worstWindow() int {
	return sim.worstWindowIn(sim.namedAt.Add(contactTime), sim.now.Add(simStep))
}

// worstWindowIn returns the most arrivals in a window between two times. Arrivals from instances
// that were told too lately or are excused do not count.
func (sim *limitSimulation) worstWindowIn(begin, end time.Time) int {
	var counted []time.Time
	worst := 0
	for _, a := range sim.arrivals {
		told := sim.toldAt[a.from]
		if a.at.Before(begin) || !a.at.Before(end) || told.IsZero() || a.at.Before(told.Add(toldFor)) || a.at.Before(sim.excusedUntil[a.from]) {
			continue
		}
		counted = append(counted, a.at)
		for a.at.Sub(counted[0]) >= limitWindow {
			counted = counted[1:]
		}
		worst = max(worst, len(counted))
	}
	return worst
}

// Guards against an endpoint that names a limit and gets that many requests from each
// instance, or more: the limit holds over all instances together.
func TestFuzzNamedLimitHoldsOverTheFleet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Float64Range(0.2, 30).Draw(rt, "limit")
		sim := newLimitSimulation(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 3).Draw(rt, "regions"),
			rapid.IntRange(1, 2).Draw(rt, "zones"), rapid.IntRange(1, 11).Draw(rt, "instances a zone"))
		demand := limit * rapid.Float64Range(0.5, 20).Draw(rt, "demand")
		sim.run(3*time.Second, demand)
		sim.limit = limit
		for range rapid.IntRange(1, 4).Draw(rt, "spans") {
			sim.run(time.Duration(rapid.IntRange(500, 6000).Draw(rt, "ms"))*time.Millisecond, demand)
			if rapid.Bool().Draw(rt, "restart") {
				sim.restart(rapid.IntRange(0, len(sim.instances)-1).Draw(rt, "instance"))
			}
		}
		sim.run(10*time.Second, demand)
		if sim.namedAt.IsZero() {
			return
		}
		allowed := allowedUnder(limit)
		if worst := sim.worstWindow(); float64(worst) > allowed {
			rt.Fatalf("an endpoint with a limit of %.1f a second got %d requests in %v from %d instances; allowed %.0f",
				limit, worst, limitWindow, len(sim.instances), allowed)
		}
	})
}

// Guards against a limit that is divided among all instances of a large region: after a
// quiet time each of them has a request saved up, and all send it at once.
func TestNamedLimitHoldsAfterQuietTime(t *testing.T) {
	const limit = 3.0
	sim := newLimitSimulation(11, 1, 2, 33)
	sim.limit = limit
	sim.run(6*time.Second, 100*limit)
	sim.run(8*time.Second, 0)
	sim.run(4*time.Second, 100*limit)
	sim.checkLimit(t, limit)
}

// Guards against an endpoint whose limit leaves it without requests: it gets what it takes
// while it names the limit, and all of its requests once it names none.
func TestNamedLimitIsUsedAndEnds(t *testing.T) {
	for _, perZone := range []int{1, 4, 11} {
		t.Run(fmt.Sprint(perZone, " instances a zone"), func(t *testing.T) {
			sim := newLimitSimulation(7, 3, 2, perZone)
			sim.limit = 8
			sim.run(8*time.Second, 400)
			before := len(sim.arrivals)
			sim.run(8*time.Second, 400)
			if limited := len(sim.arrivals) - before; limited < 24 || limited > 64 {
				t.Fatalf("%d requests came in 8 s at a limit of 8 a second", limited)
			}
			sim.limit = 0
			sim.run(15*time.Second, 400)
			before = len(sim.arrivals)
			sim.run(time.Second, 400)
			if after := len(sim.arrivals) - before; after < 380 {
				t.Fatalf("%d of 400 requests came after the limit had ended", after)
			}
		})
	}
}

// Guards against cold endpoints that get a request from each instance of a large region at
// the same time: each had one saved up.
func TestFuzzColdRateHoldsOverLargeRegions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(3, 40).Draw(rt, "rate")
		sim := newLimitSimulation(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 2).Draw(rt, "regions"),
			rapid.IntRange(1, 2).Draw(rt, "zones"), rapid.IntRange(1, 33).Draw(rt, "instances a zone"))
		sim.makeCold(rate)
		sim.run(4*time.Second, rate*rapid.Float64Range(0.5, 40).Draw(rt, "demand"))
		worst, first := 0, 0
		for i, a := range sim.arrivals {
			for a.at.Sub(sim.arrivals[first].at) >= time.Second {
				first++
			}
			worst = max(worst, i-first+1)
		}
		const slack = 5
		if allowed := 1.5*rate + slack; float64(worst) > allowed {
			rt.Fatalf("a cold endpoint that takes %.1f requests a second got %d in a second from %d instances; allowed %.0f",
				rate, worst, len(sim.instances), allowed)
		}
	})
}
