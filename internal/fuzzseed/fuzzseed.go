// Package fuzzseed makes stateful fuzzing repeatable. A test that imports it for its
// side effect runs rapid with seed 1 and without failure files. The command line can
// change all of this, the environment the following:
//
//	LOVAGE_FUZZ_SEED    seed of the first check
//	LOVAGE_FUZZ_STEPS   average number of actions of one check
//	LOVAGE_FUZZ_CHECKS  number of checks
package fuzzseed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // registers the flags that init sets
)

// defaultSeed is the seed of ordinary test runs.
const defaultSeed = "1"

func init() {
	setFlag("rapid.nofailfile", "true")
	setFlag("rapid.seed", fromEnvironment("LOVAGE_FUZZ_SEED", defaultSeed))
	setFlag("rapid.steps", fromEnvironment("LOVAGE_FUZZ_STEPS", ""))
	setFlag("rapid.checks", fromEnvironment("LOVAGE_FUZZ_CHECKS", ""))
}

func fromEnvironment(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

// setFlag sets a flag. If value is empty, the flag keeps its default.
func setFlag(name, value string) {
	if value == "" {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
