package command

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"lovagescale/internal/model"
)

// plotWidth is the length of the longest bar.
const plotWidth = 40

// Model is "lovagectl model".
type Model struct {
	Patterns []string      `name:"pattern" help:"Patterns to play; all without any."`
	Policies []string      `name:"policy" help:"Policies to play; all without any."`
	Seed     uint64        `default:"1" help:"Seed of the chances."`
	Length   time.Duration `default:"24s" help:"Simulated time of a run."`
}

// UnknownNameError reports a pattern or policy that the model does not have.
type UnknownNameError struct{ Kind, Name string }

// Error implements the error interface.
func (e *UnknownNameError) Error() string { return fmt.Sprintf("model has no %s %q", e.Kind, e.Name) }

// Run plays patterns against policies and prints a table with a plot.
func (m *Model) Run(e *Environment) error {
	if err := m.check(); err != nil {
		return err
	}
	var outcomes []model.Outcome
	for _, pattern := range model.Patterns() {
		for _, policy := range model.Policies() {
			if wanted(m.Patterns, pattern.Name) && wanted(m.Policies, policy.Name) {
				outcomes = append(outcomes, model.Play(model.DefaultSite(), pattern, policy, m.Length, m.Seed))
			}
		}
	}
	if e.JSON {
		return json.NewEncoder(e.Out).Encode(outcomes)
	}
	if _, err := fmt.Fprintf(e.Out, "%-15s %-12s %6s %6s %6s %6s %6s %6s %6s\n",
		"pattern", "policy", "in aim", "late", "refus.", "known", "cross.", "region", "window"); err != nil {
		return err
	}
	for _, o := range outcomes {
		asked := float64(max(o.Asked, 1))
		bar := strings.Repeat("#", int(o.Share()*plotWidth))
		if _, err := fmt.Fprintf(e.Out, "%-15s %-12s %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f  %s\n", o.Pattern, o.Policy,
			o.Share(), float64(o.Late)/asked, float64(o.Refused)/asked, o.Known, o.Crossed, o.WorstRegion, o.WorstWindow, bar); err != nil {
			return err
		}
	}
	return nil
}

func (m *Model) check() error {
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

func wanted(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}
