// Command lab runs the cases of the second review against processes of the system.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE PROGRAM FOLDER")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	switch os.Args[1] {
	case "slow-readers":
		exit(slowReadersCase(os.Args[2], os.Args[3], trouble, os.Stdout))
	case "crashed":
		exit(crashedCase(os.Args[2], os.Args[3], trouble, os.Stdout))
	case "poison-leave":
		exit(poisonCase(os.Args[2], os.Args[3], poison{times: soon, leave: trouble}, os.Stdout))
	case "poison-kill":
		p := poison{times: afterKill}
		if trouble {
			p.killBefore = 5
		}
		exit(poisonCase(os.Args[2], os.Args[3], p, os.Stdout))
	case "poison-same-id":
		exit(poisonCase(os.Args[2], os.Args[3], poison{times: steadily, sticky: true, sameID: trouble}, os.Stdout))
	default:
		exit(2, fmt.Errorf("unknown case %q", os.Args[1]))
	}
}

func exit(code int, err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
