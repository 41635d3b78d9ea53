package model

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const length = 24 * time.Second

func play(pattern, policy string) Outcome {
	for _, p := range Patterns() {
		for _, q := range Policies() {
			if p.Name == pattern && q.Name == policy {
				return Play(DefaultSite(), p, q, length, 1)
			}
		}
	}
	panic("no such pattern or policy")
}

func TestRunsRepeat(t *testing.T) {
	g := NewWithT(t)
	g.Expect(play("burst", "product")).To(Equal(play("burst", "product")))
}

func TestEveryRequestEnds(t *testing.T) {
	g := NewWithT(t)
	for _, pattern := range Patterns() {
		o := play(pattern.Name, "product")
		g.Expect(o.InObjective+o.Late+o.Refused).To(BeNumerically("~", o.Asked, o.Asked/100), pattern.Name)
	}
}

// TestProductBeatsBaselines compares the product's policy with a baseline on the
// pattern that the policy answers.
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
		product, baseline := play(c.pattern, "product"), play(c.pattern, c.baseline)
		if product.Share() < baseline.Share()+c.gain {
			t.Errorf("%s: product %.3f, %s %.3f, expected a gain of %.2f", c.pattern, product.Share(), c.baseline, baseline.Share(), c.gain)
		}
	}
}
