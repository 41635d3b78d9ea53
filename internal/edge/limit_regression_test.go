package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lovagescale/internal/fleet"
	"lovagescale/internal/namedlimit"
	"lovagescale/internal/steering"
)

// Guards against a limit that ends by time on all instances at the same moment because no
// request has reached the endpoint for a while.
func TestNamedLimitStandsWithoutDemand(t *testing.T) {
	for _, quiet := range []time.Duration{12 * time.Second, 14 * time.Second, 20 * time.Second, time.Minute} {
		t.Run(fmt.Sprint(quiet, " without demand"), func(t *testing.T) {
			const limit = 3
			sim := newLimitSimulation(5, 1, 2, 4)
			sim.limit = limit
			sim.run(6*time.Second, 100*limit)
			sim.run(quiet, 0)
			sim.run(6*time.Second, 100*limit)
			sim.checkLimit(t, limit)
		})
	}
}

// Guards against an answer without the statement that belongs to a request from before the
// limit was named: read late, it ended the limit, and reports of the limit were passed over.
func TestOlderAnswerDoesNotEndNamedLimit(t *testing.T) {
	const limit = 3
	sim := newLimitSimulation(5, 1, 2, 14)
	for i := range sim.instances {
		sim.sendFor(i, 10*time.Second)
	}
	sim.limit = limit
	sim.run(20*time.Second, 100*limit)
	sim.checkLimit(t, limit)
}

// Guards against instances that each take themselves for the only sender after the delegates of
// their region are lost: the instances of a whole zone come first by name.
func TestNamedLimitHoldsWhileZoneOfDelegatesIsLost(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 2, 4} {
		t.Run(fmt.Sprint("limit ", limit), func(t *testing.T) {
			sim := newLimitSimulation(1, 1, 2, 14)
			sim.limit = limit
			sim.run(8*time.Second, 50*limit)
			sim.loseZone("r0-z0", 8*time.Second, 50*limit)
			sim.run(8*time.Second, 50*limit)
			sim.checkLimit(t, limit)
		})
	}
}

// Guards against a limit that is shared by instances that lookups do not name: they have no
// callers, so that the endpoint gets nothing, nobody hears what it states, and the limit ends on
// all instances at the same moment.
func TestNamedLimitIsSharedByInstancesWithCallers(t *testing.T) {
	const limit, demand = 1.0, 10.0
	sim := newLimitSimulation(5, 1, 2, 14)
	sim.serviceTime = 1200 * time.Millisecond
	large := sim.makeUneven()
	sim.caller = func() int { return large[sim.random.IntN(len(large))] }
	sim.run(3*time.Second, demand)
	sim.limit = limit
	sim.run(8*time.Second, demand)
	before := len(sim.arrivals)
	sim.run(40*time.Second, demand)
	sim.checkLimit(t, limit)
	if got := len(sim.arrivals) - before; got < 10 {
		t.Errorf("%d requests came in 40 s at a limit of %.0f a second", got, limit)
	}
	sim.limit = 0
	sim.run(30*time.Second, demand)
	before = len(sim.arrivals)
	sim.run(10*time.Second, demand)
	if got := len(sim.arrivals) - before; got < 90 {
		t.Errorf("%d of 100 requests came after the limit had ended", got)
	}
}

// Guards against an instance that starts after the endpoint was last heard and does not learn of
// its limit: the delegates pass on every limit that stands.
func TestStartingInstanceLearnsOfNamedLimits(t *testing.T) {
	sim := newLimitSimulation(5, 1, 2, 4)
	sim.limit = 3
	sim.run(6*time.Second, 300)
	sim.run(20*time.Second, 0)
	for i := range sim.instances {
		sim.restart(i)
		sim.run(4*time.Second, 0)
		endpoint := sim.instances[i].table.Load().Endpoint(limitedEndpoint.ID)
		if _, inForce := endpoint.Limit(sim.now); !inForce {
			t.Errorf("instance %d does not know the limit 4 s after its start", i)
		}
	}
}

// makeUneven makes every third instance large, but none that shares a limit of one request a
// second if all instances may, and returns the indices of the large ones.
func (sim *limitSimulation) makeUneven() []int {
	var members []fleet.Member
	for _, e := range sim.instances {
		members = append(members, e.state.fleet.Self())
	}
	senders := fleet.Preferred(members, limitedEndpoint.ID, namedlimit.Senders(1))
	var large []int
	for i, e := range sim.instances {
		capacity := steering.Capacity{LinkMbps: 10, Cores: 0.16}
		if i%3 == 1 && !slices.Contains(senders, e.state.fleet.Self()) {
			capacity = steering.Capacity{LinkMbps: 200, Cores: 0.8}
			large = append(large, i)
		}
		sim.settings[i].Capacity = capacity
		e.state.fleet.SetCapacity(capacity)
	}
	return large
}
