package store

import (
	"context"
	"fmt"
	"time"
)

// Change is a write or the removal of one key.
type Change struct {
	Entry
	// Removed is true when the key was removed at Entry.Revision.
	Removed bool
}

// Follower reads a part of the store whole and then its changes.
type Follower interface {
	// Snapshot returns the entries under the prefix and a revision at or before
	// the oldest page, from which changes are to be followed. It returns an
	// *UnavailableError.
	Snapshot(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Changes waits at most wait for changes under the prefix above the revision
	// after, and returns them with the revision to go on from; no change is no
	// error. It returns a *HistoryLostError when the store has forgotten that
	// revision, else an *UnavailableError.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// Registrar keeps one entry in the store for as long as its owner renews a
// lease.
type Registrar interface {
	// Grant creates a lease that lapses when it is not renewed for ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease by its ttl, or returns a *LeaseLapsedError.
	Renew(ctx context.Context, lease LeaseID) error
	// Put writes the key under the lease, whatever its revision. It returns a
	// *LeaseLapsedError, an *UnavailableError when nothing was done or an
	// *OutcomeUnknownError.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) error
	// End ends the lease, which removes its keys.
	End(ctx context.Context, lease LeaseID) error
}

// HistoryLostError reports changes that the store no longer has: the part must
// be read whole.
type HistoryLostError struct {
	Prefix string
	After  uint64
}

// Error implements the error interface.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("store has forgotten the changes under %q after revision %d", e.Prefix, e.After)
}
