// Package settings loads the static settings of the daemons from TOML files. They
// are the only source of a process's addresses and availability zone. All settings
// are checked before the process starts anything, and each problem is reported with
// its file, line and key.
package settings

import (
	"fmt"
	"net/netip"
	"os"

	"lovagescale/internal/tomlfile"
)

// FileError reports a settings file that cannot be read.
type FileError struct {
	File  string
	Cause error
}

// Error implements the error interface.
func (e *FileError) Error() string {
	return fmt.Sprintf("cannot read settings file %q: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Checker is implemented by the settings of each daemon.
type Checker interface {
	// Check adds a problem to document for each invalid setting. It may replace
	// unset values by their defaults.
	Check(document *tomlfile.Document)
	// Level returns the log level, or "" for the default.
	Level() string
}

// Load decodes a file into target and checks it. It returns a *FileError or
// tomlfile.Problems.
func Load(file string, target Checker) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	document, err := tomlfile.Decode(file, data, target)
	if err != nil {
		return err
	}
	target.Check(document)
	return document.Err()
}

// RequireAddress adds a problem unless value is an IP address with a port.
func RequireAddress(document *tomlfile.Document, value string, path ...string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		document.Addf(path, "%q is not an IP address with a port (example: \"127.0.0.1:8080\")", value)
	}
}

// RequireNonEmpty adds a problem if value is empty.
func RequireNonEmpty(document *tomlfile.Document, value string, path ...string) {
	if value == "" {
		document.Add("must be set", path...)
	}
}
