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

// partition PREFIX[,PREFIX...] OPERATOR... cuts the processes with these
// operators' addresses off from the addresses with these prefixes.
func partition(ts *testscript.TestScript, _ bool, args []string) {
	block(ts, strings.Split(args[0], ","), args[1:])
}

// heal OPERATOR... ends the partition of these processes.
func heal(ts *testscript.TestScript, _ bool, args []string) { block(ts, []string{}, args) }

func block(ts *testscript.TestScript, prefixes, operators []string) {
	body, err := json.Marshal(map[string][]string{"blocked": prefixes})
	ts.Check(err)
	for _, address := range operators {
		put(ts, false, []string{address + "/faults/network", string(body)})
	}
}

// callersKey starts the key of a script's callers.
const callersKey = "callers "

// callersAtOnce is the number of callers that one command starts.
const callersAtOnce = 4

// callers are background callers that move to the next entry when an answer
// tells them that theirs is leaving.
type callers struct {
	ending  atomic.Bool
	running sync.WaitGroup
	mu      sync.Mutex
	answers int
	moved   int
	wrong   []string
}

func (c *callers) note(text string, err error, pattern *regexp.Regexp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
	if err != nil || !pattern.MatchString(text) {
		c.wrong = append(c.wrong, fmt.Sprintf("%v\n%s", err, text))
	}
}

func (c *callers) repeat(ts *testscript.TestScript, pattern *regexp.Regexp, entries, args []string) {
	for !c.ending.Load() {
		text, err := request(ts, append([]string{args[0], entries[0] + args[1]}, args[2:]...))
		c.note(text, err, pattern)
		if strings.Contains(text, "Lovage-Entry-Leaving: true") && len(entries) > 1 {
			entries = entries[1:]
			c.mu.Lock()
			c.moved++
			c.mu.Unlock()
		}
	}
}

// callers NAME REGEXP ENTRY[,ENTRY...] METHOD PATH [HEADER: VALUE]... calls
// until endcallers NAME.
func startCallers(ts *testscript.TestScript, _ bool, args []string) {
	c := &callers{}
	pattern, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	running.Store(callersID(ts, args[0]), c)
	for range callersAtOnce {
		c.running.Go(func() { c.repeat(ts, pattern, strings.Split(args[2], ","), args[3:]) })
	}
}

// running holds the callers of all scripts.
var running sync.Map

func callersID(ts *testscript.TestScript, name string) string {
	return callersKey + ts.Getenv("NET") + " " + name
}

// endcallers NAME ends callers and fails if an answer did not match. It prints
// the number of answers and how often a caller moved.
func endCallers(ts *testscript.TestScript, _ bool, args []string) {
	found, known := running.LoadAndDelete(callersID(ts, args[0]))
	if !known {
		ts.Fatalf("callers %q are not running", args[0])
	}
	c := found.(*callers)
	c.ending.Store(true)
	c.running.Wait()
	if len(c.wrong) > 0 {
		ts.Fatalf("callers %q: %d of %d answers do not match, the first: %s", args[0], len(c.wrong), c.answers, c.wrong[0])
	}
	fmt.Fprintf(ts.Stdout(), "answers %d\nmoved %d\n", c.answers, c.moved)
}
