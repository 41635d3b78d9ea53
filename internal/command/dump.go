package command

import (
	"fmt"
	"io"
	"net/http"
)

// DumpError reports that the state of a process cannot be fetched.
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

// AnswerStatusError reports an answer of a process with a status other than 200.
type AnswerStatusError struct{ Status int }

// Error implements the error interface.
func (e *AnswerStatusError) Error() string {
	return fmt.Sprintf("the process answered with status %d", e.Status)
}

// Dump is "lovagectl dump".
type Dump struct {
	Address string `arg:"" help:"Operator address of the process."`
}

// Run fetches the state of a process and writes it to the output.
func (d *Dump) Run(e *Environment) error {
	client := &http.Client{Timeout: requestTimeout}
	answer, err := client.Get("http://" + d.Address + "/debug/state")
	if err != nil {
		return &DumpError{Address: d.Address, Cause: err}
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return &DumpError{Address: d.Address, Cause: &AnswerStatusError{Status: answer.StatusCode}}
	}
	if _, err := io.Copy(e.Out, answer.Body); err != nil {
		return &DumpError{Address: d.Address, Cause: err}
	}
	_, err = fmt.Fprintln(e.Out)
	return err
}
