// Package scenario drives the real programs and the stand-in by scripts, one
// for each promise and each failure. Scripts are testscript archives under
// testdata; commands_test.go adds the commands that they use.
//
// Each script gets a network of its own, 127.N.0.0/16 with its number in $NET,
// so that scripts run side by side. Waits are for events; a script that waits
// for longer than awaitLimit fails.
package scenario

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// firstNet and lastNet bound the second octet of a script's network.
const (
	firstNet = 100
	lastNet  = 254
)

// programs is the folder of the programs that scripts start.
var programs string

// claimNet returns a network that no other script uses, of this run or of
// another one on the machine. The claim is a listener in that network.
func claimNet(e *testscript.Env) string {
	for octet := firstNet; octet <= lastNet; octet++ {
		claim, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:7999", octet))
		if err != nil {
			continue
		}
		e.Defer(func() { _ = claim.Close() })
		return strconv.Itoa(octet)
	}
	e.T().Fatal("no network is free")
	return ""
}

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "lovagescale-programs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	programs = directory
	build := exec.Command("go", "build", "-tags", "faults", "-o", directory, "lovagescale/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", output, err)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"expand":     expand,
			"start":      start,
			"signal":     signalProcess,
			"shutdown":   shutdown,
			"crash":      crash,
			"ctl":        ctl,
			"call":       callOnce,
			"await":      await,
			"put":        put,
			"readenv":    readEnv,
			"capture":    capture,
			"run":        run,
			"partition":  partition,
			"heal":       heal,
			"callers":    startCallers,
			"endcallers": endCallers,
			"busy":       busy,
			"busyend":    busyEnd,
			"calls":      calls,
		},
		Setup: func(e *testscript.Env) error {
			net := claimNet(e)
			e.Setenv("NET", net)
			e.Setenv("HOME", e.WorkDir)
			e.Setenv("PROGRAMS", programs)
			e.Setenv("PLATFORM", "127."+net+".0.1:7100")
			e.Setenv("CONTROL", "127."+net+".0.1:7101")
			e.Values[busyKey] = make(map[string]*busyCaller)
			e.Values[processesKey] = &processes{running: make(map[string]*process)}
			e.Defer(func() { e.Values[processesKey].(*processes).killAll() })
			return copyFixtures(e.WorkDir)
		},
	})
}

// copyFixtures gives each script the settings and the text of a small estate.
func copyFixtures(workDir string) error {
	files, err := filepath.Glob(filepath.Join("testdata", "estate", "*.toml"))
	if err != nil {
		return err
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(workDir, filepath.Base(file)), content, 0o600); err != nil {
			return err
		}
	}
	return nil
}
