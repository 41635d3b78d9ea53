package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lovagescale/internal/catalog"
	"lovagescale/internal/hedge"
	"lovagescale/internal/placement"
)

// newHedgeable returns a request that may get a second attempt, and its first endpoint.
func newHedgeable(g *WithT) (*Edge, *request, *placement.Endpoint) {
	e := newServingEdge()
	for _, id := range []string{"i-1", "i-2"} {
		e.state.register(time.Now(), placement.Record{ID: id, StartMillis: 1, Upstream: "files", Address: "127.0.0.1:1", Zone: "north-1", Slots: 4})
	}
	e.state.publishTable(time.Now())
	route := &catalog.Route{Name: "read", Kind: catalog.Idempotent, Objective: 500 * time.Millisecond, MaxAttempts: 2}
	q := &request{route: route, catalog: e.catalog.Load(), upstream: "files", region: "north", maxAttempts: 2,
		started: time.Now(), deadline: time.Now().Add(time.Minute)}
	first, err := e.chooseEndpoint(time.Now(), q, nil)
	g.Expect(err).NotTo(HaveOccurred())
	for range 100 {
		e.hedging.policy.Observe(hedge.Key{Upstream: "files", Route: "read", Region: "north"}, 100*time.Millisecond)
	}
	return e, q, first
}

// A second attempt of such requests would run an action twice, exceed the route's attempts or
// end too late.
func TestRequestsWithoutSecondAttempt(t *testing.T) {
	g := NewWithT(t)
	e, q, first := newHedgeable(g)
	_, possible := e.hedgeDelay(q, first, nil)
	g.Expect(possible).To(BeTrue())
	for name, change := range map[string]func(*request, *catalog.Route){
		"at most once":        func(_ *request, r *catalog.Route) { r.Kind = catalog.AtMostOnce },
		"no objective":        func(_ *request, r *catalog.Route) { r.Objective = 0 },
		"of another instance": func(q *request, _ *catalog.Route) { q.handedOver = true },
		"beyond its share":    func(q *request, _ *catalog.Route) { q.share.excess = true },
		"one attempt":         func(q *request, _ *catalog.Route) { q.maxAttempts = 1 },
		"little time left":    func(q *request, _ *catalog.Route) { q.deadline = time.Now().Add(110 * time.Millisecond) },
	} {
		changed, route := *q, *q.route
		change(&changed, &route)
		changed.route = &route
		_, possible := e.hedgeDelay(&changed, first, nil)
		g.Expect(possible).To(BeFalse(), name)
	}
	_, possible = e.hedgeDelay(q, first, []attempt{{endpoint: first, result: placement.Failed}})
	g.Expect(possible).To(BeFalse(), "after a retry")
}

// A second attempt that was not made kept its slot, or exceeded the budget.
func TestSecondAttemptNeedsRoomAndBudget(t *testing.T) {
	g := NewWithT(t)
	e, q, first := newHedgeable(g)
	tried := []attempt{{endpoint: first, result: placement.Abandoned}}
	second := &secondAttempt{done: make(chan struct{})}
	g.Expect(e.runSecond(t.Context(), q, second, tried)).To(BeFalse())
	g.Expect(e.hedging.noBudget.Count()).To(Equal(int64(1)))
	g.Expect(e.table.Load().Utilization(time.Now(), "files")["north"]).To(Equal(1.0 / 8))

	for range 20 {
		e.retryBudget.RecordFirstAttempt("files")
	}
	for range 3 {
		_, err := e.chooseEndpoint(time.Now(), q, tried)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(e.runSecond(t.Context(), q, second, tried)).To(BeFalse())
	g.Expect(e.hedging.noRoom.Count()).To(Equal(int64(1)))
	g.Expect(second.sentTo.Load()).To(BeNil())
}
