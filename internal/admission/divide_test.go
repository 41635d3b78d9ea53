package admission

import (
	"fmt"
	"math"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

func served(s Shares, d Demand) float64 {
	return math.Min(d.Slots, s.Limit(d.Class, d.Weight, d.Slots))
}

func TestDivide(t *testing.T) {
	g := NewWithT(t)
	demands := []Demand{{"hot", 0, 90, 1}, {"a", 0, 20, 1}, {"b", 0, 10, 1}}
	s := Divide(60, demands)
	g.Expect(served(s, demands[2])).To(BeNumerically("~", 10, 0.01))
	g.Expect(served(s, demands[1])).To(BeNumerically("~", 20, 0.01), "what b leaves goes to the others")
	g.Expect(served(s, demands[0])).To(BeNumerically("~", 30, 0.01))
	g.Expect(Divide(120, demands).Limit(0, 1, 90)).To(Equal(math.Inf(1)))

	weighted := []Demand{{"large", 0, 100, 3}, {"small", 0, 100, 1}}
	s = Divide(80, weighted)
	g.Expect(served(s, weighted[0])).To(BeNumerically("~", 60, 0.01))

	classes := []Demand{{"a", 0, 50, 1}, {"a", 1, 100, 1}}
	s = Divide(75, classes)
	g.Expect(served(s, classes[0])).To(BeNumerically("~", 50, 0.01), "the urgent class first")
	s = Divide(30, classes)
	g.Expect(served(s, classes[1])/100).To(BeNumerically("~", minServed*30/150, 0.001), "the other one at least its minimum")
}

// No workspace is below its share while another one of its class is above, apart from the
// minimum; no class is served less than a less urgent one; all capacity is divided.
func TestDivideIsFair(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var demands []Demand
		total := 0.0
		for i := range rapid.IntRange(1, 40).Draw(rt, "demands") {
			d := Demand{fmt.Sprint(i), rapid.IntRange(0, 2).Draw(rt, "class"), rapid.Float64Range(0.01, 100).Draw(rt, "slots"), rapid.Float64Range(0.1, 50).Draw(rt, "weight")}
			demands = append(demands, d)
			total += d.Slots
		}
		capacity := rapid.Float64Range(0, 1.5).Draw(rt, "capacity") * total
		s := Divide(capacity, demands)
		sum := 0.0
		asked, got := make(map[int]float64), make(map[int]float64)
		for _, d := range demands {
			sum += served(s, d)
			asked[d.Class] += d.Slots
			got[d.Class] += served(s, d)
			if f := served(s, d) / d.Slots; f < 0.25*math.Min(capacity/total, 1) {
				rt.Fatalf("%v is served %.3f, all are %.3f", d, f, capacity/total)
			}
		}
		if want := math.Min(capacity, total); math.Abs(sum-want) > 1e-6*total {
			rt.Fatalf("%.4f of %.4f slots are divided", sum, want)
		}
		for _, short := range demands {
			for _, other := range demands {
				if short.Class == other.Class && served(s, short) < short.Slots*(1-1e-6) && served(s, other) > s.floor*other.Slots*(1+1e-6) &&
					served(s, other)/other.Weight > served(s, short)/short.Weight*(1+1e-6) {
					rt.Fatalf("%v is below its share while %v is above", short, other)
				}
			}
		}
		for class := 1; class <= 2; class++ {
			if asked[class-1] > 0 && asked[class] > 0 && got[class]/asked[class] > got[class-1]/asked[class-1]+0.01 {
				rt.Fatalf("class %d is served more often than the more urgent one", class)
			}
		}
	})
}
