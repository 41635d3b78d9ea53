// Package daemon has the parts that the daemons' commands share: the command line,
// loading the settings, the logger and the stop on a signal.
//
// Exit codes: 0 after a clean stop, 1 after a failure while running, 2 if the
// command line or the settings are invalid and nothing was started.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"lovagescale/internal/settings"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// arguments is the command line of every daemon.
type arguments struct {
	Settings string           `required:"" placeholder:"FILE" help:"Settings file (TOML)."`
	Version  kong.VersionFlag `help:"Show the version and exit."`
}

// Version returns the program's version as recorded by the build, or "devel" if it
// recorded none.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}

// Main loads the settings into target and calls run, whose context ends at SIGINT or
// SIGTERM. When run returns, Main returns the process's exit code.
func Main(name, description string, target settings.Checker, run func(ctx context.Context, log zerolog.Logger) error) int {
	var args arguments
	parser, err := kong.New(&args, kong.Name(name), kong.Description(description), kong.Vars{"version": Version()})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return exitUsage
	}
	if err := settings.Load(args.Settings, target); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	log := settings.NewLogger(os.Stderr, target.Level(), name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, log); err != nil {
		log.Error().Err(err).Msg("daemon failed")
		return exitFailed
	}
	return 0
}
