package edge

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lovagescale/internal/catalog"
)

// After a restart of all instances, none is known to others for some 100 ms. Requests
// within the rate were refused until then, and until the next tick.
func TestRequestsWaitForTheSharesOfAStartingInstance(t *testing.T) {
	g := NewWithT(t)
	workspace := &catalog.Workspace{Name: "azul", Rate: 100, Burst: 100}
	route := &catalog.Route{Objective: 400 * time.Millisecond, Timeout: 4 * time.Second}
	start := func() *Edge {
		e := New(Settings{Instance: "one", Zone: "north-1", Region: "north", Link: "one", Seeds: []string{"two"},
			Zones: map[string]string{"north-1": "north"}, Bounds: DefaultBounds()}, Ports{}, zerolog.Nop())
		e.catalog.Store(catalog.New(1, nil, nil, []*catalog.Workspace{workspace}, catalog.Limits{}))
		go e.loop.Run(t.Context())
		g.Expect(e.loop.Call(t.Context(), e.state.tickNow)).To(Succeed())
		return e
	}
	admit := func(e *Edge) (admitted bool, took time.Duration) {
		q := &request{workspace: workspace, route: route, started: time.Now()}
		refused := e.admit(context.Background(), q)
		return refused == nil, time.Since(q.started)
	}

	e := start()
	time.AfterFunc(100*time.Millisecond, func() {
		e.loop.TryPost(func() {
			now := time.Now()
			e.state.divideOnceAcknowledged(now, func() { e.state.fleet.ApplyRegistration(now, e.state.fleet.Self()) })
		})
	})
	admitted, took := admit(e)
	g.Expect(admitted).To(BeTrue())
	g.Expect(took).To(BeNumerically(">=", 100*time.Millisecond))

	admitted, took = admit(start())
	g.Expect(admitted).To(BeFalse(), "nobody knows of the instance")
	g.Expect(took).To(BeNumerically("<=", route.Objective+50*time.Millisecond))

	later := start()
	later.startedAt = time.Now().Add(-startupTime)
	admitted, took = admit(later)
	g.Expect(admitted).To(BeFalse())
	g.Expect(took).To(BeNumerically("<", minQuotaPoll), "what cannot be served is refused at once")
}

func TestStartupWaitIsBounded(t *testing.T) {
	g := NewWithT(t)
	longest := 300 * time.Millisecond
	g.Expect(startupWait(0, 0, longest, time.Second)).To(Equal(maxQuotaPoll))
	g.Expect(startupWait(0, 0, longest, 0)).To(Equal(minQuotaPoll))
	g.Expect(startupWait(0, 290*time.Millisecond, longest, 0)).To(BeZero())
	g.Expect(startupWait(startupTime, 0, longest, 0)).To(BeZero())
	g.Expect(startupWait(0, 0, 0, 0)).To(BeZero(), "a route without an objective")
}
