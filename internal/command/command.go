// Package command is the operators' command line, one file for each command.
//
// Exit codes:
//
//	0  done
//	1  failed; nothing changed
//	2  the command line, text or settings are wrong; nothing was attempted
//	3  another change came first; nothing changed
//	4  the outcome cannot be told; read it with status before trying again
//	5  done in part: some instances cannot be heard
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

// callTimeout bounds one call of the store.
const callTimeout = 5 * time.Second

// Environment is what commands use of the process they run in.
type Environment struct {
	Out io.Writer
	// JSON selects output for programs.
	JSON bool
	// Platform is the address of the platform's store.
	Platform string
	Author   string
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var problems tomlfile.Problems
	var superseded *configuration.SupersededError
	var unknown *store.OutcomeUnknownError
	var file *FileError
	var notApplied *configuration.NotAppliedError
	var partial *UnheardError
	var guard *RevisionGuardError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &problems), errors.As(err, &file), isUsage(err):
		return ExitUsage
	case errors.As(err, &partial):
		return ExitPartial
	case errors.As(err, &notApplied):
		return ExitFailed
	case errors.As(err, &superseded), errors.As(err, &guard):
		return ExitSuperseded
	case errors.As(err, &unknown):
		return ExitUnknown
	default:
		return ExitFailed
	}
}

// FileError reports a text that cannot be read.
type FileError struct {
	File  string
	Cause error
}

// Error implements the error interface.
func (e *FileError) Error() string { return fmt.Sprintf("cannot read %q: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// publisher marks the changes of one command.
func (e *Environment) publisher() *configuration.Publisher {
	return &configuration.Publisher{
		Store:    store.NewHTTPClient(e.Platform, "ctl", callTimeout),
		Author:   e.Author,
		ChangeID: uuid.NewString(),
	}
}

// list reads the platform's list of instances.
func (e *Environment) list() *instancelist.Client {
	return instancelist.NewClient(e.Platform, callTimeout)
}

// print writes value as JSON, or text for people.
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
