package tomlfile

import (
	"bytes"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxDecodePasses limits how often DecodeAll decodes a file. Every pass but the last
// one reports at least one problem.
const maxDecodePasses = 100

// DecodeAll decodes data into target like Decode, but skips unknown keys and values
// that cannot be decoded. The caller can then check the other values, add its own
// problems and report all of them with Err. DecodeAll itself returns Problems only
// for a syntax error.
func DecodeAll(name string, data []byte, target any) (*Document, error) {
	document, err := Decode(name, data, target)
	if err == nil {
		return document, nil
	}
	if syntaxErr := syntaxError(data); syntaxErr != nil {
		return document, err
	}
	result := &Document{name: name, lines: document.lines, undecodable: make(map[string]bool)}
	remaining := slices.Clone(data)
	for range maxDecodePasses {
		decoded, _ := Decode(name, remaining, target)
		if len(decoded.problems) == 0 {
			return result, nil
		}
		for _, problem := range decoded.problems {
			result.undecodable[problem.Key] = true
			result.problems = append(result.problems, problem)
			remaining = blankExpression(remaining, problem.Line)
		}
	}
	return result, nil
}

// syntaxError returns the error that prevents a file from being parsed, or nil.
func syntaxError(data []byte) error {
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		continue
	}
	return parser.Error()
}

// blankExpression replaces all lines of the expression that contains the given line
// by empty lines, which keeps the numbers of the other lines.
func blankExpression(data []byte, line int) []byte {
	lines := bytes.SplitAfter(data, []byte("\n"))
	firstLine, nextStart := 1, len(lines)+1
	for _, expressionStart := range expressionLines(data) {
		if expressionStart <= line {
			firstLine = expressionStart
		} else {
			nextStart = expressionStart
			break
		}
	}
	blanked := make([]byte, 0, len(data))
	for i, content := range lines {
		if number := i + 1; number >= firstLine && number < nextStart {
			blanked = append(blanked, '\n')
			continue
		}
		blanked = append(blanked, content...)
	}
	return blanked
}

// expressionLines returns the first line of each table header and each key-value
// pair, in ascending order.
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
