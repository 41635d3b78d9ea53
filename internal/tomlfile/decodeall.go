package tomlfile

import (
	"bytes"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxUnread bounds the values of one text that are reported as unreadable.
const maxUnread = 100

// DecodeAll reads data into target like Decode, but goes on after a value that
// cannot be read, so that the caller can check the rest and report all faults
// at once by Err. It returns Problems only for a text whose syntax is wrong.
func DecodeAll(name string, data []byte, target any) (*Text, error) {
	text, err := Decode(name, data, target)
	if err == nil {
		return text, nil
	}
	if syntaxErr := syntax(data); syntaxErr != nil {
		return text, err
	}
	all := &Text{name: name, lines: text.lines, unread: make(map[string]bool)}
	rest := slices.Clone(data)
	for range maxUnread {
		found, _ := Decode(name, rest, target)
		if len(found.problems) == 0 {
			return all, nil
		}
		for _, problem := range found.problems {
			all.unread[problem.Key] = true
			all.problems = append(all.problems, problem)
			rest = blank(rest, problem.Line)
		}
	}
	return all, nil
}

// syntax returns the fault that keeps a text from being parsed, or nil.
func syntax(data []byte) error {
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		continue
	}
	return parser.Error()
}

// blank replaces the expression that holds a line by empty lines.
func blank(data []byte, line int) []byte {
	lines := bytes.SplitAfter(data, []byte("\n"))
	first, next := 1, len(lines)+1
	for _, start := range expressionLines(data) {
		if start <= line {
			first = start
		} else {
			next = start
			break
		}
	}
	blanked := make([]byte, 0, len(data))
	for i, content := range lines {
		if number := i + 1; number >= first && number < next {
			blanked = append(blanked, '\n')
			continue
		}
		blanked = append(blanked, content...)
	}
	return blanked
}

// expressionLines returns the first line of each expression, in order.
func expressionLines(data []byte) []int {
	var starts []int
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		keys := parser.Expression().Key()
		if keys.Next() {
			starts = append(starts, parser.Shape(parser.Range(keys.Node().Data)).Start.Line)
		}
	}
	return starts
}
