// Command lovage-edge is the only process of an instance on the users' platform. It serves
// callers' requests, lookups of instances and the link to the other instances.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/daemon"
	"lovagescale/internal/edge"
	"lovagescale/internal/settings"
	"lovagescale/platform"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// arguments holds the command-line arguments.
type arguments struct {
	Settings string           `env:"${variable}" required:"" placeholder:"FILE" help:"Settings file of the platform (TOML)."`
	LogLevel string           `default:"info" help:"Lowest log level that is written."`
	Check    bool             `help:"Check the settings file and exit."`
	Version  kong.VersionFlag `help:"Show the version and exit."`
}

func main() { os.Exit(run()) }

func run() int {
	var args arguments
	parser, err := kong.New(&args, kong.Name("lovage-edge"), kong.Description("Serves an instance on the users' platform."),
		kong.Vars{"version": daemon.Version(), "variable": platform.EnvSettingsFile})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "lovage-edge: %v\n", err)
		return exitUsage
	}
	platformSettings, err := platform.LoadSettings(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if args.Check {
		return 0
	}
	return serve(args, platformSettings)
}

func serve(args arguments, platformSettings platform.Settings) int {
	out, flush := settings.NewBoundedWriter(os.Stdout)
	defer flush()
	log := settings.NewLogger(out, args.LogLevel, "lovage-edge")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	bodymemory.LimitHeap(platformSettings.Edge.MemoryBytes())
	instance := edge.New(platformSettings.Edge, platform.NewPorts(platformSettings), log)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			reload(instance, args.Settings, log)
		}
	}()
	if err := instance.Run(ctx); err != nil {
		log.Error().Err(err).Msg("instance failed")
		return exitFailed
	}
	return 0
}

// reload reads the settings file again and applies it. A file that cannot be read changes
// nothing.
func reload(instance *edge.Edge, file string, log zerolog.Logger) {
	platformSettings, err := platform.LoadSettings(file)
	if err != nil {
		log.Warn().Err(err).Msg("settings file cannot be read, the settings stay")
		return
	}
	instance.Reload(platformSettings.Edge)
}
