package edge

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lovagescale/internal/fleet"
	"lovagescale/internal/placement"
)

// Guards against requests that must run in another region being sent to endpoints whose slots
// are taken, because the instance asks for their loads only while it has a request there.
func TestLoadsOfRegionsOfPinnedRequestsAreKnown(t *testing.T) {
	g := NewWithT(t)
	sim := newLimitSimulation(1, 2, 1, 3)
	sim.run(5*time.Second, 0)
	own := sim.instances[slices.IndexFunc(sim.instances, func(e *Edge) bool { return !e.state.fleet.IsDelegate(sim.now) })]
	busy := sim.instances[slices.IndexFunc(sim.instances, func(e *Edge) bool { return e.settings.Region != own.settings.Region })]
	record := limitedEndpoint
	record.ID, record.Zone = "remote", busy.settings.Zone
	for _, e := range sim.instances {
		e.state.register(sim.now, record)
		e.state.publishTable(sim.now)
	}
	for range 7 {
		_, err := busy.table.Load().Choose(sim.now, placement.Request{Upstream: limitedUpstream, Region: busy.settings.Region, Local: true, MaxUtilization: 1})
		g.Expect(err).NotTo(HaveOccurred())
	}

	own.stats.RecordArrival(limitedUpstream, busy.settings.Region)
	sim.run(6*time.Second, 0)
	known := func() int { return own.state.peerActivity.EndpointLoads[fleet.KeyOf("remote")] }
	g.Expect(known()).To(Equal(7))
	sim.run(pinnedUseLifetime+5*time.Second, 0)
	g.Expect(known()).To(BeZero(), "no request has had to run there for long")
}
