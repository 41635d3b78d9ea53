// Package command is the operators' command line: check, apply, key and dump.
//
// Exit codes:
//
//	0  done
//	1  failed; nothing changed
//	2  the command line, text or settings are wrong; nothing was attempted
//	3  another change came first; nothing changed
//	4  the outcome cannot be told; read it with status before trying again
package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"lovagescale/internal/configuration"
	"lovagescale/internal/store"
	"lovagescale/internal/tomlfile"
	"lovagescale/internal/workspacekey"
)

// Exit codes.
const (
	ExitDone       = 0
	ExitFailed     = 1
	ExitUsage      = 2
	ExitSuperseded = 3
	ExitUnknown    = 4
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
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &problems), errors.As(err, &file):
		return ExitUsage
	case errors.As(err, &superseded):
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

// DumpError reports a process whose state cannot be fetched.
type DumpError struct {
	Address string
	Cause   error
}

// Error implements the error interface.
func (e *DumpError) Error() string {
	return fmt.Sprintf("cannot fetch the state of %q: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *DumpError) Unwrap() error { return e.Cause }

// publisher marks the changes of one command.
func (e *Environment) publisher() *configuration.Publisher {
	return &configuration.Publisher{
		Store:    store.NewHTTPClient(e.Platform, "ctl", callTimeout),
		Author:   e.Author,
		ChangeID: uuid.NewString(),
	}
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

// Check is "lovagectl check".
type Check struct {
	File string `arg:"" help:"Configuration text to check."`
}

// Run reads the text and reports every fault at once.
func (c *Check) Run(e *Environment) error {
	text, err := readText(c.File)
	if err != nil {
		return err
	}
	summary := checkSummary{
		Regions:    len(text.Region),
		Zones:      len(text.Zone),
		Services:   len(text.Service),
		Workspaces: len(text.Workspace),
	}
	return e.print(summary, "%s is valid: %d regions, %d availability zones, %d services, %d workspaces",
		c.File, summary.Regions, summary.Zones, summary.Services, summary.Workspaces)
}

type checkSummary struct {
	Regions    int `json:"regions"`
	Zones      int `json:"availability_zones"`
	Services   int `json:"services"`
	Workspaces int `json:"workspaces"`
}

// Apply is "lovagectl apply".
type Apply struct {
	File string `arg:"" help:"Configuration text to put in force."`
}

type applied struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
}

// Run publishes the text as the next revision.
func (a *Apply) Run(e *Environment) error {
	text, err := readText(a.File)
	if err != nil {
		return err
	}
	ctx := context.Background()
	p := e.publisher()
	base, err := p.Current(ctx)
	if err != nil {
		return err
	}
	revision, err := p.Apply(ctx, base, text)
	if err != nil {
		return err
	}
	return e.print(applied{Revision: revision, ChangeID: p.ChangeID}, "applied as revision %d", revision)
}

// Key is "lovagectl key".
type Key struct {
	Grant    KeyGrant    `cmd:"" help:"Make a key for a workspace and show it once."`
	Withdraw KeyWithdraw `cmd:"" help:"Withdraw a key for good."`
	List     KeyList     `cmd:"" help:"List the keys of a workspace."`
}

// KeyGrant is "lovagectl key grant".
type KeyGrant struct {
	Workspace string `arg:"" help:"Workspace that gets the key."`
}

type granted struct {
	Key        string `json:"key"`
	Identifier string `json:"identifier"`
	Revision   uint64 `json:"revision"`
}

// Run makes a key and publishes its digest.
func (k *KeyGrant) Run(e *Environment) error {
	key, record, err := workspacekey.Generate(rand.Reader, k.Workspace)
	if err != nil {
		return err
	}
	ctx := context.Background()
	p := e.publisher()
	base, err := p.Current(ctx)
	if err != nil {
		return err
	}
	revision, err := p.PutKey(ctx, base, record)
	if err != nil {
		return err
	}
	return e.print(granted{Key: key, Identifier: record.Identifier, Revision: revision}, "%s", key)
}

// KeyWithdraw is "lovagectl key withdraw".
type KeyWithdraw struct {
	Identifier string `arg:"" help:"Identifier of the key, its part before the underscore."`
}

// Run publishes a tombstone for the key.
func (k *KeyWithdraw) Run(e *Environment) error {
	ctx := context.Background()
	p := e.publisher()
	base, err := p.Current(ctx)
	if err != nil {
		return err
	}
	record, err := p.FindKey(ctx, base, k.Identifier)
	if err != nil {
		return err
	}
	record.Withdrawn = true
	revision, err := p.PutKey(ctx, base, record)
	if err != nil {
		return err
	}
	return e.print(applied{Revision: revision, ChangeID: p.ChangeID},
		"key %s of workspace %q is withdrawn as of revision %d", record.Identifier, record.Workspace, revision)
}

// KeyList is "lovagectl key list".
type KeyList struct {
	Workspace string `arg:"" help:"Workspace whose keys to list."`
}

// Run lists identifiers and states, never keys.
func (k *KeyList) Run(e *Environment) error {
	ctx := context.Background()
	p := e.publisher()
	base, err := p.Current(ctx)
	if err != nil {
		return err
	}
	records, err := p.Keys(ctx, base, k.Workspace)
	if err != nil {
		return err
	}
	if e.JSON {
		return json.NewEncoder(e.Out).Encode(records)
	}
	for _, record := range records {
		state := "valid"
		if record.Withdrawn {
			state = "withdrawn"
		}
		if _, err := fmt.Fprintf(e.Out, "%s %s\n", record.Identifier, state); err != nil {
			return err
		}
	}
	return nil
}

// Dump is "lovagectl dump".
type Dump struct {
	Address string `arg:"" help:"Operator address of the process."`
}

// Run fetches the state of a process.
func (d *Dump) Run(e *Environment) error {
	client := &http.Client{Timeout: callTimeout}
	answer, err := client.Get("http://" + d.Address + "/debug/state")
	if err != nil {
		return &DumpError{Address: d.Address, Cause: err}
	}
	defer answer.Body.Close()
	if _, err := io.Copy(e.Out, answer.Body); err != nil {
		return &DumpError{Address: d.Address, Cause: err}
	}
	_, err = fmt.Fprintln(e.Out)
	return err
}
