// Package workspacekey makes and verifies workspace keys.
//
// A key is "<identifier>_<secret>". The store and the instances hold the
// identifier, a salt and the salted digest; the secret is shown once, when the
// key is granted. A withdrawn key stays in the configuration as a tombstone,
// so that it is told from an unknown one and never comes back.
package workspacekey

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Sizes in bytes before hexadecimal coding.
const (
	identifierBytes = 6
	secretBytes     = 24
	saltBytes       = 16
)

// separator stands between identifier and secret.
const separator = "_"

// Record is what the system keeps of a key.
type Record struct {
	Identifier string `msgpack:"i" json:"identifier"`
	Workspace  string `msgpack:"w" json:"workspace"`
	Salt       []byte `msgpack:"s" json:"-"`
	Digest     []byte `msgpack:"d" json:"-"`
	Withdrawn  bool   `msgpack:"x" json:"withdrawn"`
}

// Verdict is the result of a verification.
type Verdict int

// The verdicts.
const (
	Unknown Verdict = iota
	Withdrawn
	Valid
)

// EntropyError reports a random source that failed.
type EntropyError struct{ Cause error }

// Error implements the error interface.
func (e *EntropyError) Error() string {
	return fmt.Sprintf("random source failed while making a workspace key: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *EntropyError) Unwrap() error { return e.Cause }

// Generate makes a key for the workspace from the random source and returns it
// with its record. It returns an *EntropyError.
func Generate(random io.Reader, workspace string) (string, Record, error) {
	raw := make([]byte, identifierBytes+secretBytes+saltBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return "", Record{}, errors.WithStack(&EntropyError{Cause: err})
	}
	identifier := hex.EncodeToString(raw[:identifierBytes])
	secret := hex.EncodeToString(raw[identifierBytes : identifierBytes+secretBytes])
	salt := raw[identifierBytes+secretBytes:]
	key := identifier + separator + secret
	record := Record{Identifier: identifier, Workspace: workspace, Salt: salt, Digest: digest(salt, key)}
	return key, record, nil
}

func digest(salt []byte, key string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(key))
	return mac.Sum(nil)
}

// Identifier returns the public part of a key, or "" if it has none.
func Identifier(key string) string {
	identifier, _, found := strings.Cut(key, separator)
	if !found {
		return ""
	}
	return identifier
}

// Verify compares a presented key with the record in constant time.
func (r Record) Verify(key string) Verdict {
	if subtle.ConstantTimeCompare(digest(r.Salt, key), r.Digest) != 1 {
		return Unknown
	}
	if r.Withdrawn {
		return Withdrawn
	}
	return Valid
}
