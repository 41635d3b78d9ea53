package model

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const duration = 24 * time.Second

func simulate(pattern, policy string) Outcome {
	for _, p := range Patterns() {
		for _, q := range Policies() {
			if p.Name == pattern && q.Name == policy {
				return Simulate(DefaultDeployment(), p, q, duration, 1)
			}
		}
	}
	panic("no such pattern or policy")
}

func TestSimulationIsDeterministic(t *testing.T) {
	g := NewWithT(t)
	g.Expect(simulate("burst", "product")).To(Equal(simulate("burst", "product")))
}

func TestEveryRequestIsAnsweredOrRefused(t *testing.T) {
	g := NewWithT(t)
	for _, pattern := range Patterns() {
		o := simulate(pattern.Name, "product")
		g.Expect(o.InObjective+o.Late+o.Refused).To(BeNumerically("~", o.Asked, o.Asked/100), pattern.Name)
	}
}

// TestProductBeatsBaselines requires that the product's policy exceeds a baseline's share
// within the objective by the given gain, on a pattern that the policy is made for.
func TestProductBeatsBaselines(t *testing.T) {
	for _, c := range []struct {
		pattern, baseline string
		gain              float64
	}{
		{"calm", "no-affinity", 0.1},
		{"burst", "no-affinity", 0.1},
		{"calm", "local-only", 0.02},
		{"shift", "local-only", 0.05},
		{"overload", "first-come", 0.02},
		{"overload", "no-affinity", 0.1},
	} {
		product, baseline := simulate(c.pattern, "product"), simulate(c.pattern, c.baseline)
		if product.InObjectiveShare() < baseline.InObjectiveShare()+c.gain {
			t.Errorf("%s: product %.3f, %s %.3f, expected a gain of %.2f", c.pattern, product.InObjectiveShare(), c.baseline, baseline.InObjectiveShare(), c.gain)
		}
	}
}
