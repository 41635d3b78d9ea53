package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"lovagescale/internal/configuration"
)

// Apply is "lovagectl apply".
type Apply struct {
	File           string `arg:"" help:"Configuration text to put in force."`
	ExpectRevision uint64 `placeholder:"N" help:"Apply only on top of this revision, as shown by plan."`
}

type applied struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
}

// RevisionGuardError reports that the revision is not the expected one.
type RevisionGuardError struct{ Expected, Found uint64 }

// Error implements the error interface.
func (e *RevisionGuardError) Error() string {
	return fmt.Sprintf("not applied: revision is %d, not the expected %d", e.Found, e.Expected)
}

// StoreBehindError reports a store that was restored to an older state.
type StoreBehindError struct {
	Instance       string
	InForce, Store uint64
}

// Error implements the error interface.
func (e *StoreBehindError) Error() string {
	return fmt.Sprintf("not applied: instance %q has revision %d in force, the store only %d; run \"lovagectl recover\" first",
		e.Instance, e.InForce, e.Store)
}

// Run publishes the text as the next revision. A lost race shows the other's
// change.
func (a *Apply) Run(e *Environment) error {
	text, err := readText(a.File)
	if err != nil {
		return err
	}
	ctx := context.Background()
	p := e.publisher()
	base, before, err := load(ctx, p)
	if err != nil {
		return &configuration.NotAppliedError{ChangeID: p.ChangeID, Cause: err}
	}
	if a.ExpectRevision != 0 && base.Manifest.Revision != a.ExpectRevision {
		return &RevisionGuardError{Expected: a.ExpectRevision, Found: base.Manifest.Revision}
	}
	if err := e.requireStoreAhead(ctx, p); err != nil {
		return err
	}
	revision, err := p.Apply(ctx, base, text)
	var superseded *configuration.SupersededError
	if errors.As(err, &superseded) {
		return e.showOther(ctx, p, before, err)
	}
	if err != nil {
		return err
	}
	return e.print(applied{Revision: revision, ChangeID: p.ChangeID}, "applied as revision %d", revision)
}

// showOther prints what the change that came first did.
func (e *Environment) showOther(ctx context.Context, p *configuration.Publisher, before *configuration.Configuration, cause error) error {
	current, after, err := load(ctx, p)
	if err != nil {
		return cause
	}
	out := planned{Revision: current.Manifest.Revision, Difference: configuration.Compare(before, after)}
	if err := e.print(out, "not applied; what came first:\n%s", describe(out.Difference)); err != nil {
		return err
	}
	return cause
}
