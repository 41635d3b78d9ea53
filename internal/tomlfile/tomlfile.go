// Package tomlfile decodes TOML files, rejects unknown keys, and reports each
// problem with its file, line and key. It is used for the settings of the daemons
// and for the operators' configuration.
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

// Problem is an error at one place of a file.
type Problem struct {
	File string `json:"file"`
	// Line is the line number, counted from 1. It is 0 if neither the key nor a
	// table that encloses it is in the file.
	Line int `json:"line"`
	// Key is the dotted path of the key.
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

// Error implements the error interface.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s:%d: key %q: %s", p.File, p.Line, p.Key, p.Reason)
}

// Problems holds all problems found in a file, ordered by line. It implements error
// and is never empty when it is returned as an error.
type Problems []*Problem

// Error implements the error interface.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Document is a decoded file. It knows the lines of the keys and collects problems.
type Document struct {
	name string
	// lines maps key paths, joined by zero bytes, to their first lines.
	lines    map[string]int
	problems Problems
	// undecodable holds the dotted paths of keys whose values could not be decoded.
	undecodable map[string]bool
}

// Decode decodes data into target and rejects unknown keys. The name of the file is
// only used in problems. It returns Problems.
func Decode(name string, data []byte, target any) (*Document, error) {
	document := &Document{name: name, lines: keyLines(data)}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return document, nil
	}
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) {
		for i := range strictErr.Errors {
			document.addDecodeError(&strictErr.Errors[i], "unknown key")
		}
		return document, document.Err()
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		document.addDecodeError(decodeErr, strings.TrimPrefix(decodeErr.Error(), "toml: "))
		return document, document.Err()
	}
	document.problems = append(document.problems, &Problem{File: name, Reason: err.Error()})
	return document, document.Err()
}

// addDecodeError adds a problem at the position of err.
func (d *Document) addDecodeError(err *toml.DecodeError, reason string) {
	line, _ := err.Position()
	key := strings.Join(err.Key(), ".")
	d.problems = append(d.problems, &Problem{File: d.name, Line: line, Key: key, Reason: reason})
}

// Add adds a problem with the given key. It ignores keys whose values could not be
// decoded, because they already have a problem.
func (d *Document) Add(reason string, path ...string) {
	key := strings.Join(path, ".")
	if d.undecodable[key] {
		return
	}
	d.problems = append(d.problems, &Problem{File: d.name, Line: d.Line(path...), Key: key, Reason: reason})
}

// Addf is like Add with a formatted reason.
func (d *Document) Addf(path []string, format string, arguments ...any) {
	d.Add(fmt.Sprintf(format, arguments...), path...)
}

// Line returns the line of the key, or of the nearest enclosing table if the key is
// absent, or 0 if there is none.
func (d *Document) Line(path ...string) int {
	for n := len(path); n > 0; n-- {
		if line, found := d.lines[strings.Join(path[:n], "\x00")]; found {
			return line
		}
	}
	return 0
}

// Err returns all problems added so far as Problems, or nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sort.SliceStable(d.problems, func(i, j int) bool {
		return d.problems[i].Line < d.problems[j].Line
	})
	return d.problems
}

// keyLines maps each key path of a file, joined by zero bytes, to its first line.
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

// recordKeyValue records the lines of a key-value pair below table, including the
// keys of an inline table.
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

// recordKey records the lines of a dotted key below prefix and returns its path.
func recordKey(parser *unstable.Parser, lines map[string]int, prefix []string, node *unstable.Node) []string {
	path := append([]string{}, prefix...)
	keys := node.Key()
	for keys.Next() {
		component := keys.Node()
		path = append(path, string(component.Data))
		joined := strings.Join(path, "\x00")
		if _, known := lines[joined]; !known {
			lines[joined] = parser.Shape(parser.Range(component.Data)).Start.Line
		}
	}
	return path
}
