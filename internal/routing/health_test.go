package routing

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"lovagescale/internal/upstream"
)

func TestOutliersAreEjectedUpToTheShare(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	options := still()
	options.Now = func() time.Time { return now }
	router := newRouter(1, options, &upstreamServer{address: "a"}, &upstreamServer{address: "b"},
		&upstreamServer{address: "c"}, &upstreamServer{address: "d"})
	s := router.current.Load().services["s"]
	slow := func(latency time.Duration, endpoints ...*endpoint) {
		for _, e := range endpoints {
			e.change(func(h *health) { h.samples, h.latency = samplesToEject, latency })
		}
	}
	ejected := func() int {
		n := 0
		for _, e := range s.endpoints {
			router.review(s, e)
		}
		for _, e := range s.endpoints {
			if now.Before(e.look().ejectedUntil) {
				n++
			}
		}
		return n
	}
	slow(10*time.Millisecond, s.endpoints...)
	g.Expect(ejected()).To(gomega.BeZero())
	slow(100*time.Millisecond, s.endpoints[0])
	g.Expect(ejected()).To(gomega.Equal(1))
	for _, e := range s.endpoints[1:] {
		e.change(func(h *health) { h.failures = failuresToEject })
	}
	g.Expect(ejected()).To(gomega.Equal(2))
}

func TestReportsOnlyLowerTrust(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	h := health{latency: time.Millisecond}
	before := h.score(1)
	for _, r := range []upstream.Report{
		{Healthy: true}, {Healthy: false}, {Healthy: true, InFlight: 100}, {Healthy: true, InFlight: -100},
	} {
		h.report(now, r, 1, 4, time.Second)
		g.Expect(h.score(1)).To(gomega.BeNumerically(">=", before))
	}
}

func TestAColdEndpointOpensItsSlotsOneByOne(t *testing.T) {
	g := gomega.NewWithT(t)
	h := health{}
	for answers, slots := range []int64{1, 1, 2, 2, 3} {
		g.Expect(h.allowed(2)).To(gomega.Equal(slots), "after %d answers", answers)
		h.answered(time.Millisecond)
	}
}

func TestRetriesAreAShareOfFirstTries(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBudget(0.1)
	spent := 0
	for b.spend() {
		spent++
	}
	g.Expect(spent).To(gomega.Equal(budgetCapacity / retryCost))
	spent = 0
	for range 100 {
		b.earn()
		if b.spend() {
			spent++
		}
	}
	g.Expect(spent).To(gomega.Equal(10))
	g.Expect(newBudget(-1).spend()).To(gomega.BeFalse())
}
