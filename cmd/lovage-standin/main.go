// Command lovage-standin imitates the platform and the upstreams in tests and in the demo.
package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"lovagescale/internal/daemon"
	"lovagescale/internal/standin"
)

func main() {
	var s standin.Settings
	os.Exit(daemon.Main("lovage-standin", "Imitates the platform and the upstreams for tests and the demo.", &s,
		func(ctx context.Context, log zerolog.Logger) error {
			log.Info().Str("control", s.Control).Msg("stand-in started")
			return standin.NewServer(s).Run(ctx)
		}))
}
