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
	var err error
	switch os.Args[1] {
	case "stress":
		seconds, _ := strconv.Atoi(os.Args[4])
		err = stress(os.Args[2], os.Args[3], seconds, len(os.Args) > 5)
	case "slow-readers":
		code, err := slowReadersCase(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0", os.Stdout)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(code)
	case "poison":
		code, err := poisonCase(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0", os.Stdout)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(code)
	default:
		err = fmt.Errorf("unknown case %q", os.Args[1])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
