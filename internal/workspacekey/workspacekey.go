// Package workspacekey makes and verifies workspace keys.
//
// A key is "<identifier>_<secret>". The store and the instances hold the
// identifier, a salt and the salted digest; the secret is shown once, when the
// key is granted. A withdrawn key stays in the configuration as a tombstone,
// so that it is told from an unknown one and never comes back.
//
// A withdrawal token lets the operators' command line tell entries of a
// withdrawal directly. The store holds the token, entries hold its salted
// digest, so that what an entry sends or shows does not let anyone withdraw.
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
	tokenBytes      = 16
)

// separator stands between identifier and secret.
const separator = "_"

// Record is what the system keeps of a key.
type Record struct {
	Identifier string `msgpack:"i" json:"identifier"`
	Workspace  string `msgpack:"w" json:"workspace"`
	Salt       []byte `msgpack:"s" json:"-"`
	Digest     []byte `msgpack:"d" json:"-"`
	// Proof is the salted digest of the withdrawal token.
	Proof     []byte `msgpack:"p" json:"-"`
	Withdrawn bool   `msgpack:"x" json:"withdrawn"`
}

// Tombstone returns what is kept of the key after its withdrawal.
func (r Record) Tombstone() Record {
	return Record{Identifier: r.Identifier, Workspace: r.Workspace, Withdrawn: true}
}

// NewToken returns a withdrawal token, which proves the right to withdraw a
// key. It returns an *EntropyError.
func NewToken(random io.Reader) ([]byte, error) {
	token := make([]byte, tokenBytes)
	if _, err := io.ReadFull(random, token); err != nil {
		return nil, errors.WithStack(&EntropyError{Cause: err})
	}
	return token, nil
}

// WithToken returns the record with the proof of a withdrawal token.
func (r Record) WithToken(token []byte) Record {
	r.Proof = digest(r.Salt, string(token))
	return r
}

// Permits reports whether the token withdraws the key.
func (r Record) Permits(token []byte) bool {
	return len(r.Proof) > 0 && subtle.ConstantTimeCompare(digest(r.Salt, string(token)), r.Proof) == 1
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

// Verify compares a presented key with the record in constant time. A
// tombstone holds no digest and withdraws whatever carries its identifier.
func (r Record) Verify(key string) Verdict {
	if r.Withdrawn {
		return Withdrawn
	}
	if subtle.ConstantTimeCompare(digest(r.Salt, key), r.Digest) != 1 {
		return Unknown
	}
	return Valid
}
