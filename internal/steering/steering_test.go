package steering

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

var (
	large = Capacity{LinkMbps: 200, Cores: 0.8}
	small = Capacity{LinkMbps: 10, Cores: 0.4}
)

func TestSelect(t *testing.T) {
	repeat := func(c Capacity, n int) []Capacity { return slices.Repeat([]Capacity{c}, n) }
	for _, test := range []struct {
		name  string
		given []Capacity
		want  []Capacity
	}{
		{"all alike: all are named", repeat(small, 5), repeat(small, 5)},
		{"no capacity known: all are named", repeat(Capacity{}, 5), repeat(Capacity{}, 5)},
		{"callers on slow links: only the large instances are named", slices.Concat(repeat(small, 7), repeat(large, 4)), repeat(large, 4)},
		{"a link alone is not enough", slices.Concat([]Capacity{{LinkMbps: 200, Cores: 0.1}}, repeat(large, 2)), repeat(large, 2)},
		{"one large instance left: all are named", slices.Concat(repeat(small, 3), repeat(large, 1)), slices.Concat(repeat(small, 3), repeat(large, 1))},
		{"the large instances are a small part: all are named", slices.Concat(repeat(small, 60), repeat(large, 2)), slices.Concat(repeat(small, 60), repeat(large, 2))},
		{"old builds beside new ones: those of unknown capacity are named", slices.Concat(repeat(Capacity{}, 2), repeat(small, 2), repeat(large, 2)), slices.Concat(repeat(Capacity{}, 2), repeat(large, 2))},
		{"no instance", nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := Select(test.given, func(c Capacity) Instance { return Instance{Capacity: c} })
			NewWithT(t).Expect(got).To(Equal(test.want))
		})
	}
}

// Guards against lookups that name only the instances of a zone that has just failed.
func TestLargeInstancesOfOneZoneAreNotEnough(t *testing.T) {
	g := NewWithT(t)
	north, south := Instance{"north-1", large}, Instance{"south-1", small}
	both := []Instance{north, north, north, south}
	itself := func(i Instance) Instance { return i }
	g.Expect(Select(both, itself)).To(Equal(both))
	g.Expect(Select([]Instance{north, north, {"south-1", large}, south}, itself)).To(HaveLen(3))
}

// Guards against slow links that are overloaded while fast ones are idle: with callers
// spread evenly, the small instances got 64% of the bytes with 8% of the bandwidth.
func TestBusiestLinkIsFarBelowThatOfEvenSpread(t *testing.T) {
	fleet := slices.Concat(slices.Repeat([]Capacity{large}, 4), slices.Repeat([]Capacity{small}, 7))
	const demandMbps = 50.0
	busiest := func(named []Capacity) float64 {
		utilization := 0.0
		for _, c := range named {
			utilization = max(utilization, demandMbps/float64(len(named))/float64(c.LinkMbps))
		}
		return utilization
	}
	g := NewWithT(t)
	g.Expect(busiest(fleet)).To(BeNumerically(">", 0.4), "baseline: every instance is named")
	g.Expect(busiest(Select(fleet, func(c Capacity) Instance { return Instance{Capacity: c} }))).To(BeNumerically("<", 0.1))
}
