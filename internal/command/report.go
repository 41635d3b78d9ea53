package command

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"lovagescale/internal/tomlfile"
)

// report is a failure for programs.
type report struct {
	Error    string `json:"error"`
	ExitCode int    `json:"exit_code"`
	// Problems holds the faults of a text, one by one.
	Problems tomlfile.Problems `json:"problems,omitempty"`
}

// Report writes the failure of a command for people or, with asJSON, for
// programs, and returns its exit code.
func Report(w io.Writer, err error, asJSON bool) int {
	code := ExitCode(err)
	if err == nil {
		return code
	}
	if !asJSON {
		_, _ = fmt.Fprintf(w, "lovagectl: %v\n", err) // the exit code tells too
		return code
	}
	failed := report{Error: err.Error(), ExitCode: code}
	_ = errors.As(err, &failed.Problems)
	_ = json.NewEncoder(w).Encode(failed) // the exit code tells too
	return code
}
