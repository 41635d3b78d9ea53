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

	Check   command.Check   `cmd:"" help:"Check a configuration text and report every fault."`
	Plan    command.Plan    `cmd:"" help:"Show what applying a text would do."`
	Apply   command.Apply   `cmd:"" help:"Put a configuration text in force."`
	Key     command.Key     `cmd:"" help:"Grant, withdraw and list workspace keys."`
	Status  command.Status  `cmd:"" help:"Show the revision in force and who cannot be heard."`
	Explain command.Explain `cmd:"" help:"Show where a workspace's request would go."`
	Dump    command.Dump    `cmd:"" help:"Fetch a process's state."`
	Collect command.Collect `cmd:"" help:"Remove unused chunks from the store."`
	Trace   command.Trace   `cmd:"" help:"Gather all log lines of one request and say its cause."`
	Model   command.Model   `cmd:"" help:"Play load patterns against policies of placement."`
	Recover command.Recover `cmd:"" help:"Write the revision in force back to a restored store."`
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
	return command.Report(os.Stderr, parsed.Run(environment), args.JSON)
}
