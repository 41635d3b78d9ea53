// Package weighted deals items to names in proportion to weights. It uses
// smooth weighted round robin: every run of items is close to the weights, and
// weights may change between items.
package weighted

import "math"

// Weight is a name and its weight; weights need no particular sum.
type Weight struct {
	Name   string
	Weight float64
}

// Wheel keeps the credits of names. It is not safe for concurrent use.
type Wheel struct{ credits map[string]float64 }

// NewWheel returns a wheel without credits.
func NewWheel() *Wheel { return &Wheel{credits: make(map[string]float64)} }

// Next returns the name that gets the next item, or "" without a positive
// weight. A name that is left out loses its credit.
func (w *Wheel) Next(weights []Weight) string {
	total := 0.0
	for _, item := range weights {
		total += item.Weight
	}
	if total <= 0 {
		return ""
	}
	w.drop(weights)
	best, most := "", math.Inf(-1)
	for _, item := range weights {
		w.credits[item.Name] += item.Weight / total
		if credit := w.credits[item.Name]; item.Weight > 0 && credit > most {
			best, most = item.Name, credit
		}
	}
	w.credits[best]--
	return best
}

// drop forgets the credits of names that are not dealt to any more.
func (w *Wheel) drop(weights []Weight) {
	if len(w.credits) <= len(weights) {
		return
	}
	for name := range w.credits {
		if !contains(weights, name) {
			delete(w.credits, name)
		}
	}
}

func contains(weights []Weight, name string) bool {
	for _, item := range weights {
		if item.Name == name {
			return true
		}
	}
	return false
}
