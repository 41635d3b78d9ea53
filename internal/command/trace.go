package command

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// maxLineBytes is the longest log line that can be read.
const maxLineBytes = 1 << 20

// Trace is "lovagectl trace".
type Trace struct {
	ID    string   `arg:"" help:"Identifier of the request."`
	Files []string `arg:"" optional:"" help:"Log files of the instances; standard input if none is given."`
}

// traceLine holds the fields of a log line that trace uses.
type traceLine struct {
	Time       string  `json:"time"`
	Instance   string  `json:"instance"`
	Message    string  `json:"message"`
	Request    string  `json:"request"`
	Reason     string  `json:"reason"`
	Outcome    string  `json:"outcome"`
	Status     int     `json:"status"`
	Cause      string  `json:"cause"`
	Error      string  `json:"error"`
	Endpoint   string  `json:"endpoint"`
	Attempt    string  `json:"try"`
	Version    uint64  `json:"version"`
	Revision   uint64  `json:"revision"`
	TookMillis float64 `json:"took"`
}

// traceReport is the output of trace.
type traceReport struct {
	Request     string      `json:"request"`
	Explanation string      `json:"cause"`
	Lines       []traceLine `json:"lines"`
}

// NotTracedError reports a request whose identifier no log line has.
type NotTracedError struct{ Request string }

// Error implements the error interface.
func (e *NotTracedError) Error() string {
	return fmt.Sprintf("no log line belongs to request %q; log lines of served requests are sampled", e.Request)
}

// Run prints the log lines of the request by time, and a sentence on how it ended.
func (t *Trace) Run(e *Environment) error {
	lines, err := t.readLines()
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &NotTracedError{Request: t.ID}
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return strings.Compare(a.Time, b.Time) })
	report := traceReport{Request: t.ID, Explanation: describeOutcome(lines), Lines: lines}
	if e.JSON {
		return json.NewEncoder(e.Out).Encode(report)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintf(e.Out, "%s  %s  %s%s\n", line.Time, line.Instance, line.Message, line.formatDetails()); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(e.Out, "cause: %s\n", report.Explanation)
	return err
}

// readLines returns the lines of all files that belong to the request.
func (t *Trace) readLines() ([]traceLine, error) {
	if len(t.Files) == 0 {
		return matchingLines(os.Stdin, "standard input", t.ID)
	}
	var lines []traceLine
	for _, name := range t.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, &FileError{File: name, Cause: err}
		}
		found, err := matchingLines(file, name, t.ID)
		_ = file.Close() // it was opened for reading only
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	return lines, nil
}

// matchingLines returns the lines of a log that belong to the request. It ignores text
// before the JSON object of a line, such as the prefix of a log collector, and lines that
// are not valid JSON.
func matchingLines(log io.Reader, name, id string) ([]traceLine, error) {
	var lines []traceLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found || !strings.Contains(text, id) {
			continue
		}
		var line traceLine
		if json.Unmarshal([]byte("{"+text), &line) == nil && line.Request == id {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &FileError{File: name, Cause: err}
	}
	return lines, nil
}

// formatDetails returns the fields of the line other than time, instance and message.
func (l traceLine) formatDetails() string {
	var text strings.Builder
	add := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&text, "  %s=%s", name, value)
		}
	}
	if l.Status != 0 {
		add("status", fmt.Sprint(l.Status))
	}
	add("reason", l.Reason)
	add("endpoint", l.Endpoint)
	add("try", l.Attempt)
	add("cause", l.Cause)
	add("error", l.Error)
	if l.Version != 0 {
		add("version", fmt.Sprint(l.Version))
	}
	return text.String()
}

// refusalCauses holds an explanation for each reason of refusal.
var refusalCauses = map[string]string{
	"no-capacity":          "no endpoint of the region could take the request, so it was refused and has not run",
	"rate-exceeded":        "the workspace was above its rate, so the request was refused and has not run",
	"key-unknown":          "the configuration in force holds no such workspace key",
	"key-missing":          "the request carried no workspace key",
	"route-unknown":        "the configuration in force has no route for the host and path",
	"not-configured":       "the instance had no configuration yet, so the request has not run",
	"quarantined":          "identical requests crashed several endpoints, so the request was refused and has not run",
	"upstream-unreachable": "no endpoint took the request, so it has not run",
	"upstream-failed":      "an endpoint dropped the request after it was sent; it may have run",
	"deadline-exceeded":    "an endpoint gave no answer by the deadline; the request may have run",
	"body-too-large":       "the body was above the limit, so the request has not run",
	"body-cut":             "the caller ended the body early, so the request has not run",
}

// describeOutcome returns a sentence on how the request ended, from the last line with a
// reason of refusal or a status.
func describeOutcome(lines []traceLine) string {
	for _, line := range slices.Backward(lines) {
		if line.Reason != "" {
			return describeRefusal(line)
		}
		if line.Status != 0 {
			return fmt.Sprintf("endpoint %s answered with status %d after %.0f ms", line.Endpoint, line.Status, line.TookMillis)
		}
	}
	return "the request's end was not logged"
}

func describeRefusal(line traceLine) string {
	text, known := refusalCauses[line.Reason]
	if !known {
		text = "refused for " + line.Reason
	}
	if line.Cause != "" {
		text += " (" + line.Cause + ")"
	}
	return fmt.Sprintf("%s; configuration version %d, store revision %d", text, line.Version, line.Revision)
}
