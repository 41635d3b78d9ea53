// Package fuzzseed makes stateful fuzzing repeatable. A test that imports it
// for its effect runs rapid with seed 1 and without failure files, unless the
// environment or the command line says otherwise:
//
//	LOVAGE_FUZZ_SEED    seed of the first check
//	LOVAGE_FUZZ_STEPS   average number of actions of one check
//	LOVAGE_FUZZ_CHECKS  number of checks
package fuzzseed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // registers the flags set below
)

// defaultSeed is the seed of ordinary test runs.
const defaultSeed = "1"

func init() {
	set("rapid.nofailfile", "true")
	set("rapid.seed", fromEnvironment("LOVAGE_FUZZ_SEED", defaultSeed))
	set("rapid.steps", fromEnvironment("LOVAGE_FUZZ_STEPS", ""))
	set("rapid.checks", fromEnvironment("LOVAGE_FUZZ_CHECKS", ""))
}

func fromEnvironment(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

// set leaves a flag at its default when value is empty.
func set(name, value string) {
	if value == "" {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
