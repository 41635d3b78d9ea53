package edge

import (
	"testing"
	"time"

	"lovagescale/internal/catalog"
	"lovagescale/internal/placement"
)

// TestQueueLimitsOfAllRegions guards against callers near the endpoints joining longer queues
// than those of other regions, which are then refused first: the limits must not depend on the
// way to the region in which a request runs.
func TestQueueLimitsOfAllRegions(t *testing.T) {
	e := newLimitSimulation(1, 2, 1, 1).instances[0]
	for range 40 {
		e.runTimes.Observe(placement.Serving{Upstream: limitedUpstream, Region: "r0"}, "read", 100*time.Millisecond, placement.ReportedLoad{})
		e.runTimes.Observe(placement.Serving{Upstream: limitedUpstream, Region: "r1"}, "read", 210*time.Millisecond, placement.ReportedLoad{})
	}
	limitsIn := func(region string) placement.Limits {
		q := &request{
			catalog: catalog.New(1, nil, nil, nil, catalog.Limits{}), upstream: limitedUpstream, region: region,
			route:    &catalog.Route{Name: "read", Objective: 300 * time.Millisecond, Timeout: 3 * time.Second},
			deadline: time.Now().Add(3 * time.Second),
		}
		return e.utilizationLimits(time.Now(), q)
	}
	own, other := limitsIn("r0"), limitsIn("r1")
	if own != other {
		t.Errorf("limits are %+v in the own region and %+v in another one", own, other)
	}
	if own.Usual < 2.9 {
		t.Errorf("limit is %.2f, although a queue of two runs ends within the objective", own.Usual)
	}
}
