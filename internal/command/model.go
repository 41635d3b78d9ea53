package command

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"lovagescale/internal/model"
)

// maxBarWidth is the length of the bar for a share of 1.
const maxBarWidth = 40

// Model is "lovagectl model".
type Model struct {
	Patterns []string      `name:"pattern" help:"Load patterns to simulate; all if none is given."`
	Policies []string      `name:"policy" help:"Policies to simulate; all if none is given."`
	Seed     uint64        `default:"1" help:"Seed of the random numbers."`
	Length   time.Duration `default:"24s" help:"Simulated duration of a run."`
}

// UnknownNameError reports a pattern or policy that the model does not have.
type UnknownNameError struct{ Kind, Name string }

// Error implements the error interface.
func (e *UnknownNameError) Error() string { return fmt.Sprintf("model has no %s %q", e.Kind, e.Name) }

// Run simulates patterns against policies and prints a table with a bar plot.
func (m *Model) Run(e *Environment) error {
	if err := m.checkNames(); err != nil {
		return err
	}
	var outcomes []model.Outcome
	for _, pattern := range model.Patterns() {
		for _, policy := range model.Policies() {
			if selected(m.Patterns, pattern.Name) && selected(m.Policies, policy.Name) {
				outcomes = append(outcomes, model.Simulate(model.DefaultDeployment(), pattern, policy, m.Length, m.Seed))
			}
		}
	}
	if e.JSON {
		return json.NewEncoder(e.Out).Encode(outcomes)
	}
	if _, err := fmt.Fprintf(e.Out, "%-15s %-12s %6s %6s %6s %6s %6s %6s %6s\n",
		"pattern", "policy", "in obj", "late", "refus.", "known", "cross.", "region", "window"); err != nil {
		return err
	}
	for _, o := range outcomes {
		asked := float64(max(o.Asked, 1))
		bar := strings.Repeat("#", int(o.InObjectiveShare()*maxBarWidth))
		if _, err := fmt.Fprintf(e.Out, "%-15s %-12s %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f  %s\n", o.Pattern, o.Policy,
			o.InObjectiveShare(), float64(o.Late)/asked, float64(o.Refused)/asked, o.Known, o.Crossed, o.WorstRegion, o.WorstWindow, bar); err != nil {
			return err
		}
	}
	return nil
}

func (m *Model) checkNames() error {
	for _, name := range m.Patterns {
		if !slices.ContainsFunc(model.Patterns(), func(p model.Pattern) bool { return p.Name == name }) {
			return &UnknownNameError{Kind: "pattern", Name: name}
		}
	}
	for _, name := range m.Policies {
		if !slices.ContainsFunc(model.Policies(), func(p model.Policy) bool { return p.Name == name }) {
			return &UnknownNameError{Kind: "policy", Name: name}
		}
	}
	return nil
}

func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}
