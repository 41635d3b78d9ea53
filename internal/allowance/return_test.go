package allowance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/allowance"
	"lovagescale/internal/catalog"
)

var _ = Describe("a returned token", func() {
	admitAll := func(quotas *allowance.Quotas, now time.Time, c *catalog.Catalog) (periods []uint64) {
		for {
			admission, ok := quotas.Admit(now, c.Workspaces["azul"])
			if !ok {
				return periods
			}
			periods = append(periods, admission.Period)
		}
	}
	newQuotas := func(c *catalog.Catalog) *allowance.Quotas {
		quotas := allowance.NewQuotas(window)
		for range 40 {
			quotas.Divide(start, c, allowance.Division{Demand: constantDemands(10, 0), Holders: 1})
			quotas.Tick(50 * time.Millisecond)
		}
		return quotas
	}

	// Guards against requests that did not run counting against the quota.
	It("admits another request in the same window", func() {
		c := catalogOf(20, 20)
		quotas := newQuotas(c)
		now := start.Add(2 * time.Second)
		taken := admitAll(quotas, now, c)
		Expect(len(taken)).To(BeNumerically(">", 10))
		Expect(quotas.Return(now, "azul", taken[0], 1)).To(Equal(1))
		Expect(admitAll(quotas, now, c)).To(HaveLen(1))
	})

	// Guards against windows that exceed the quota because a token is credited to another
	// period than the one in which it was taken.
	It("is not credited once its period has left the window", func() {
		c := catalogOf(20, 20)
		quotas := newQuotas(c)
		taken := admitAll(quotas, start.Add(2*time.Second), c)
		for range 110 {
			quotas.Tick(50 * time.Millisecond)
		}
		Expect(quotas.Return(start.Add(8*time.Second), "azul", taken[0], 1)).To(BeZero())
		Expect(quotas.Return(start.Add(8*time.Second), "verde", taken[0], 1)).To(BeZero(), "another workspace")
	})

	It("is not credited more often than tokens were taken in its period", func() {
		c := catalogOf(20, 20)
		quotas := newQuotas(c)
		now := start.Add(2 * time.Second)
		taken := admitAll(quotas, now, c)
		credited := 0
		for range 3 * len(taken) {
			credited += quotas.Return(now, "azul", taken[0], 2)
		}
		Expect(credited).To(Equal(len(taken)))
	})

	// The bucket holds tokens while the window is full: the time until the next token was
	// negative, so that every request asked the pool again at once.
	It("leaves a wait above 0 for requests that the window refuses", func() {
		c := catalogOf(20, 20)
		quotas := allowance.NewQuotas(window)
		for step := range 400 {
			now := start.Add(time.Duration(step) * 50 * time.Millisecond)
			quotas.Tick(50 * time.Millisecond)
			quotas.Divide(now, c, allowance.Division{Demand: constantDemands(200, 0), Holders: 1})
			for range 10 {
				if admission, ok := quotas.Admit(now, c.Workspaces["azul"]); !ok {
					Expect(admission.RetryAfter).To(BeNumerically(">", 0))
				}
			}
		}
	})
})
