// Command lab runs the cases of the second review against processes of the system.
package main

import (
	"fmt"
	"os"
	"strconv"
)

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE PROGRAM FOLDER [ARGUMENT]")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	var err error
	switch os.Args[1] {
	case "stress":
		seconds, _ := strconv.Atoi(os.Args[4])
		err = stress(os.Args[2], os.Args[3], seconds, len(os.Args) > 5)
	case "quota":
		seconds, _ := strconv.Atoi(os.Args[5])
		err = quotaTrial(os.Args[2], os.Args[3], os.Args[4], seconds, os.Stdout)
	case "slow-readers":
		exit(slowReadersCase(os.Args[2], os.Args[3], trouble, os.Stdout))
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
		err = fmt.Errorf("unknown case %q", os.Args[1])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

func exit(code int, err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
