// Package store is the client side of the platform's key-value service:
// compare-and-set, leases and watches. Its HTTP binding is in http.go; every
// other package uses the interfaces Client, Follower and Registrar, so that a
// platform with another protocol needs only another implementation of them.
//
// A revision counts the writes to the whole store: each write that takes effect
// raises the store's revision by one, and an entry carries the revision of the
// write that made it. A key that does not exist has revision 0.
//
// A call whose reply is lost may have taken effect. The client reports that
// as *OutcomeUnknownError and never retries a write by itself.
package store

import (
	"context"
	"fmt"
	"time"
)

// Entry is one key with its value.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	// Lease is the lease whose end removes the entry, or "".
	Lease LeaseID `json:"lease,omitempty"`
}

// LeaseID identifies a lease.
type LeaseID string

// Write is a conditional write of one key.
type Write struct {
	Key   string
	Value []byte
	// Expect is the revision that the key must have; 0 creates the key.
	Expect uint64
	// Lease is the lease whose end removes the key; it may be empty.
	Lease LeaseID
}

// Client is the platform's key-value service.
type Client interface {
	// Get returns the entry, or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSet writes the key if it has the expected revision and returns
	// the new revision. It returns a *ConflictError if the key has another
	// revision, a *LeaseLapsedError if the lease has lapsed, an *UnavailableError
	// if the write did not take effect and an *OutcomeUnknownError if it may have.
	CompareAndSet(ctx context.Context, write Write) (uint64, error)
	// Delete removes the key if it has the expected revision. It succeeds if the
	// key does not exist. It returns the errors of CompareAndSet
	// except *LeaseLapsedError.
	Delete(ctx context.Context, key string, expect uint64) error
	// Watch waits until the key has a revision above after and returns its entry.
	// It returns a *NotChangedError if that does not happen within wait.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
	// Grant creates a lease that lapses if it is not renewed for ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease by its ttl. It returns a *LeaseLapsedError if the
	// lease has lapsed.
	Renew(ctx context.Context, lease LeaseID) error
}

// NotFoundError reports a key that does not exist.
type NotFoundError struct{ Key string }

// Error implements the error interface.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("key %q does not exist in the store", e.Key)
}

// NotChangedError reports a watch that ended without a change.
type NotChangedError struct {
	Key   string
	After uint64
}

// Error implements the error interface.
func (e *NotChangedError) Error() string {
	return fmt.Sprintf("key %q has no revision above %d in the store", e.Key, e.After)
}

// ConflictError reports a conditional write that found another revision.
type ConflictError struct {
	Key    string
	Expect uint64
	Found  uint64
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has revision %d in the store, not the expected %d", e.Key, e.Found, e.Expect)
}

// LeaseLapsedError reports a lease that no longer exists.
type LeaseLapsedError struct{ Lease LeaseID }

// Error implements the error interface.
func (e *LeaseLapsedError) Error() string {
	return fmt.Sprintf("lease %q has lapsed", e.Lease)
}

// UnavailableError reports a call that had no effect because the store could not
// be reached or refused it, or a read whose answer cannot be used.
type UnavailableError struct {
	Operation string
	Cause     error
}

// Error implements the error interface.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store is unavailable for %q: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports a write that may have taken effect, because its reply
// was lost or does not state the outcome.
type OutcomeUnknownError struct {
	Operation string
	Cause     error
}

// Error implements the error interface.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("store may have carried out %q, its reply was lost: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// StatusError reports an answer with a status that the HTTP binding does not define
// for the call.
type StatusError struct {
	Status int
	Body   string
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("store answered with status %d: %s", e.Status, e.Body)
}
