// Package scenario tests the real programs and the stand-in with scripts, one for each
// guarantee and each failure. Scripts are testscript archives under testdata. The other test
// files of this package implement the commands that are added to those of testscript.
//
// Each script uses its own network 127.N.0.0/16, with N in $NET, so that scripts can run in
// parallel. Scripts wait for events, not for fixed times. A wait that takes longer than
// waitTimeout fails the script.
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

// firstNetwork and lastNetwork are the lowest and highest second octet of a script's
// network.
const (
	firstNetwork = 100
	lastNetwork  = 254
)

// programFolder is the folder with the programs that scripts start.
var programFolder string

// claimNetwork returns the second octet of a network that no other script uses, in this test
// run or in a concurrent one on the same machine. It holds a listener in that network as a
// claim until the script ends.
func claimNetwork(e *testscript.Env) string {
	for octet := firstNetwork; octet <= lastNetwork; octet++ {
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
	programFolder = directory
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
			"put":        putJSON,
			"readenv":    readEnv,
			"capture":    capture,
			"run":        run,
			"partition":  partition,
			"heal":       heal,
			"callers":    startCallers,
			"endcallers": endCallers,
			"busy":       startBusyCaller,
			"busyend":    endBusyCaller,
			"calls":      callRepeatedly,
		},
		Setup: func(e *testscript.Env) error {
			net := claimNetwork(e)
			e.Setenv("NET", net)
			e.Setenv("HOME", e.WorkDir)
			e.Setenv("PROGRAMS", programFolder)
			e.Setenv("PLATFORM", "127."+net+".0.1:7100")
			e.Setenv("CONTROL", "127."+net+".0.1:7101")
			e.Values[busyCallersKey] = make(map[string]*busyCaller)
			e.Values[processesKey] = &processes{running: make(map[string]*process)}
			e.Defer(func() { e.Values[processesKey].(*processes).killAll() })
			return copyFixtures(e.WorkDir)
		},
	})
}

// copyFixtures copies the settings files and the configuration text of a small deployment to
// a script's working directory.
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
