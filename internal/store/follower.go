package store

import (
	"cmp"
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

// Position is a point in the store's history. A store that comes back from a copy begins a
// new era: it has lost all writes since the copy and gives their revisions out again.
// Positions are therefore ordered by era and then by revision. Era 0 is that of a store
// which states none.
type Position struct{ Era, Revision uint64 }

// Compare returns -1, 0 or 1 if p is before, equal to or after other.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Follower reads all entries under a prefix and then follows their changes.
type Follower interface {
	// Snapshot returns the entries under the prefix and the position from which
	// to follow changes. Entries may be read in several pages of one era; the revision is
	// not above that of the oldest page, so no change is missed. On failure it returns
	// an *UnavailableError.
	Snapshot(ctx context.Context, prefix string) ([]Entry, Position, error)
	// Changes waits at most wait for changes under the prefix after the position, and
	// returns them with the position to continue from, which is of the same era. It is not
	// an error if there are none. It returns a *HistoryLostError if the store no
	// longer has the changes since that position or is in another era, and an
	// *UnavailableError on any other failure.
	Changes(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Change, Position, error)
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
// position. The entries under the prefix must be read again with Snapshot.
type HistoryLostError struct {
	Prefix string
	After  Position
}

// Error implements the error interface.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("store no longer has the changes under %q after revision %d of era %d", e.Prefix, e.After.Revision, e.After.Era)
}
