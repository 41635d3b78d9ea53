package placement_test

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"lovagescale/internal/placement"
)

// gains returns the sum of what shares gained.
func gains(before, after map[string]float64) float64 {
	moved := 0.0
	for region, share := range after {
		moved += math.Max(share-before[region], 0)
	}
	return moved
}

func sharesOf(s *placement.Shares) map[string]float64 {
	shares := make(map[string]float64)
	for _, w := range s.Weights() {
		shares[w.Name] = w.Weight
	}
	return shares
}

var _ = Describe("shares under waves of demand", func() {
	// The small region's demand swings by half around its slots, out of step with
	// that of the large ones. Requests whose region changes run their objects for
	// the first time.
	capacity := map[string]float64{"small": 300, "east": 1200, "west": 1500}
	demandAt := func(seconds float64) map[string]float64 {
		wave := func(phase float64) float64 { return 1 + 0.55*math.Sin(2*math.Pi*(seconds/36+phase)) }
		return map[string]float64{"small": 320 * wave(0), "east": 320 * wave(0.33), "west": 320 * wave(0.67)}
	}
	const perSecond = 0.045
	play := func(move func(s *placement.Shares, plan, demand map[string]float64)) (moved, worstFill float64) {
		var s placement.Shares
		s.Move(placement.Plan("small", demandAt(0), capacity), capacity, 1)
		for second := range 144 {
			demand := demandAt(float64(second))
			before := sharesOf(&s)
			move(&s, placement.Plan("small", demand, capacity), demand)
			moved += gains(before, sharesOf(&s))
			worstFill = math.Max(worstFill, sharesOf(&s)["small"]*demand["small"]/capacity["small"])
		}
		return moved, worstFill
	}
	follow := func(s *placement.Shares, plan, demand map[string]float64) {
		fill := make(map[string]float64)
		for region, slots := range capacity {
			fill[region] = demand[region] / slots
		}
		fill["small"] *= sharesOf(s)["small"]
		s.Follow(plan, capacity, placement.Steps{Relief: perSecond, Return: 1.0 / 120},
			placement.Load{Region: "small", Demand: demand, Room: capacity, Fill: fill})
	}

	It("moves few objects while the regions bear the shares", func() {
		always, _ := play(func(s *placement.Shares, plan, _ map[string]float64) { s.Move(plan, capacity, perSecond) })
		moved, worst := play(follow)
		Expect(moved).To(BeNumerically("<", always/2))
		Expect(worst).To(BeNumerically("<", 0.9))
	})

	It("relieves a region whose endpoints are full, until the plan is reached", func() {
		var s placement.Shares
		s.Move(map[string]float64{"small": 1}, capacity, 1)
		demand := map[string]float64{"small": 600, "east": 100, "west": 100}
		plan := placement.Plan("small", demand, capacity)
		for range 30 {
			follow(&s, plan, demand)
		}
		Expect(sharesOf(&s)["small"]).To(BeNumerically("~", plan["small"], 0.05))
	})

	It("leaves a region that has no slots any more at once", func() {
		var s placement.Shares
		s.Move(map[string]float64{"small": 0.5, "east": 0.5}, capacity, 1)
		lost := map[string]float64{"small": 0, "east": 1200, "west": 1500}
		demand := map[string]float64{"small": 30, "east": 30, "west": 30}
		s.Follow(placement.Plan("small", demand, lost), lost, placement.Steps{Relief: perSecond}, placement.Load{Region: "small", Demand: demand, Room: lost})
		Expect(sharesOf(&s)["small"]).To(BeZero())
	})
})

// TestFuzzSharesFollowSlowly changes plans, demand and fill at random: no move shifts
// more than the larger step, and the shares stay whole.
func TestFuzzSharesFollowSlowly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := map[string]float64{"north": 100, "south": 100, "east": 100}
		steps := placement.Steps{Relief: 0.05, Return: 0.002}
		var s placement.Shares
		s.Move(map[string]float64{"north": 1, "south": 0, "east": 0}, capacity, 1)
		for range rapid.IntRange(1, 60).Draw(rt, "moves") {
			before := sharesOf(&s)
			draw := func(name string) map[string]float64 {
				drawn := make(map[string]float64)
				for _, region := range []string{"north", "south", "east"} {
					drawn[region] = rapid.Float64Range(0, 1.5).Draw(rt, name+region)
				}
				return drawn
			}
			demand := draw("demand")
			for region := range demand {
				demand[region] *= 100
			}
			s.Follow(placement.Plan("north", demand, capacity), capacity, steps,
				placement.Load{Region: "north", Demand: demand, Room: capacity, Fill: draw("fill")})
			after, sum := sharesOf(&s), 0.0
			for _, share := range after {
				sum += share
			}
			if moved := gains(before, after); moved > steps.Relief+1e-9 || math.Abs(sum-1) > 1e-9 {
				rt.Fatalf("moved %.4f of a step of %.2f, the shares add up to %.4f", moved, steps.Relief, sum)
			}
		}
	})
}
