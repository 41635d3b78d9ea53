package edge

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lovagescale/internal/catalog"
	"lovagescale/internal/refusal"
)

func TestEdge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "edge")
}

var _ = Describe("quota pools of a starting instance", func() {
	// All instances start while the answers of the store are lost: each has the
	// configuration and knows no other instance. Six instances admitted 2.6 times the
	// quota.
	It("admit nothing before other instances can know of it", func() {
		c := catalog.New(1, nil, nil, []*catalog.Workspace{{Name: "azul", Rate: 20, Burst: 20}}, catalog.Limits{})
		admitted := func(e *Edge, now time.Time) (n int) {
			for range 100 {
				if e.pools.Borrow(now, c.Workspaces["azul"], 1, nil).Granted {
					n++
				}
			}
			return n
		}
		start := func(seeds ...string) *Edge {
			e := New(Settings{Instance: "one", Zone: "north-1", Region: "north", Link: "one", Seeds: seeds,
				Zones: map[string]string{"north-1": "north"}, Bounds: DefaultBounds()}, Ports{}, zerolog.Nop())
			e.catalog.Store(c)
			return e
		}
		run := func(e *Edge, from time.Time) time.Time {
			for range 8 {
				from = from.Add(tickInterval)
				e.state.tick(from)
			}
			return from
		}

		one := start("one", "two")
		now := run(one, time.UnixMilli(1_000_000))
		Expect(admitted(one, now)).To(BeZero())
		one.state.fleet.ApplyRegistration(now, one.state.fleet.Self())
		now = run(one, now)
		Expect(admitted(one, now)).To(BeNumerically("~", 20, 1))

		alone := start("one")
		now = run(alone, time.UnixMilli(1_000_000))
		Expect(admitted(alone, now)).To(BeNumerically("~", 20, 1), "there is no other instance")
	})
})

// Requests that their quota refuses added to the retry budget and to the demand that moves
// requests between regions, as if they had been sent.
func TestRequestsWithoutTokenCountAsNoArrivals(t *testing.T) {
	g := NewWithT(t)
	e, q, _ := newHedgeable(g)
	e.startedAt = time.Now().Add(-time.Minute)
	workspace := &catalog.Workspace{Name: "verde", Rate: 1, Burst: 1}
	for range 100 {
		refusedRequest := *q
		refusedRequest.workspace = workspace
		_, _, refused := e.runAttempts(context.Background(), &refusedRequest)
		g.Expect(refused.Kind).To(Equal(refusal.RateExceeded))
	}
	e.stats.Tick(time.Second)
	g.Expect(e.stats.UpstreamDemand()).To(BeEmpty())
	g.Expect(e.retryBudget.TakeRetry("files")).To(BeFalse())
	g.Expect(e.table.Load().Endpoint("i-1").InFlight()+e.table.Load().Endpoint("i-2").InFlight()).To(Equal(1), "the slot of the request from the set-up")
}
