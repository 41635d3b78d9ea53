// Package command implements the commands of lovagectl, the operators' command line, with
// one file for each command.
//
// Exit codes:
//
//	0  success
//	1  the command failed; nothing changed
//	2  the command line, text or settings are invalid; nothing was attempted
//	3  another change was published first; nothing changed
//	4  the outcome is unknown; check it with status before running the command again
//	5  partial success: some instances did not reply
package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"lovagescale/internal/configuration"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/store"
	"lovagescale/internal/tomlfile"
)

// Exit codes.
const (
	ExitDone       = 0
	ExitFailed     = 1
	ExitUsage      = 2
	ExitSuperseded = 3
	ExitUnknown    = 4
	ExitPartial    = 5
)

// requestTimeout bounds one call to the platform, and one to a process for dump.
const requestTimeout = 5 * time.Second

// Environment holds what commands take from the process that they run in.
type Environment struct {
	Out io.Writer
	// JSON selects JSON output instead of text.
	JSON bool
	// Platform is the address of the platform's store.
	Platform string
	Author   string
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var problems tomlfile.Problems
	var superseded *configuration.SupersededError
	var outcomeUnknown *store.OutcomeUnknownError
	var unreadable *FileError
	var notApplied *configuration.NotAppliedError
	var unheard *UnheardError
	var guard *RevisionGuardError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &problems), errors.As(err, &unreadable), isUsageError(err):
		return ExitUsage
	case errors.As(err, &unheard):
		return ExitPartial
	case errors.As(err, &notApplied):
		return ExitFailed
	case errors.As(err, &superseded), errors.As(err, &guard):
		return ExitSuperseded
	case errors.As(err, &outcomeUnknown):
		return ExitUnknown
	default:
		return ExitFailed
	}
}

// FileError reports a file that cannot be read.
type FileError struct {
	File  string
	Cause error
}

// Error implements the error interface.
func (e *FileError) Error() string { return fmt.Sprintf("cannot read %q: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// publisher returns a publisher that marks changes with the author and a change identifier
// of this command.
func (e *Environment) publisher() *configuration.Publisher {
	return &configuration.Publisher{
		Store:    store.NewHTTPClient(e.Platform, "ctl", requestTimeout),
		Author:   e.Author,
		ChangeID: uuid.NewString(),
	}
}

// instanceList returns a client of the platform's list of instances.
func (e *Environment) instanceList() *instancelist.Client {
	return instancelist.NewClient(e.Platform, requestTimeout)
}

// print writes value as JSON if JSON output is selected, and the formatted text otherwise.
func (e *Environment) print(value any, format string, arguments ...any) error {
	if e.JSON {
		return json.NewEncoder(e.Out).Encode(value)
	}
	_, err := fmt.Fprintf(e.Out, format+"\n", arguments...)
	return err
}

func readText(file string) (*configuration.Text, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return configuration.Parse(file, data)
}
