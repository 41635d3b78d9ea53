// Command lovagectl is the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"lovagescale/internal/command"
	"lovagescale/internal/daemon"
)

// arguments is the command line.
type arguments struct {
	Platform string           `default:"127.0.0.1:7100" env:"LOVAGE_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's store."`
	Author   string           `default:"operator" env:"LOVAGE_AUTHOR" help:"Name recorded with a change."`
	JSON     bool             `name:"json" help:"Write JSON for programs."`
	Version  kong.VersionFlag `help:"Show the version and exit."`

	Check command.Check `cmd:"" help:"Check a configuration text and report every fault."`
	Apply command.Apply `cmd:"" help:"Put a configuration text in force."`
	Key   command.Key   `cmd:"" help:"Grant, withdraw and list workspace keys."`
	Dump  command.Dump  `cmd:"" help:"Fetch a process's state."`
}

func main() { os.Exit(run()) }

func run() int {
	var args arguments
	parser, err := kong.New(&args,
		kong.Name("lovagectl"),
		kong.Description("Operates lovagescale."),
		kong.Vars{"version": daemon.Version()},
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return command.ExitUsage
	}
	parsed, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "lovagectl: %v\n", err)
		return command.ExitUsage
	}
	environment := &command.Environment{Out: os.Stdout, JSON: args.JSON, Platform: args.Platform, Author: args.Author}
	err = parsed.Run(environment)
	if err != nil {
		fmt.Fprintf(os.Stderr, "lovagectl: %v\n", err)
	}
	return command.ExitCode(err)
}
