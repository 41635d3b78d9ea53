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

// maxLineBytes bounds a line of a log that is read.
const maxLineBytes = 1 << 20

// Trace is "lovagectl trace".
type Trace struct {
	ID    string   `arg:"" help:"Identifier of the request."`
	Files []string `arg:"" optional:"" help:"Log files of the instances; standard input without any."`
}

// traceLine is what trace reads of a line of the log.
type traceLine struct {
	Time     string  `json:"time"`
	Instance string  `json:"instance"`
	Message  string  `json:"message"`
	Request  string  `json:"request"`
	Reason   string  `json:"reason"`
	Outcome  string  `json:"outcome"`
	Status   int     `json:"status"`
	Cause    string  `json:"cause"`
	Error    string  `json:"error"`
	Endpoint string  `json:"endpoint"`
	Try      string  `json:"try"`
	Version  uint64  `json:"version"`
	Revision uint64  `json:"revision"`
	Took     float64 `json:"took"`
}

// traceReport is the output of trace.
type traceReport struct {
	Request string      `json:"request"`
	Cause   string      `json:"cause"`
	Lines   []traceLine `json:"lines"`
}

// NotTracedError reports a request that no line of the logs names.
type NotTracedError struct{ Request string }

// Error implements the error interface.
func (e *NotTracedError) Error() string {
	return fmt.Sprintf("no line of the logs names request %q; served requests are sampled", e.Request)
}

// Run gathers the lines of the request and says its cause in a sentence.
func (t *Trace) Run(e *Environment) error {
	lines, err := t.read()
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &NotTracedError{Request: t.ID}
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return strings.Compare(a.Time, b.Time) })
	report := traceReport{Request: t.ID, Cause: causeOf(lines), Lines: lines}
	if e.JSON {
		return json.NewEncoder(e.Out).Encode(report)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintf(e.Out, "%s  %s  %s%s\n", line.Time, line.Instance, line.Message, line.details()); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(e.Out, "cause: %s\n", report.Cause)
	return err
}

// read returns the lines of all files that name the request.
func (t *Trace) read() ([]traceLine, error) {
	if len(t.Files) == 0 {
		return linesOf(os.Stdin, "standard input", t.ID)
	}
	var lines []traceLine
	for _, name := range t.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, &FileError{File: name, Cause: err}
		}
		found, err := linesOf(file, name, t.ID)
		_ = file.Close() // it was only read
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	return lines, nil
}

// linesOf returns the lines of a log that name the request. What stands before
// the JSON of a line, such as a collector's prefix, is passed over.
func linesOf(log io.Reader, name, id string) ([]traceLine, error) {
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

// details returns what the line says beside its message.
func (l traceLine) details() string {
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
	add("try", l.Try)
	add("cause", l.Cause)
	add("error", l.Error)
	if l.Version != 0 {
		add("version", fmt.Sprint(l.Version))
	}
	return text.String()
}

// causes are the sentences for reasons of refusal.
var causes = map[string]string{
	"no-capacity":          "no endpoint of the region had room, so the request was refused and has not run",
	"rate-exceeded":        "the workspace was above its rate, so the request was refused and has not run",
	"key-unknown":          "the configuration in force holds no such workspace key",
	"key-missing":          "the request carried no workspace key",
	"route-unknown":        "the configuration in force has no route for the host and path",
	"not-configured":       "the instance had no configuration yet, so the request has not run",
	"quarantined":          "equal requests crashed several endpoints, so it was refused and has not run",
	"upstream-unreachable": "no endpoint took the request, so it has not run",
	"upstream-failed":      "an endpoint dropped the request after it was sent; it may have run",
	"deadline-exceeded":    "an endpoint gave no answer by the deadline; the request may have run",
	"body-too-large":       "the body was above the limit, so the request has not run",
	"body-cut":             "the caller broke off the body, so the request has not run",
}

// causeOf returns a sentence on how the request ended.
func causeOf(lines []traceLine) string {
	for _, line := range slices.Backward(lines) {
		if line.Reason != "" {
			return sentence(line)
		}
		if line.Status != 0 {
			return fmt.Sprintf("endpoint %s answered with status %d after %.0f ms", line.Endpoint, line.Status, line.Took)
		}
	}
	return "the request's end was not logged"
}

func sentence(line traceLine) string {
	text, known := causes[line.Reason]
	if !known {
		text = "refused for " + line.Reason
	}
	if line.Cause != "" {
		text += " (" + line.Cause + ")"
	}
	return fmt.Sprintf("%s; configuration version %d, store revision %d", text, line.Version, line.Revision)
}
