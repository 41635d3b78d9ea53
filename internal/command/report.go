package command

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"lovagescale/internal/tomlfile"
)

// failureReport is the JSON output for a failed command.
type failureReport struct {
	Error    string `json:"error"`
	ExitCode int    `json:"exit_code"`
	// Problems holds the problems of a configuration text.
	Problems tomlfile.Problems `json:"problems,omitempty"`
}

// Report writes the error of a command as text or, with asJSON, as JSON, and returns the
// exit code. It writes nothing if err is nil.
func Report(w io.Writer, err error, asJSON bool) int {
	code := ExitCode(err)
	if err == nil {
		return code
	}
	if !asJSON {
		_, _ = fmt.Fprintf(w, "lovagectl: %v\n", err) // the exit code reports the failure too
		return code
	}
	failure := failureReport{Error: err.Error(), ExitCode: code}
	_ = errors.As(err, &failure.Problems)
	_ = json.NewEncoder(w).Encode(failure) // the exit code reports the failure too
	return code
}
