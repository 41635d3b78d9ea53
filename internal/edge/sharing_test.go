package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"lovagescale/internal/admission"
	"lovagescale/internal/catalog"
)

// askForSlots lets one request of each of some workspaces arrive at each instance. Those of
// "hot" are eight times as many. Of four requests, endpoints have room for three.
func (sim *quotaSimulation) askForSlots() {
	for i, e := range sim.instances {
		for n := range 10 {
			workspace := "hot"
			if n >= 8 {
				workspace = []string{"small", "tiny"}[n-8]
			}
			e.sharing.gate.Admit(sim.now, "files", workspace, 0, 0)
			if (i+n)%4 == 0 {
				e.sharing.gate.RecordRefusal("files", workspace, 0)
			} else {
				e.sharing.gate.RecordUse("files", workspace, 0, 200*time.Millisecond)
			}
		}
	}
}

func newSharingSimulation() *quotaSimulation {
	sim := newQuotaSimulation(1, 3, 1, 4, 100)
	var workspaces []*catalog.Workspace
	for _, name := range []string{"hot", "small", "tiny"} {
		workspaces = append(workspaces, &catalog.Workspace{Name: name, Rate: 100, Burst: 100})
	}
	sim.catalog = catalog.New(2, nil, nil, workspaces, catalog.Limits{})
	for _, e := range sim.instances {
		e.catalog.Store(sim.catalog)
	}
	sim.runSharing(6 * time.Second)
	return sim
}

func (sim *quotaSimulation) runSharing(d time.Duration) {
	weights := make([]float64, len(sim.instances))
	for range int(d / simStep) {
		for _, e := range sim.instances {
			for _, workspace := range []string{"hot", "small", "tiny"} {
				e.workspaceDemand.Count(workspace)
			}
		}
		sim.askForSlots()
		sim.step(0, weights)
	}
}

// Guards against instances of different regions that compute different shares, because figures
// are lost or counted twice between them.
func TestInstancesOfAllRegionsComputeTheSameShares(t *testing.T) {
	g := NewWithT(t)
	sim := newSharingSimulation()
	// 12 instances ask for 10 requests of about 0.2 s every 50 ms, which is 480 slots.
	for _, e := range sim.instances {
		demand, share := e.sharing.gate.Share("files", "hot", 0)
		g.Expect(demand).To(BeNumerically("~", 384, 60))
		g.Expect(share).To(BeNumerically("~", 264, 45))
		ok, reason := e.sharing.gate.Admit(sim.now, "files", "hot", 0, 0.99)
		g.Expect(ok).To(BeFalse())
		g.Expect(reason).To(Equal(admission.AboveShare))
		ok, _ = e.sharing.gate.Admit(sim.now, "files", "small", 0, 0.99)
		g.Expect(ok).To(BeTrue())
	}
}

// Guards against shares that an instance goes on to compute from the figures of a fleet that it
// cannot reach any more.
func TestUnreachableInstancesLeaveTheShares(t *testing.T) {
	g := NewWithT(t)
	sim := newSharingSimulation()
	sim.partition[0] = 1
	sim.runSharing(admission.ShareLifetime + time.Second)
	for i, e := range sim.instances {
		demand, share := e.sharing.gate.Share("files", "hot", 0)
		known := 11.0
		if i == 0 {
			known = 1
		}
		g.Expect(demand).To(BeNumerically("~", 32*known, 5*known), e.settings.Instance)
		g.Expect(share).To(BeNumerically("<", 0.8*demand))
	}
}

// Guards against a refusal that does not say why, and against a limit on requests within their
// share.
func TestRefusalBeyondShareNamesDemandAndShare(t *testing.T) {
	g := NewWithT(t)
	sim := newSharingSimulation()
	e := sim.instances[0]
	q := &request{catalog: sim.catalog, workspace: sim.catalog.Workspaces["hot"], upstream: "files", route: &catalog.Route{Name: "read"}}
	g.Expect(q.limitByShare(1.4)).To(Equal(1.4))
	cause := errors.New("no room")
	g.Expect(e.recordNoRoom(q, cause)).To(Equal(cause))
	q.share = shareDecision{excess: true, reason: admission.AboveShare}
	g.Expect(q.limitByShare(1.4)).To(Equal(1.0))
	var exceeds *ExceedsShareError
	g.Expect(e.recordNoRoom(q, cause)).To(BeAssignableToTypeOf(exceeds))
	g.Expect(e.recordNoRoom(q, cause)).To(MatchError(cause))
}
