package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"lovagescale/internal/configuration"
	"lovagescale/internal/store"
)

// maxLoadAttempts bounds how often loadConfiguration reads the manifest if concurrent changes
// keep replacing its chunks.
const maxLoadAttempts = 5

// Plan is "lovagectl plan".
type Plan struct {
	File string `arg:"" help:"Configuration text to compare with the one in the store."`
}

// planResult is the output of plan.
type planResult struct {
	// Revision is the revision that the text was compared with.
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
	base, before, err := loadConfiguration(context.Background(), e.publisher())
	if err != nil {
		return err
	}
	out := planResult{Revision: base.Manifest.Revision, Difference: configuration.Compare(before, after)}
	return e.print(out, "compared with revision %d:\n%s", out.Revision, formatDifference(out.Difference))
}

// loadConfiguration reads the configuration in the store. The configuration is nil if the
// store has none.
func loadConfiguration(ctx context.Context, p *configuration.Publisher) (configuration.PublishedManifest, *configuration.Configuration, error) {
	var missing *store.NotFoundError
	for attempt := 1; ; attempt++ {
		base, err := p.Current(ctx)
		if err != nil || base.StoreRevision == 0 {
			return base, nil, err
		}
		c, err := p.Load(ctx, base)
		if err == nil || attempt == maxLoadAttempts || !errors.As(err, &missing) {
			return base, c, err
		}
	}
}

// formatDifference returns a difference as text.
func formatDifference(d configuration.Difference) string {
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
