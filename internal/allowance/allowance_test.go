package allowance_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lovagescale/internal/allowance"
	"lovagescale/internal/catalog"
	_ "lovagescale/internal/fuzzseed"
)

func TestAllowance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "allowance")
}

var start = time.UnixMilli(1_000_000)

const window = 5 * time.Second

func catalogOf(rate, burst float64) *catalog.Catalog {
	return catalog.New(1, nil, nil, []*catalog.Workspace{{Name: "azul", Rate: rate, Burst: burst}}, catalog.Limits{})
}

func constantDemands(own, others float64) func(string) allowance.Demands {
	return func(string) allowance.Demands { return allowance.Demands{Own: own, Others: others} }
}

// holder is a quota holder with the demand on it, in requests per second.
type holder struct {
	quotas      *allowance.Quotas
	demandMeter *allowance.DemandMeter
	demand      float64
	pending     float64
}

func newHolder() *holder {
	return &holder{quotas: allowance.NewQuotas(window), demandMeter: allowance.NewDemandMeter()}
}

// admit counts a request of the workspace and asks the holder to admit it.
func (h *holder) admit(now time.Time, c *catalog.Catalog) bool {
	h.demandMeter.Count("azul")
	_, ok := h.quotas.Admit(now, c.Workspaces["azul"])
	return ok
}

// tick ends a period and returns the measured demand.
func (h *holder) tick(elapsed time.Duration) float64 {
	h.quotas.Tick(elapsed)
	h.demandMeter.Tick(elapsed)
	return h.demandMeter.Rates()["azul"]
}

// exchangeAndDivide ends a period: all holders report their demand to each other and
// divide the quota by it.
func exchangeAndDivide(holders []*holder, now time.Time, c *catalog.Catalog, elapsed time.Duration) {
	total := 0.0
	for _, h := range holders {
		total += h.tick(elapsed)
	}
	for _, h := range holders {
		own := h.demandMeter.Rates()["azul"]
		h.quotas.Divide(now, c, allowance.Division{Demand: constantDemands(own, total-own), Holders: len(holders)})
	}
}

// simulate runs the holders in steps of 50 ms, with an exchange of demand every 250 ms,
// and returns the number of requests admitted in each step.
func simulate(holders []*holder, c *catalog.Catalog, steps int, beforeStep func(step int)) []int {
	const step = 50 * time.Millisecond
	var admitted []int
	for i := range steps {
		now := start.Add(time.Duration(i) * step)
		beforeStep(i)
		if i%5 == 0 {
			exchangeAndDivide(holders, now, c, 5*step)
		}
		count := 0
		for _, h := range holders {
			for h.pending += h.demand * step.Seconds(); h.pending >= 1; h.pending-- {
				if h.admit(now, c) {
					count++
				}
			}
		}
		admitted = append(admitted, count)
	}
	return admitted
}

func newHolders(n int) []*holder {
	holders := make([]*holder, n)
	for i := range holders {
		holders[i] = newHolder()
	}
	return holders
}

// maxInWindow returns the highest number of requests admitted in a window of the given
// number of steps.
func maxInWindow(admitted []int, steps int) int {
	highest, sum := 0, 0
	for i, n := range admitted {
		sum += n
		if i >= steps {
			sum -= admitted[i-steps]
		}
		highest = max(highest, sum)
	}
	return highest
}

var _ = Describe("Quotas", func() {
	It("admits a workspace's requests within its rate, wherever they arrive", func() {
		holders := newHolders(8)
		c := catalogOf(40, 40)
		refused := 0
		admitted := simulate(holders, c, 600, func(step int) {
			for i, h := range holders {
				h.demand = 0
				if i == step/200 {
					h.demand = 24
				}
			}
		})
		for _, n := range admitted {
			refused -= n
		}
		refused += 24 * 30
		Expect(refused).To(BeNumerically("<", 24*30/20), "refused requests within the rate, after all demand moved twice")
	})

	It("admits rate and burst in each window for a workspace far above its rate", func() {
		holders := newHolders(8)
		c := catalogOf(43, 43)
		admitted := simulate(holders, c, 800, func(int) {
			for _, h := range holders {
				h.demand = 10
			}
		})
		sum := 0
		for _, n := range admitted[400:] {
			sum += n
		}
		Expect(sum).To(BeNumerically(">", 43*20), "admitted in the last 20 s")
		Expect(maxInWindow(admitted, 100)).To(BeNumerically("<=", 43*5+43))
	})

	It("applies a lower limit at once", func() {
		quotas := allowance.NewQuotas(window)
		high, low := catalogOf(100, 100), catalogOf(10, 10)
		quotas.Divide(start, high, allowance.Division{Demand: constantDemands(0, 0), Holders: 1})
		quotas.Divide(start.Add(time.Second), low, allowance.Division{Demand: constantDemands(0, 0), Holders: 1})
		now := start.Add(time.Second)
		count := 0
		for range 100 {
			if _, ok := quotas.Admit(now, low.Workspaces["azul"]); ok {
				count++
			}
		}
		Expect(count).To(BeNumerically("<=", 10))
	})

	It("returns the time to wait for a refused request", func() {
		quotas := allowance.NewQuotas(window)
		c := catalogOf(2, 1)
		quotas.Divide(start, c, allowance.Division{Demand: constantDemands(0, 0), Holders: 1})
		admission, ok := quotas.Admit(start, c.Workspaces["azul"])
		Expect(ok).To(BeFalse())
		Expect(admission.RetryAfter).To(BeNumerically("~", 500*time.Millisecond, 300*time.Millisecond))
	})

	It("does not limit a workspace without a rate", func() {
		quotas := allowance.NewQuotas(window)
		c := catalogOf(0, 0)
		for range 1000 {
			_, ok := quotas.Admit(start, c.Workspaces["azul"])
			Expect(ok).To(BeTrue())
		}
	})
})

// poisson returns a Poisson-distributed number of arrivals with the given mean.
func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for p := random.Float64(); p > math.Exp(-mean); n++ {
		p *= random.Float64()
	}
	return n
}

var _ = Describe("Quotas of many small workspaces", func() {
	// The workspace sends 8 requests per second, and its rate is 1.6 times that. A refused
	// request asks the other holders of its region, which has regionSize holders.
	simulateRequests := func(holderCount, regionSize int) (refused, requests int) {
		const step = 50 * time.Millisecond
		random := rand.New(rand.NewPCG(1, 2))
		c := catalogOf(13, 13)
		holders := newHolders(holderCount)
		for i := range 1200 {
			now := start.Add(time.Duration(i) * step)
			if i%5 == 0 {
				exchangeAndDivide(holders, now, c, 5*step)
			}
			if i < 200 {
				continue // the buckets fill before requests arrive
			}
			for k, h := range holders {
				for range poisson(random, 8*step.Seconds()/float64(holderCount)) {
					requests++
					granted := h.admit(now, c)
					firstHolder := k - k%regionSize
					for next := firstHolder; next < min(firstHolder+regionSize, holderCount) && !granted; next++ {
						_, granted = holders[next].quotas.Admit(now, c.Workspaces["azul"])
					}
					if !granted {
						refused++
					}
				}
			}
		}
		return refused, requests
	}

	It("refuses few requests within the rate when the zones of three regions hold the pools", func() {
		refused, requests := simulateRequests(6, 2)
		Expect(float64(refused) / float64(requests)).To(BeNumerically("<", 0.01))
	})

	It("refuses many requests if each of 87 instances holds a share", func() {
		refused, requests := simulateRequests(87, 1)
		Expect(float64(refused) / float64(requests)).To(BeNumerically(">", 0.05))
	})
})

var _ = Describe("A holder", func() {
	divide := func(q *allowance.Quotas, now time.Time, isHolder bool) {
		q.Divide(now, catalogOf(40, 40), allowance.Division{
			Demand: constantDemands(0, 0), Holders: 1, IsHolder: func(string) bool { return isHolder },
		})
	}
	countAdmitted := func(q *allowance.Quotas, now time.Time) (n int) {
		for range 200 {
			if _, ok := q.Admit(now, catalogOf(40, 40).Workspaces["azul"]); ok {
				n++
			}
		}
		return n
	}

	It("uses up its tokens but gets no new ones after another instance replaced it", func() {
		q := allowance.NewQuotas(window)
		divide(q, start, true)
		replacedAt := start.Add(500 * time.Millisecond)
		divide(q, replacedAt, false)
		Expect(countAdmitted(q, replacedAt.Add(900*time.Millisecond))).To(BeNumerically("~", 20, 1))
	})

	It("counts requests admitted before a pause of the whole process in the window that contains the pause", func() {
		q := allowance.NewQuotas(window)
		divide(q, start, true)
		now, total := start.Add(2*time.Second), 0
		q.Tick(2 * time.Second)
		for range 8 {
			total += countAdmitted(q, now)
			now = now.Add(250 * time.Millisecond)
			q.Tick(250 * time.Millisecond)
		}
		Expect(total).To(BeNumerically("~", 110, 2), "the burst and most of two seconds of the rate")
		now = now.Add(2 * time.Second)
		q.Tick(2 * time.Second)
		q.Divide(now, catalogOf(40, 40), allowance.Division{Demand: constantDemands(1, 9), Holders: 2})
		Expect(countAdmitted(q, now)).To(BeZero(), "the share of the window limit is below the number admitted")
	})

	It("starts without tokens after a pause of the whole process, because another instance may have replaced it", func() {
		q := allowance.NewQuotas(window)
		divide(q, start, true)
		resumedAt := start.Add(3 * time.Second)
		q.DiscardTokens(resumedAt)
		Expect(countAdmitted(q, resumedAt)).To(BeZero())
		Expect(countAdmitted(q, resumedAt.Add(500*time.Millisecond))).To(BeNumerically("~", 20, 1))
	})

	It("admits nothing once the other instances had time to learn that it was replaced", func() {
		q := allowance.NewQuotas(window)
		divide(q, start, true)
		replacedAt := start.Add(500 * time.Millisecond)
		divide(q, replacedAt, false)
		divide(q, replacedAt.Add(time.Second), false)
		divide(q, replacedAt.Add(2*time.Second), true)
		Expect(countAdmitted(q, replacedAt.Add(2*time.Second))).To(BeZero())
	})

	It("starts without tokens when it replaces another instance", func() {
		q := allowance.NewQuotas(window)
		divide(q, start, false)
		divide(q, start.Add(time.Minute), true)
		Expect(countAdmitted(q, start.Add(time.Minute))).To(BeZero())
	})

	It("takes at most its share from before the silence while the demand on others is stale", func() {
		q := allowance.NewQuotas(window)
		c := catalogOf(40, 40)
		division := allowance.Division{Demand: constantDemands(10, 30), Holders: 4}
		now := start
		for range 40 { // its own demand rises before the silence is detected
			q.Divide(now, c, division)
			now = now.Add(250 * time.Millisecond)
			if now.Sub(start) > 7*time.Second {
				division.Demand = constantDemands(90, 30)
			}
		}
		division.Stale = true
		for range 80 {
			now = now.Add(250 * time.Millisecond)
			q.Divide(now, c, division)
		}
		Expect(countAdmitted(q, now)).To(BeNumerically("<=", 14), "about a quarter of the burst")
	})

	It("takes at most an even share while the demand on others is incomplete", func() {
		q := allowance.NewQuotas(window)
		division := allowance.Division{Demand: constantDemands(40, 0), Holders: 4, Incomplete: true}
		q.Divide(start, catalogOf(40, 40), division)
		later := start.Add(time.Minute)
		q.Divide(later, catalogOf(40, 40), division)
		Expect(countAdmitted(q, later)).To(BeNumerically("<=", 12))
	})
})

// TestFuzzQuotaOverTheFleet moves demand between holders at random. No window may exceed
// the limit that the users check, which is 1.1 times the quota plus 20 requests.
func TestFuzzQuotaOverTheFleet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := float64(rapid.IntRange(10, 200).Draw(rt, "rate"))
		burst := rate * rapid.Float64Range(0.5, 1).Draw(rt, "burst")
		holders := newHolders(rapid.IntRange(1, 10).Draw(rt, "instances"))
		demandLevels := rapid.SliceOfN(rapid.IntRange(0, 4), len(holders)*6, len(holders)*6).Draw(rt, "demand")
		admitted := simulate(holders, catalogOf(rate, burst), 600, func(step int) {
			for i, h := range holders {
				h.demand = float64(demandLevels[step/100*len(holders)+i]) * rate / float64(len(holders))
			}
		})
		limit := (rate*window.Seconds()+burst)*1.1 + 20
		if highest := maxInWindow(admitted, 100); float64(highest) > limit {
			rt.Fatalf("%d requests in a window, the limit is %.0f", highest, limit)
		}
	})
}

var _ = Describe("HolderShare", func() {
	It("divides the whole quota", func() {
		demand := []float64{0, 1, 5, 30}
		total, sum := 36.0, 0.0
		for _, own := range demand {
			sum += allowance.HolderShare(own, total-own, len(demand))
		}
		Expect(sum).To(BeNumerically("~", 1, 1e-9))
	})
})

// TestFuzzRetryBudget lets instances make first attempts and retries at random. In any
// window the retries must stay within the ratio of the first attempts plus the burst.
func TestFuzzRetryBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const ratio, burst = 0.2, 56.0
		instances := rapid.IntRange(1, 12).Draw(rt, "instances")
		budgets := make([]*allowance.RetryBudget, instances)
		for i := range budgets {
			budgets[i] = allowance.NewRetryBudget(allowance.RetryOptions{Ratio: ratio, Burst: burst})
			budgets[i].SetInstances(instances)
		}
		firstAttempts, retries := 0, 0
		for range rapid.IntRange(1, 4000).Draw(rt, "requests") {
			b := budgets[rapid.IntRange(0, instances-1).Draw(rt, "instance")]
			b.RecordFirstAttempt("files")
			firstAttempts++
			for range rapid.IntRange(0, 3).Draw(rt, "tries") {
				take := b.TakeRetry
				if rapid.Bool().Draw(rt, "spare") {
					take = b.TakeSpareRetry
				}
				if take("files") {
					retries++
				}
			}
			if limit := ratio*float64(firstAttempts) + burst; float64(retries) > limit {
				rt.Fatalf("%d retries after %d first attempts, the limit is %.0f", retries, firstAttempts, limit)
			}
		}
	})
}

// TestFuzzHotWorkspaceAmongManyInstances raises a workspace's demand on all instances at
// once while their reports to each other are delayed. No window may exceed the limit that
// the users check.
func TestFuzzHotWorkspaceAmongManyInstances(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const step = 50 * time.Millisecond
		rate := float64(rapid.IntRange(200, 600).Draw(rt, "rate"))
		instances := rapid.IntRange(8, 80).Draw(rt, "instances")
		delay := time.Duration(rapid.IntRange(0, 1800).Draw(rt, "late ms")) * time.Millisecond
		demandFactor := rapid.Float64Range(2, 8).Draw(rt, "factor")
		c := catalogOf(rate, rate)
		holders := newHolders(instances)
		histories := make([]allowance.DemandHistory, instances)
		var admitted []int
		for i := range 500 {
			now := start.Add(time.Duration(i) * step)
			if i%5 == 0 {
				total := 0.0
				for k, h := range holders {
					h.tick(5 * step)
					histories[k].Add(now, h.demandMeter.Rates())
					total += histories[k].AsOf(now, delay)["azul"]
				}
				for k, h := range holders {
					own := histories[k].AsOf(now, delay)["azul"]
					h.quotas.Divide(now, c, allowance.Division{Demand: constantDemands(own, total-own), Holders: instances})
				}
			}
			count := 0
			for _, h := range holders {
				h.demand = 0.6 * rate / float64(instances)
				if i > 200 {
					h.demand *= demandFactor
				}
				for h.pending += h.demand * step.Seconds(); h.pending >= 1; h.pending-- {
					if h.admit(now, c) {
						count++
					}
				}
			}
			admitted = append(admitted, count)
		}
		limit := (rate*window.Seconds()+rate)*1.1 + 20
		if highest := maxInWindow(admitted, 100); float64(highest) > limit {
			rt.Fatalf("%d requests in a window, the limit is %.0f", highest, limit)
		}
	})
}

// TestFuzzPoolGoesToAndFro moves the pools of a hot workspace between the instances of
// their zones while a part of the callers still asks the previous holder. No window may
// exceed the limit that the users check.
func TestFuzzPoolGoesToAndFro(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const step = 50 * time.Millisecond
		rate := float64(rapid.IntRange(20, 400).Draw(rt, "rate"))
		zones := rapid.IntRange(1, 6).Draw(rt, "zones")
		members := rapid.IntRange(1, 8).Draw(rt, "members")
		moveInterval := rapid.IntRange(5, 100).Draw(rt, "steps between moves")
		delaySteps := rapid.IntRange(0, 20).Draw(rt, "steps until callers follow")
		c := catalogOf(rate, rate)
		zonePools := make([][]*allowance.Quotas, zones)
		for z := range zonePools {
			for range members {
				zonePools[z] = append(zonePools[z], allowance.NewQuotas(window))
			}
		}
		holderOf := func(z, i int) int { return (z + max(i, 0)/moveInterval) % members }
		var admitted []int
		for i := range 600 {
			now := start.Add(time.Duration(i) * step)
			count := 0
			for z, zone := range zonePools {
				for m, pool := range zone {
					if i%5 == 0 {
						pool.Tick(5 * step)
						pool.Divide(now, c, allowance.Division{
							Demand: constantDemands(rate, rate*float64(zones-1)), Holders: zones,
							IsHolder: func(string) bool { return m == holderOf(z, i) },
						})
					}
				}
				for n := range int(2*rate*step.Seconds()) + 1 {
					askedHolder := holderOf(z, i)
					if n%2 == 0 {
						askedHolder = holderOf(z, i-delaySteps)
					}
					if _, ok := zone[askedHolder].Admit(now, c.Workspaces["azul"]); ok {
						count++
					}
				}
			}
			admitted = append(admitted, count)
		}
		limit := (rate*window.Seconds()+rate)*1.1 + 20
		if highest := maxInWindow(admitted, 100); float64(highest) > limit {
			rt.Fatalf("%d requests in a window, the limit is %.0f", highest, limit)
		}
	})
}

// Second attempts left no retry for requests that failed.
func TestSpareRetriesLeaveRetriesForFailures(t *testing.T) {
	for _, instances := range []int{1, 30, 1000} {
		b := allowance.NewRetryBudget(allowance.RetryOptions{Ratio: 0.2, Burst: 200})
		b.SetInstances(instances)
		for range 5000 {
			b.RecordFirstAttempt("files")
		}
		taken := 0
		for b.TakeSpareRetry("files") {
			taken++
		}
		if taken == 0 {
			t.Errorf("%d instances: no second attempt is possible with a full budget", instances)
		}
		if most := 0.6 * 200 / float64(instances); most >= 3 && !b.TakeRetry("files") {
			t.Errorf("%d instances: %d second attempts left no retry", instances, taken)
		}
	}
}
