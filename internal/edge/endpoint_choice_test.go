package edge

import (
	"fmt"
	"testing"
	"time"

	"lovagescale/internal/placement"
)

// TestPlacementReports simulates instances of which one sees requests for objects and hears
// of a slow endpoint. All of them must arrive at the same number of preferred endpoints:
// otherwise each would run objects for the first time where others don't.
func TestPlacementReports(t *testing.T) {
	sim := newLimitSimulation(1, 2, 1, 3)
	serving := placement.Serving{Upstream: limitedUpstream, Region: "r0"}
	for _, e := range sim.instances {
		for i := range 7 {
			record := limitedEndpoint
			record.ID = fmt.Sprint("further-", i)
			e.state.register(sim.now, record)
		}
		e.state.publishTable(sim.now)
	}
	for i := range 200 {
		sim.instances[0].objects.Record(serving, placement.AffinityKey("files", "r", fmt.Sprint(i%30)))
	}
	expectPreferred := func(want int) {
		for i, e := range sim.instances {
			if k := e.objects.Preferred(serving); k != want {
				t.Errorf("instance %d has %d preferred endpoints for 30 objects at 8 endpoints, not %d", i, k, want)
			}
		}
	}
	sim.run(8*time.Second, 0)
	expectPreferred(1)                                   // all endpoints are alike
	for _, i := range []int{0, len(sim.instances) - 1} { // one of each region
		sim.instances[i].table.Load().Endpoint("e").SetReportedLoad(sim.now, placement.ReportedLoad{Speed: 250})
	}
	sim.run(8*time.Second, 0)
	expectPreferred(2)

	heard, other := sim.instances[0].table.Load().Endpoint("e"), sim.instances[1].table.Load().Endpoint("e")
	heard.SetReportedLoad(sim.now, placement.ReportedLoad{Speed: 300})
	slowest := 0.0
	for range 12 {
		sim.run(50*time.Millisecond, 0)
		slowest = max(slowest, other.SpeedFactor(sim.now))
	}
	if slowest < 1.2 {
		t.Errorf("another instance of the region expects a factor of %.2f at most", slowest)
	}
	sim.run(2*time.Second, 0)
	if factor := other.SpeedFactor(sim.now); factor != 1 {
		t.Errorf("factor is still %.2f", factor)
	}
}
