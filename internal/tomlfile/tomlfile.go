// Package tomlfile reads TOML texts strictly and reports every problem with
// the file, line and key it concerns. Settings and the operators' text share
// it.
package tomlfile

import (
	"bytes"
	"fmt"
	"github.com/pkg/errors"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is one fault of a text.
type Problem struct {
	File string `json:"file"`
	// Line starts at 1; 0 means that the key is absent from the text.
	Line int `json:"line"`
	// Key is the dotted path of the key.
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

// Error implements the error interface.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s:%d: key %q: %s", p.File, p.Line, p.Key, p.Reason)
}

// Problems holds all faults found in a text, ordered by line. It implements
// error and is never empty when returned as one.
type Problems []*Problem

// Error implements the error interface.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Text is a decoded file that can tell the lines of its keys.
type Text struct {
	name     string
	lines    map[string]int
	problems Problems
	// unread holds the keys whose values could not be read.
	unread map[string]bool
}

// Decode reads data into target and refuses unknown keys. The file name is
// used in problems only. It returns Problems.
func Decode(name string, data []byte, target any) (*Text, error) {
	text := &Text{name: name, lines: keyLines(data)}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return text, nil
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		for i := range missing.Errors {
			text.addDecodeError(&missing.Errors[i], "unknown key")
		}
		return text, text.Err()
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		text.addDecodeError(decode, strings.TrimPrefix(decode.Error(), "toml: "))
		return text, text.Err()
	}
	text.problems = append(text.problems, &Problem{File: name, Reason: err.Error()})
	return text, text.Err()
}

func (t *Text) addDecodeError(err *toml.DecodeError, reason string) {
	row, _ := err.Position()
	key := strings.Join(err.Key(), ".")
	t.problems = append(t.problems, &Problem{File: t.name, Line: row, Key: key, Reason: reason})
}

// Add records a fault of the given key path. A key whose value could not be
// read gets no second one.
func (t *Text) Add(reason string, path ...string) {
	key := strings.Join(path, ".")
	if t.unread[key] {
		return
	}
	t.problems = append(t.problems, &Problem{File: t.name, Line: t.Line(path...), Key: key, Reason: reason})
}

// Addf records a fault with a formatted reason.
func (t *Text) Addf(path []string, format string, arguments ...any) {
	t.Add(fmt.Sprintf(format, arguments...), path...)
}

// Line returns the line of the key, or of its nearest enclosing table.
func (t *Text) Line(path ...string) int {
	for n := len(path); n > 0; n-- {
		if line, found := t.lines[strings.Join(path[:n], "\x00")]; found {
			return line
		}
	}
	return 0
}

// Err returns the recorded faults as Problems, or nil.
func (t *Text) Err() error {
	if len(t.problems) == 0 {
		return nil
	}
	sort.SliceStable(t.problems, func(i, j int) bool {
		return t.problems[i].Line < t.problems[j].Line
	})
	return t.problems
}

// keyLines maps each key path of the text to its first line.
func keyLines(data []byte) map[string]int {
	lines := make(map[string]int)
	parser := unstable.Parser{}
	parser.Reset(data)
	var table []string
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = recordKey(&parser, lines, nil, node)
		case unstable.KeyValue:
			recordKeyValue(&parser, lines, table, node)
		}
	}
	return lines
}

func recordKeyValue(parser *unstable.Parser, lines map[string]int, table []string, node *unstable.Node) {
	path := recordKey(parser, lines, table, node)
	value := node.Value()
	if value.Kind != unstable.InlineTable {
		return
	}
	children := value.Children()
	for children.Next() {
		recordKeyValue(parser, lines, path, children.Node())
	}
}

func recordKey(parser *unstable.Parser, lines map[string]int, prefix []string, node *unstable.Node) []string {
	path := append([]string{}, prefix...)
	keys := node.Key()
	for keys.Next() {
		part := keys.Node()
		path = append(path, string(part.Data))
		joined := strings.Join(path, "\x00")
		if _, known := lines[joined]; !known {
			lines[joined] = parser.Shape(parser.Range(part.Data)).Start.Line
		}
	}
	return path
}
