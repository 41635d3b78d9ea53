package placement_test

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lovagescale/internal/placement"
)

// totalIncrease returns the sum of the increases of all shares.
func totalIncrease(before, after map[string]float64) float64 {
	total := 0.0
	for region, share := range after {
		total += math.Max(share-before[region], 0)
	}
	return total
}

func sharesOf(s *placement.Shares) map[string]float64 {
	shares := make(map[string]float64)
	for _, w := range s.Weights() {
		shares[w.Name] = w.Weight
	}
	return shares
}

var _ = Describe("Shares under periodic demand", func() {
	// The demand on the small region oscillates by about half around its slots, out of phase
	// with that on the large ones. An object whose region changes is processed there for
	// the first time, so that moves should be few.
	capacity := map[string]float64{"small": 300, "east": 1200, "west": 1500}
	demandAt := func(seconds float64) map[string]float64 {
		wave := func(phase float64) float64 { return 1 + 0.55*math.Sin(2*math.Pi*(seconds/36+phase)) }
		return map[string]float64{"small": 320 * wave(0), "east": 320 * wave(0.33), "west": 320 * wave(0.67)}
	}
	const perSecond = 0.045
	simulate := func(move func(s *placement.Shares, plan, demand map[string]float64)) (moved, worstUtilization float64) {
		var s placement.Shares
		s.MoveToward(placement.Plan("small", demandAt(0), capacity), capacity, 1)
		for second := range 144 {
			demand := demandAt(float64(second))
			before := sharesOf(&s)
			move(&s, placement.Plan("small", demand, capacity), demand)
			moved += totalIncrease(before, sharesOf(&s))
			worstUtilization = math.Max(worstUtilization, sharesOf(&s)["small"]*demand["small"]/capacity["small"])
		}
		return moved, worstUtilization
	}
	rebalance := func(s *placement.Shares, plan, demand map[string]float64) {
		utilization := make(map[string]float64)
		for region, slots := range capacity {
			utilization[region] = demand[region] / slots
		}
		utilization["small"] *= sharesOf(s)["small"]
		s.Rebalance(plan, capacity, placement.StepLimits{Offload: perSecond, Return: 1.0 / 120},
			placement.UpstreamLoad{Region: "small", Demand: demand, Available: capacity, Utilization: utilization})
	}

	It("moves few objects while the shares overload no region", func() {
		unconditional, _ := simulate(func(s *placement.Shares, plan, _ map[string]float64) { s.MoveToward(plan, capacity, perSecond) })
		moved, worstUtilization := simulate(rebalance)
		Expect(moved).To(BeNumerically("<", unconditional/2))
		Expect(worstUtilization).To(BeNumerically("<", 0.9))
	})

	It("moves requests away from an overloaded region until the plan is reached", func() {
		var s placement.Shares
		s.MoveToward(map[string]float64{"small": 1}, capacity, 1)
		demand := map[string]float64{"small": 600, "east": 100, "west": 100}
		plan := placement.Plan("small", demand, capacity)
		for range 30 {
			rebalance(&s, plan, demand)
		}
		Expect(sharesOf(&s)["small"]).To(BeNumerically("~", plan["small"], 0.05))
	})

	It("moves all requests at once away from a region that has lost its slots", func() {
		var s placement.Shares
		s.MoveToward(map[string]float64{"small": 0.5, "east": 0.5}, capacity, 1)
		remaining := map[string]float64{"small": 0, "east": 1200, "west": 1500}
		demand := map[string]float64{"small": 30, "east": 30, "west": 30}
		s.Rebalance(placement.Plan("small", demand, remaining), remaining, placement.StepLimits{Offload: perSecond}, placement.UpstreamLoad{Region: "small", Demand: demand, Available: remaining})
		Expect(sharesOf(&s)["small"]).To(BeZero())
	})
})

// TestFuzzSharesFollowSlowly rebalances shares with random plans, demand and utilization.
// No move may exceed the larger step, and the shares must add up to 1.
func TestFuzzSharesFollowSlowly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := map[string]float64{"north": 100, "south": 100, "east": 100}
		steps := placement.StepLimits{Offload: 0.05, Return: 0.002}
		var s placement.Shares
		s.MoveToward(map[string]float64{"north": 1, "south": 0, "east": 0}, capacity, 1)
		for range rapid.IntRange(1, 60).Draw(rt, "moves") {
			before := sharesOf(&s)
			drawByRegion := func(name string) map[string]float64 {
				drawn := make(map[string]float64)
				for _, region := range []string{"north", "south", "east"} {
					drawn[region] = rapid.Float64Range(0, 1.5).Draw(rt, name+region)
				}
				return drawn
			}
			demand := drawByRegion("demand")
			for region := range demand {
				demand[region] *= 100
			}
			s.Rebalance(placement.Plan("north", demand, capacity), capacity, steps,
				placement.UpstreamLoad{Region: "north", Demand: demand, Available: capacity, Utilization: drawByRegion("fill")})
			after, sum := sharesOf(&s), 0.0
			for _, share := range after {
				sum += share
			}
			if moved := totalIncrease(before, after); moved > steps.Offload+1e-9 || math.Abs(sum-1) > 1e-9 {
				rt.Fatalf("moved %.4f of a step of %.2f, the shares add up to %.4f", moved, steps.Offload, sum)
			}
		}
	})
}
