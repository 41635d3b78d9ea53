// Command lovage-lookup is the lookup server on every entry instance. It tells callers which
// entry instances to use.
package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/daemon"
	"lovagescale/internal/lookup"
)

func main() {
	var s lookup.Settings
	os.Exit(daemon.Main("lovage-lookup", "Tells callers which entry instances to use.", &s,
		func(ctx context.Context, log zerolog.Logger) error {
			bodymemory.LimitHeap(s.Process.MemoryBytes())
			return lookup.NewServer(s, log).Run(ctx)
		}))
}
