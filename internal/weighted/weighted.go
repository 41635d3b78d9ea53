// Package weighted distributes items among names in proportion to their weights. It
// uses smooth weighted round robin: any sequence of consecutive items is distributed
// close to the weights, and the weights may change between items.
package weighted

import "math"

// Weight is a name and its weight. The weights need not add up to a particular sum.
type Weight struct {
	Name   string
	Weight float64
}

// RoundRobin holds the state of the round robin: each name's credit, which is the number
// of items that its weight has earned it minus the number that it got. It is not
// safe for concurrent use.
type RoundRobin struct{ credits map[string]float64 }

// NewRoundRobin returns a RoundRobin without credits.
func NewRoundRobin() *RoundRobin { return &RoundRobin{credits: make(map[string]float64)} }

// Next returns the name that gets the next item, or "" if the weights add up to 0 or
// less. A name that weights no longer contains loses its credit.
func (r *RoundRobin) Next(weights []Weight) string {
	total := 0.0
	for _, candidate := range weights {
		total += candidate.Weight
	}
	if total <= 0 {
		return ""
	}
	r.removeStale(weights)
	selected, highest := "", math.Inf(-1)
	for _, candidate := range weights {
		r.credits[candidate.Name] += candidate.Weight / total
		if credit := r.credits[candidate.Name]; candidate.Weight > 0 && credit > highest {
			selected, highest = candidate.Name, credit
		}
	}
	r.credits[selected]--
	return selected
}

// removeStale removes the credits of names that weights does not contain. It looks
// for them only if there are more credits than weights, so a name that another one
// replaced is removed one call later.
func (r *RoundRobin) removeStale(weights []Weight) {
	if len(r.credits) <= len(weights) {
		return
	}
	for name := range r.credits {
		if !contains(weights, name) {
			delete(r.credits, name)
		}
	}
}

func contains(weights []Weight, name string) bool {
	for _, candidate := range weights {
		if candidate.Name == name {
			return true
		}
	}
	return false
}
