package store

import (
	"context"
	"fmt"
	"time"
)

// Change is the write or the removal of one key.
type Change struct {
	Entry
	// Removed is true if the key was removed at Entry.Revision.
	Removed bool
}

// Follower reads all entries under a prefix and then follows their changes.
type Follower interface {
	// Snapshot returns the entries under the prefix and the revision from which
	// to follow changes. Entries may be read in several pages; the revision is not
	// above that of the oldest page, so no change is missed. On failure it returns
	// an *UnavailableError.
	Snapshot(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Changes waits at most wait for changes under the prefix with a revision above
	// after, and returns them with the revision to continue from. It is not an
	// error if there are none. It returns a *HistoryLostError if the store no
	// longer has the changes since that revision, and an *UnavailableError on any
	// other failure.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// Registrar writes entries that the store keeps only while their owner renews a
// lease.
type Registrar interface {
	// Grant creates a lease that lapses if it is not renewed for ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease by its ttl. It returns a *LeaseLapsedError if the
	// lease has lapsed.
	Renew(ctx context.Context, lease LeaseID) error
	// Put writes the key under the lease, whatever the key's revision. On failure
	// it returns a *LeaseLapsedError, an *UnavailableError if the write did not
	// take effect, or an *OutcomeUnknownError if it may have.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) error
	// End ends the lease, which removes its keys.
	End(ctx context.Context, lease LeaseID) error
}

// HistoryLostError reports that the store no longer has the changes after a
// revision. The entries under the prefix must be read again with Snapshot.
type HistoryLostError struct {
	Prefix string
	After  uint64
}

// Error implements the error interface.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("store no longer has the changes under %q after revision %d", e.Prefix, e.After)
}
