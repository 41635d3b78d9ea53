package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"lovagescale/internal/configuration"
)

// Apply is "lovagectl apply".
type Apply struct {
	File           string `arg:"" help:"Configuration text to apply."`
	ExpectRevision uint64 `placeholder:"N" help:"Apply only on top of this revision, as shown by plan."`
}

type applyResult struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
}

// RevisionGuardError reports that the store's revision differs from the one given with
// --expect-revision.
type RevisionGuardError struct{ Expected, Found uint64 }

// Error implements the error interface.
func (e *RevisionGuardError) Error() string {
	return fmt.Sprintf("not applied: revision is %d, not the expected %d", e.Found, e.Expected)
}

// StoreBehindError reports that an instance has a higher revision active than the store,
// as happens when the store was restored to an older state.
type StoreBehindError struct {
	Instance       string
	InForce, Store uint64
}

// Error implements the error interface.
func (e *StoreBehindError) Error() string {
	return fmt.Sprintf("not applied: instance %q has revision %d in force, the store only %d; run \"lovagectl recover\" first",
		e.Instance, e.InForce, e.Store)
}

// Run publishes the text as the next revision. If another change was published first,
// it prints that change and returns a *configuration.SupersededError.
func (a *Apply) Run(e *Environment) error {
	text, err := readText(a.File)
	if err != nil {
		return err
	}
	ctx := context.Background()
	p := e.publisher()
	base, before, err := loadConfiguration(ctx, p)
	if err != nil {
		return &configuration.NotAppliedError{ChangeID: p.ChangeID, Cause: err}
	}
	if a.ExpectRevision != 0 && base.Manifest.Revision != a.ExpectRevision {
		return &RevisionGuardError{Expected: a.ExpectRevision, Found: base.Manifest.Revision}
	}
	if err := e.requireStoreNotBehind(ctx, p); err != nil {
		return err
	}
	revision, err := p.Apply(ctx, base, text)
	var superseded *configuration.SupersededError
	if errors.As(err, &superseded) {
		return e.printCompetingChange(ctx, p, before, err)
	}
	if err != nil {
		return err
	}
	return e.print(applyResult{Revision: revision, ChangeID: p.ChangeID}, "applied as revision %d", revision)
}

// printCompetingChange prints the difference made by the change that was published first,
// and returns cause.
func (e *Environment) printCompetingChange(ctx context.Context, p *configuration.Publisher, before *configuration.Configuration, cause error) error {
	current, after, err := loadConfiguration(ctx, p)
	if err != nil {
		return cause
	}
	out := planResult{Revision: current.Manifest.Revision, Difference: configuration.Compare(before, after)}
	if err := e.print(out, "not applied; what came first:\n%s", formatDifference(out.Difference)); err != nil {
		return err
	}
	return cause
}
