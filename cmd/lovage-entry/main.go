// Command lovage-entry is the process on every entry instance that serves callers' requests.
package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/daemon"
	"lovagescale/internal/entry"
)

func main() {
	var s entry.Settings
	os.Exit(daemon.Main("lovage-entry", "Serves callers' requests on an entry instance.", &s,
		func(ctx context.Context, log zerolog.Logger) error {
			bodymemory.LimitHeap(s.Process.MemoryBytes())
			e, err := entry.New(s, log)
			if err != nil {
				return err
			}
			return e.Run(ctx)
		}))
}
