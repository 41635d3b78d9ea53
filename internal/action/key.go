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

// MaxKeyBytes bounds an idempotency key.
const MaxKeyBytes = 256

// Notation of the stamp in an owner: "<incarnation>~<minutes in base 36>".
const (
	stampMark = "~"
	stampBase = 36
	stampUnit = time.Minute
)

// incarnationForm is the form of an incarnation's name. An owner of another
// form cannot have existed.
var incarnationForm = regexp.MustCompile(`-[0-9a-f]{12}$`)

// InvalidKeyError reports a key that no entry accepts.
type InvalidKeyError struct{ Reason string }

// Error implements the error interface.
func (e *InvalidKeyError) Error() string { return "Idempotency-Key " + e.Reason }

// Digest identifies an action: its workspace and its key.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Stamp is the minute, since the Unix epoch, at which a look-up gave out an
// owner. It is 0 for a key without one.
type Stamp int32

// StampOf returns the stamp of an instant.
func StampOf(now time.Time) Stamp { return Stamp(now.Unix() / int64(stampUnit/time.Second)) }

// OwnerToken returns the owner for keys of the incarnation that are made soon
// after now. Its stamp lets the owner tell a key that is past its retention
// from a new one.
func OwnerToken(incarnation string, now time.Time) string {
	return incarnation + stampMark + strconv.FormatInt(int64(StampOf(now)), stampBase)
}

// Key is a parsed idempotency key.
type Key struct {
	// Owner is the incarnation that may start the action, or "".
	Owner string
	Stamp Stamp
}

// ParseKey reads an idempotency key. It returns an *InvalidKeyError for a key
// that is too long or that has an owner and nothing else.
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyBytes {
		return Key{}, &InvalidKeyError{Reason: fmt.Sprintf("is longer than %d bytes", MaxKeyBytes)}
	}
	token, unique, parted := strings.Cut(text, ".")
	owner, stampText, stamped := strings.Cut(token, stampMark)
	if !parted || !incarnationForm.MatchString(owner) {
		return Key{}, nil
	}
	if unique == "" {
		return Key{}, &InvalidKeyError{Reason: fmt.Sprintf("has nothing after its owner %q", token)}
	}
	if !stamped {
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

// requestDigest tells requests under the same key from one another.
func requestDigest(c *call.Call) uint64 {
	hash := xxhash.New()
	for _, part := range []string{c.Service, c.Request.Method, c.Request.Target} {
		_, _ = hash.WriteString(part) // never fails
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(c.Request.Body)
	return hash.Sum64()
}
