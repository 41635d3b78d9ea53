// Command lovagectl is the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"lovagescale/internal/command"
	"lovagescale/internal/daemon"
)

// arguments holds the command-line arguments and the commands.
type arguments struct {
	Platform string           `default:"127.0.0.1:7100" env:"LOVAGE_PLATFORM" placeholder:"IP:PORT" help:"Address of the platform's store."`
	Author   string           `default:"operator" env:"LOVAGE_AUTHOR" help:"Name recorded with a change."`
	JSON     bool             `name:"json" help:"Write JSON instead of text."`
	Version  kong.VersionFlag `help:"Show the version and exit."`

	Check   command.Check   `cmd:"" help:"Check a configuration text and report every problem."`
	Plan    command.Plan    `cmd:"" help:"Show what applying a text would do."`
	Apply   command.Apply   `cmd:"" help:"Apply a configuration text as the next revision."`
	Key     command.Key     `cmd:"" help:"Grant, withdraw and list workspace keys."`
	Status  command.Status  `cmd:"" help:"Show the revision in force and the instances that do not reply."`
	Explain command.Explain `cmd:"" help:"Show where a workspace's request would go."`
	Dump    command.Dump    `cmd:"" help:"Print the state of a process."`
	Collect command.Collect `cmd:"" help:"Remove unused chunks from the store."`
	Trace   command.Trace   `cmd:"" help:"Collect the log lines of one request and explain how it ended."`
	Model   command.Model   `cmd:"" help:"Simulate load patterns against placement policies."`
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
