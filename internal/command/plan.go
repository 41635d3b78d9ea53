package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"lovagescale/internal/configuration"
	"lovagescale/internal/store"
)

// readAttempts bounds how often a manifest is read whose chunks a change just
// replaced.
const readAttempts = 5

// Plan is "lovagectl plan".
type Plan struct {
	File string `arg:"" help:"Configuration text to compare with the one in the store."`
}

// planned is the output of a plan.
type planned struct {
	// Revision is the one that the text was compared with.
	Revision uint64 `json:"revision"`
	configuration.Difference
}

// Run shows what applying the text would do.
func (p *Plan) Run(e *Environment) error {
	text, err := readText(p.File)
	if err != nil {
		return err
	}
	after, err := text.Configuration()
	if err != nil {
		return err
	}
	base, before, err := load(context.Background(), e.publisher())
	if err != nil {
		return err
	}
	out := planned{Revision: base.Manifest.Revision, Difference: configuration.Compare(before, after)}
	return e.print(out, "compared with revision %d:\n%s", out.Revision, describe(out.Difference))
}

// load reads the configuration in the store, nil if there is none.
func load(ctx context.Context, p *configuration.Publisher) (configuration.Published, *configuration.Configuration, error) {
	var missing *store.NotFoundError
	for attempt := 1; ; attempt++ {
		base, err := p.Current(ctx)
		if err != nil || base.StoreRevision == 0 {
			return base, nil, err
		}
		c, err := p.Load(ctx, base)
		if err == nil || attempt == readAttempts || !errors.As(err, &missing) {
			return base, c, err
		}
	}
}

// describe writes a difference for people.
func describe(d configuration.Difference) string {
	text := ""
	for _, item := range d.Items {
		text += "  " + item.String() + "\n"
	}
	if len(d.Items) == 0 {
		text = "  nothing changes\n"
	}
	for _, warning := range d.Warnings {
		text += fmt.Sprintf("  warning: %s\n", warning)
	}
	return text[:len(text)-1]
}
