package scenario

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rogpeppe/go-internal/testscript"
)

// partition implements "partition PREFIX[,PREFIX...] OPERATOR...". It blocks the connections
// of the processes with these operator addresses to the addresses with these prefixes.
func partition(ts *testscript.TestScript, _ bool, args []string) {
	setBlockedPrefixes(ts, strings.Split(args[0], ","), args[1:])
}

// heal implements "heal OPERATOR...". It removes the blocks of these processes.
func heal(ts *testscript.TestScript, _ bool, args []string) { setBlockedPrefixes(ts, []string{}, args) }

func setBlockedPrefixes(ts *testscript.TestScript, prefixes, operators []string) {
	body, err := json.Marshal(map[string][]string{"blocked": prefixes})
	ts.Check(err)
	for _, address := range operators {
		putJSON(ts, false, []string{address + "/faults/network", string(body)})
	}
}

// callersPrefix is the prefix of the names in runningCallers.
const callersPrefix = "callers "

// callerCount is the number of callers that one "callers" command starts.
const callerCount = 4

// backgroundCallers are callers that send requests until they are stopped. Each moves to the
// next entry instance when an answer announces that its entry instance is leaving.
type backgroundCallers struct {
	stopping   atomic.Bool
	running    sync.WaitGroup
	mu         sync.Mutex
	answers    int
	moved      int
	mismatches []string
}

func (c *backgroundCallers) recordAnswer(text string, err error, pattern *regexp.Regexp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
	if err != nil || !pattern.MatchString(text) {
		c.mismatches = append(c.mismatches, fmt.Sprintf("%v\n%s", err, text))
	}
}

func (c *backgroundCallers) sendUntilStopped(ts *testscript.TestScript, pattern *regexp.Regexp, addresses, args []string) {
	for !c.stopping.Load() {
		text, err := sendRequest(ts, append([]string{args[0], addresses[0] + args[1]}, args[2:]...))
		c.recordAnswer(text, err, pattern)
		if strings.Contains(text, "Lovage-Entry-Leaving: true") && len(addresses) > 1 {
			addresses = addresses[1:]
			c.mu.Lock()
			c.moved++
			c.mu.Unlock()
		}
	}
}

// startCallers implements "callers NAME REGEXP ENTRY[,ENTRY...] METHOD PATH [HEADER:
// VALUE]...". Its callers send requests until "endcallers NAME".
func startCallers(ts *testscript.TestScript, _ bool, args []string) {
	c := &backgroundCallers{}
	pattern, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	runningCallers.Store(callersName(ts, args[0]), c)
	for range callerCount {
		c.running.Go(func() { c.sendUntilStopped(ts, pattern, strings.Split(args[2], ","), args[3:]) })
	}
}

// runningCallers holds the background callers of all scripts by name.
var runningCallers sync.Map

func callersName(ts *testscript.TestScript, name string) string {
	return callersPrefix + ts.Getenv("NET") + " " + name
}

// endCallers implements "endcallers NAME". It stops the callers and fails if an answer did
// not match. It prints the number of answers and how often a caller moved to another entry
// instance.
func endCallers(ts *testscript.TestScript, _ bool, args []string) {
	found, known := runningCallers.LoadAndDelete(callersName(ts, args[0]))
	if !known {
		ts.Fatalf("callers %q are not running", args[0])
	}
	c := found.(*backgroundCallers)
	c.stopping.Store(true)
	c.running.Wait()
	if len(c.mismatches) > 0 {
		ts.Fatalf("callers %q: %d of %d answers do not match, the first: %s", args[0], len(c.mismatches), c.answers, c.mismatches[0])
	}
	fmt.Fprintf(ts.Stdout(), "answers %d\nmoved %d\n", c.answers, c.moved)
}
