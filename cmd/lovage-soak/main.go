// Command lovage-soak runs instances as separate processes, injects faults from outside and
// checks the guarantees that callers and endpoints can observe.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"lovagescale/platform/soak"
)

// arguments holds the command-line arguments.
type arguments struct {
	Program      string        `required:"" placeholder:"FILE" help:"Path of lovage-edge."`
	Previous     string        `placeholder:"FILE" help:"Path of an earlier build of lovage-edge that runs beside the program."`
	Folder       string        `default:"soak" help:"Folder for settings files and log files."`
	Seed         uint64        `default:"1" help:"First seed."`
	Seeds        int           `default:"1" help:"Number of seeds."`
	Instances    int           `default:"4" help:"Number of instances."`
	Endpoints    int           `default:"6" help:"Number of endpoints."`
	Callers      int           `default:"8" help:"Number of callers."`
	Cuts         bool          `help:"Cut instances off from each other; lovage-edge must be built with -tags faults."`
	EndpointCuts bool          `help:"Cut instances off from all endpoints; lovage-edge must be built with -tags faults."`
	Limits       bool          `help:"Let endpoints name limits of the requests that they take."`
	Drills       bool          `help:"Let the store come back from a copy."`
	Crowds       bool          `help:"Add callers that do not behave."`
	Duration     time.Duration `default:"8s" help:"Time during which faults are injected."`
	Recovery     time.Duration `default:"10s" help:"Time within which the fleet must serve again after the faults."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("lovage-soak"), kong.Description("Runs instances under injected faults and checks their guarantees."))
	os.Exit(run(args))
}

func run(args arguments) int {
	failed := 0
	for n := range args.Seeds {
		seed := args.Seed + uint64(n)
		folder := filepath.Join(args.Folder, fmt.Sprint("seed-", seed))
		if err := os.MkdirAll(folder, 0o750); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		report, err := soak.Run(context.Background(), soak.Options{
			Program: args.Program, Previous: args.Previous, Folder: folder, Seed: seed, Instances: args.Instances, Endpoints: args.Endpoints,
			Callers: args.Callers, Cuts: args.Cuts, EndpointCuts: args.EndpointCuts, Limits: args.Limits, Drills: args.Drills, Crowds: args.Crowds,
			Duration: args.Duration, Recovery: args.Recovery,
		})
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return 1
		}
		if len(report.Violations) > 0 {
			failed++
		}
		_ = json.NewEncoder(os.Stdout).Encode(report) // the reader of standard output may have exited
	}
	fmt.Printf("%d seeds, %d with violations\n", args.Seeds, failed)
	if failed > 0 {
		return 1
	}
	return 0
}
