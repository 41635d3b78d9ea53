package product

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lovagescale/internal/crowd"
	"lovagescale/internal/membership"
	"lovagescale/internal/wire"
	"lovagescale/platform/standin"
)

// Names of the listeners.
const (
	callers   = "callers"
	links     = "link"
	operators = "operators"
)

const (
	path = "/files/any"
	// ordinaryBodyBytes is the size of the body of an ordinary request.
	ordinaryBodyBytes = 100_000
	// elementCount is the number of elements of a message of many short elements.
	elementCount = 256 << 10
)

// folder holds the programs, which TestMain builds.
var folder string

func TestMain(m *testing.M) {
	var err error
	if folder, err = os.MkdirTemp("", "crowds"); err != nil {
		panic(err)
	}
	if output, err := exec.Command("go", "build", "-o", folder, "lovagescale/cmd/...").CombinedOutput(); err != nil {
		panic(string(output))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// deployment is a running entry, a lookup server and what they depend on.
type deployment struct{ entry, lookup *crowd.Subject }

// limits are the settings that lower the limits of a process.
var limits = fmt.Sprintf("memory_mb = %d\nmax_descriptors = %d\n", crowd.TestMemoryMB, crowd.TestDescriptors)

func start(t *testing.T) deployment {
	t.Helper()
	a, err := standin.FreeAddresses(standin.LoopbackHost(0), 8)
	check(t, err)
	standinPlatform, control, endpoint := a[0], a[1], a[2]
	run(t, "lovage-standin", fmt.Sprintf(`platform = %q
control = %q
[[instance]]
id = "north-1-a"
availability_zone = "north-1"
address = %q
link = %q
state = "live"
[[upstream]]
service = "files"
availability_zone = "north-1"
slots = 64
work = "1ms"
addresses = [%q]
`, standinPlatform, control, a[3], a[4], endpoint))
	entry := run(t, "lovage-entry", fmt.Sprintf(`instance = "north-1-a"
availability_zone = "north-1"
address = %q
link = %q
operator = %q
platform = %q
stop_grace = "1s"
%s`, a[3], a[4], a[5], standinPlatform, limits))
	lookup := run(t, "lovage-lookup", fmt.Sprintf(`availability_zone = "north-1"
address = %q
operator = %q
entries = [%q]
%s`, a[6], a[7], a[4], limits))
	apply(t, standinPlatform, fmt.Sprintf(`[region.north]
link_bandwidth = "280Mbit/s"
shift_cap = "50/s"
[zone.north-1]
region = "north"
client_blocks = ["10.1.0.0/16"]
[service.files]
depends_on = []
slots = 64
connections = 100
timeout = "5s"
[service.files.endpoints]
north-1 = [%q]
[service.files.route.any]
path = "/any"
methods = ["GET", "POST"]
kind = "lookup"
open = true
`, endpoint))
	ordinaryEntry := map[string]crowd.Ordinary{
		callers:   crowd.HTTPOrdinary(a[3], a[3], path, "", strings.Repeat("x", ordinaryBodyBytes)),
		links:     crowd.LinkOrdinary(a[4]),
		operators: crowd.HTTPOrdinary(a[5], a[5], "/debug/state", "", ""),
	}
	ordinaryLookup := map[string]crowd.Ordinary{
		callers:   crowd.HTTPOrdinary(a[6], a[6], "/v1/entries?service=files", "", ""),
		operators: crowd.HTTPOrdinary(a[7], a[7], "/debug/state", "", ""),
	}
	return deployment{
		entry: &crowd.Subject{Process: entry, Bounds: crowd.TestBounds(), Ordinary: ordinaryEntry,
			Listeners: map[string]string{callers: a[3], links: a[4], operators: a[5]}},
		lookup: &crowd.Subject{Process: lookup, Bounds: crowd.TestBounds(), Ordinary: ordinaryLookup,
			Listeners: map[string]string{callers: a[6], operators: a[7]}},
	}
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// run starts a program with its settings.
func run(t *testing.T, program, settings string) *crowd.Process {
	t.Helper()
	file := filepath.Join(t.TempDir(), program+".toml")
	check(t, os.WriteFile(file, []byte(settings), 0o600))
	process, err := crowd.StartProcess(filepath.Join(t.TempDir(), program+".log"), filepath.Join(folder, program), "--settings", file)
	check(t, err)
	t.Cleanup(process.Kill)
	return process
}

// apply writes the configuration once the stand-in listens.
func apply(t *testing.T, address, configuration string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "configuration.toml")
	check(t, os.WriteFile(file, []byte(configuration), 0o600))
	var output []byte
	err := fmt.Errorf("not tried")
	for end := time.Now().Add(10 * time.Second); err != nil && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		output, err = exec.Command(filepath.Join(folder, "lovagectl"), "--platform", address, "apply", file).CombinedOutput()
	}
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
}

// checkKinds runs each kind of crowd against processes of its own.
func checkKinds(t *testing.T, subject func(deployment) *crowd.Subject, listener string, kinds []crowd.Kind) {
	for _, kind := range kinds {
		t.Run(kind.Name, func(t *testing.T) {
			crowd.SkipIfKnownRed(t)
			subject(start(t)).Check(t, kind, listener)
		})
	}
}

func entryOf(d deployment) *crowd.Subject  { return d.entry }
func lookupOf(d deployment) *crowd.Subject { return d.lookup }

// Guards against an entry that runs out of memory or descriptors, or serves nobody, because of
// callers of an open route.
func TestCrowdAtEntry(t *testing.T) {
	checkKinds(t, entryOf, callers, crowd.HTTPKinds(crowd.Target{Host: "entry", Path: path}))
}

func TestCrowdAtEntryWithoutRoute(t *testing.T) {
	checkKinds(t, entryOf, callers, crowd.HTTPKinds(crowd.Target{Host: "entry", Path: "/none"}))
}

func TestCrowdAtEntryOperators(t *testing.T) {
	checkKinds(t, entryOf, operators, crowd.HTTPKinds(crowd.Target{Host: "entry", Path: "/debug/metrics", LargePath: "/debug/state"}))
}

func TestCrowdAtEntryLink(t *testing.T) {
	message := membership.Message{From: "x", Zone: "north-1", Digests: make([]membership.Digest, elementCount)}
	many, err := wire.Encode(membership.TypeExchange, 1, message)
	check(t, err)
	checkKinds(t, entryOf, links, crowd.LinkKinds(many))
}

func TestCrowdAtLookup(t *testing.T) {
	checkKinds(t, lookupOf, callers, crowd.HTTPKinds(crowd.Target{Host: "lookup", Path: "/v1/entries?service=files"}))
}

func TestCrowdAtLookupOperators(t *testing.T) {
	checkKinds(t, lookupOf, operators, crowd.HTTPKinds(crowd.Target{Host: "lookup", Path: "/debug/metrics", LargePath: "/debug/state"}))
}
