// Package workspacekey generates and verifies workspace keys.
//
// A key is "<identifier>_<secret>". The store and the instances hold the
// identifier, a salt and the salted digest of the key; the secret is shown once,
// when the key is granted. A withdrawn key stays in the configuration as a
// tombstone, so that it can be distinguished from an unknown one and never becomes
// valid again.
//
// A withdrawal token authorizes the operators' command-line tool to withdraw a key
// at the entry instances directly, without waiting for the configuration to reach
// them. The store holds the token. Entry instances hold only its salted digest, so
// that nothing they send or show allows anyone to withdraw a key.
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

// Sizes in bytes, before any hexadecimal encoding.
const (
	identifierBytes = 6
	secretBytes     = 24
	saltBytes       = 16
	tokenBytes      = 16
)

// separator separates the identifier of a key from its secret.
const separator = "_"

// Record is the stored form of a key, from which the secret cannot be derived.
type Record struct {
	Identifier string `msgpack:"i" json:"identifier"`
	Workspace  string `msgpack:"w" json:"workspace"`
	Salt       []byte `msgpack:"s" json:"-"`
	Digest     []byte `msgpack:"d" json:"-"`
	// TokenDigest is the salted digest of the withdrawal token.
	TokenDigest []byte `msgpack:"p" json:"-"`
	// Withdrawn marks a tombstone, which has no salt and no digests.
	Withdrawn bool `msgpack:"x" json:"withdrawn"`
}

// Tombstone returns the record that replaces r when the key is withdrawn.
func (r Record) Tombstone() Record {
	return Record{Identifier: r.Identifier, Workspace: r.Workspace, Withdrawn: true}
}

// NewWithdrawalToken reads a new withdrawal token from the random source. It returns
// an *EntropyError.
func NewWithdrawalToken(random io.Reader) ([]byte, error) {
	token := make([]byte, tokenBytes)
	if _, err := io.ReadFull(random, token); err != nil {
		return nil, errors.WithStack(&EntropyError{Cause: err})
	}
	return token, nil
}

// WithWithdrawalToken returns the record with the salted digest of the token.
func (r Record) WithWithdrawalToken(token []byte) Record {
	r.TokenDigest = saltedDigest(r.Salt, string(token))
	return r
}

// PermitsWithdrawal reports whether the token authorizes the withdrawal of the key.
func (r Record) PermitsWithdrawal(token []byte) bool {
	return len(r.TokenDigest) > 0 && subtle.ConstantTimeCompare(saltedDigest(r.Salt, string(token)), r.TokenDigest) == 1
}

// Status is the result of the verification of a key.
type Status int

const (
	// Unknown means that the key does not match the record.
	Unknown Status = iota
	// Withdrawn means that the key with this identifier has been withdrawn.
	Withdrawn
	// Valid means that the key matches the record.
	Valid
)

// EntropyError reports a failure of the random source.
type EntropyError struct{ Cause error }

// Error implements the error interface.
func (e *EntropyError) Error() string {
	return fmt.Sprintf("random source failed while generating a workspace key or its withdrawal token: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *EntropyError) Unwrap() error { return e.Cause }

// Generate generates a key for the workspace from the random source and returns it
// with its record. It returns an *EntropyError.
func Generate(random io.Reader, workspace string) (string, Record, error) {
	randomBytes := make([]byte, identifierBytes+secretBytes+saltBytes)
	if _, err := io.ReadFull(random, randomBytes); err != nil {
		return "", Record{}, errors.WithStack(&EntropyError{Cause: err})
	}
	identifier := hex.EncodeToString(randomBytes[:identifierBytes])
	secret := hex.EncodeToString(randomBytes[identifierBytes : identifierBytes+secretBytes])
	salt := randomBytes[identifierBytes+secretBytes:]
	key := identifier + separator + secret
	record := Record{Identifier: identifier, Workspace: workspace, Salt: salt, Digest: saltedDigest(salt, key)}
	return key, record, nil
}

// saltedDigest returns the HMAC-SHA256 of text with the salt as its key.
func saltedDigest(salt []byte, text string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(text))
	return mac.Sum(nil)
}

// Identifier returns the public part of a key, or "" if the key has no separator.
func Identifier(key string) string {
	identifier, _, found := strings.Cut(key, separator)
	if !found {
		return ""
	}
	return identifier
}

// Verify compares a presented key with the record in constant time. The caller
// selects the record by the identifier of the key. A tombstone has no digest, so
// that every key with its identifier counts as withdrawn.
func (r Record) Verify(key string) Status {
	if r.Withdrawn {
		return Withdrawn
	}
	if subtle.ConstantTimeCompare(saltedDigest(r.Salt, key), r.Digest) != 1 {
		return Unknown
	}
	return Valid
}
