package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// callRepeatedly implements "calls COUNT METHOD URL[,URL]... [HEADER: VALUE]...". It sends
// requests sequentially, to the URLs in turn, and prints "STATUS NUMBER" for each status.
func callRepeatedly(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	urls := strings.Split(args[2], ",")
	statuses := make(map[string]int)
	for i := range count {
		text, err := sendRequest(ts, append([]string{args[1], urls[i%len(urls)]}, args[3:]...))
		ts.Check(err)
		statuses[text[:3]]++
	}
	for _, status := range slices.Sorted(maps.Keys(statuses)) {
		_, err := fmt.Fprintf(ts.Stdout(), "%s %d\n", status, statuses[status])
		ts.Check(err)
	}
}
