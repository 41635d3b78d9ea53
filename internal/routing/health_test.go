package routing

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"lovagescale/internal/upstream"
)

// With the default EjectShare of 0.5, two of four endpoints may be ejected, however many are
// outliers.
func TestOutliersAreEjectedUpToEjectShare(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	options := optionsWithoutTimers()
	options.Now = func() time.Time { return now }
	router := newRouter(1, options, &upstreamServer{address: "a"}, &upstreamServer{address: "b"},
		&upstreamServer{address: "c"}, &upstreamServer{address: "d"})
	s := router.table.Load().services["s"]
	setLatency := func(latency time.Duration, endpoints ...*endpoint) {
		for _, e := range endpoints {
			e.updateHealth(func(h *health) { h.answers, h.averageLatency = minAnswersToEject, latency })
		}
	}
	countEjected := func() int {
		n := 0
		for _, e := range s.endpoints {
			router.ejectIfOutlier(s, e)
		}
		for _, e := range s.endpoints {
			if now.Before(e.healthSnapshot().ejectedUntil) {
				n++
			}
		}
		return n
	}
	setLatency(10*time.Millisecond, s.endpoints...)
	g.Expect(countEjected()).To(gomega.BeZero())
	setLatency(100*time.Millisecond, s.endpoints[0])
	g.Expect(countEjected()).To(gomega.Equal(1))
	for _, e := range s.endpoints[1:] {
		e.updateHealth(func(h *health) { h.consecutiveFailures = failuresToEject })
	}
	g.Expect(countEjected()).To(gomega.Equal(2))
}

func TestHealthReportsNeverImproveScore(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	h := health{averageLatency: time.Millisecond}
	before := h.score(1)
	for _, r := range []upstream.Report{
		{Healthy: true}, {Healthy: false}, {Healthy: true, InFlight: 100}, {Healthy: true, InFlight: -100},
	} {
		h.applyReport(now, r, 1, 4, time.Second)
		g.Expect(h.score(1)).To(gomega.BeNumerically(">=", before))
	}
}

func TestRampLimitGrowsWithAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	h := health{}
	for answers, slots := range []int64{1, 1, 2, 2, 3} {
		g.Expect(h.rampLimit(2)).To(gomega.Equal(slots), "after %d answers", answers)
		h.recordAnswer(time.Millisecond)
	}
}

func TestRetryBudgetIsShareOfFirstAttempts(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newRetryBudget(0.1)
	withdrawn := 0
	for b.withdraw() {
		withdrawn++
	}
	g.Expect(withdrawn).To(gomega.Equal(retryBudgetCapacity / retryCost))
	withdrawn = 0
	for range 100 {
		b.deposit()
		if b.withdraw() {
			withdrawn++
		}
	}
	g.Expect(withdrawn).To(gomega.Equal(10))
	g.Expect(newRetryBudget(-1).withdraw()).To(gomega.BeFalse())
}
