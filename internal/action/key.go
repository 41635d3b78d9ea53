package action

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/call"
)

// MaxKeyBytes is the maximum length of an idempotency key in bytes.
const MaxKeyBytes = 256

// Format of an owner token with a stamp: "<incarnation>~<minutes in base 36>".
const (
	stampSeparator = "~"
	stampBase      = 36
	stampUnit      = time.Minute
)

// incarnationPattern matches the name of an incarnation. A key whose first part
// does not match has no owner, since no incarnation can have had that name.
var incarnationPattern = regexp.MustCompile(`-[0-9a-f]{12}$`)

// InvalidKeyError reports an idempotency key that no entry accepts.
type InvalidKeyError struct{ Reason string }

// Error implements the error interface.
func (e *InvalidKeyError) Error() string { return "Idempotency-Key " + e.Reason }

// Digest identifies an action: its workspace and its key.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Stamp is the time at which the lookup service issued an owner token, in minutes
// since the Unix epoch. It is 0 for a key without a stamp.
type Stamp int32

// StampOf returns the stamp of an instant.
func StampOf(now time.Time) Stamp { return Stamp(now.Unix() / int64(stampUnit/time.Second)) }

// OwnerToken returns the owner part of keys that callers create soon after now
// for the incarnation. Its stamp lets the owner distinguish a key whose retention
// has ended from a new one.
func OwnerToken(incarnation string, now time.Time) string {
	return incarnation + stampSeparator + strconv.FormatInt(int64(StampOf(now)), stampBase)
}

// Key is a parsed idempotency key.
type Key struct {
	// Owner is the incarnation that may start the action, or "".
	Owner string
	Stamp Stamp
}

// ParseKey parses an idempotency key. It returns an *InvalidKeyError for a key
// that is too long, that has an owner and nothing else, or whose owner has a
// malformed stamp.
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyBytes {
		return Key{}, &InvalidKeyError{Reason: fmt.Sprintf("is longer than %d bytes", MaxKeyBytes)}
	}
	token, unique, hasDot := strings.Cut(text, ".")
	owner, stampText, hasStamp := strings.Cut(token, stampSeparator)
	if !hasDot || !incarnationPattern.MatchString(owner) {
		return Key{}, nil
	}
	if unique == "" {
		return Key{}, &InvalidKeyError{Reason: fmt.Sprintf("has nothing after its owner %q", token)}
	}
	if !hasStamp {
		return Key{Owner: owner}, nil
	}
	minutes, err := strconv.ParseInt(stampText, stampBase, 32)
	if err != nil || minutes <= 0 {
		return Key{}, &InvalidKeyError{Reason: fmt.Sprintf("has the malformed owner %q", token)}
	}
	return Key{Owner: owner, Stamp: Stamp(minutes)}, nil
}

// DigestOf returns the digest of a workspace's key.
func DigestOf(workspace, key string) Digest {
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return Digest(sum[:len(Digest{})])
}

// hashRequest returns a hash of the request, which detects a key that is reused
// with another request.
func hashRequest(c *call.Call) uint64 {
	hash := xxhash.New()
	for _, part := range []string{c.Service, c.Request.Method, c.Request.Target} {
		_, _ = hash.WriteString(part) // never fails
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(c.Request.Body)
	return hash.Sum64()
}
