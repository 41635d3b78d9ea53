package action

import (
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/store"
)

// OperationKind is the kind of store call that a JournalWriterState asks for.
type OperationKind uint8

// The kinds of operation.
const (
	// OpIdle: nothing is to be done.
	OpIdle OperationKind = iota
	// OpGrantLease: ask for a lease of TTL, then call GrantDone.
	OpGrantLease
	// OpRenewLease: renew Lease, then call RenewDone.
	OpRenewLease
	// OpReadJournal: read the journal for its revision, then call ReadDone.
	OpReadJournal
	// OpWriteJournal: write the journal under Lease if its revision is Expect, then
	// call WriteDone.
	OpWriteJournal
)

// Operation is a store call that is due.
type Operation struct {
	Kind   OperationKind
	Lease  store.LeaseID
	TTL    time.Duration
	Expect uint64
}

// renewalsPerLease is how many renewals are due within the time to live of a lease.
const renewalsPerLease = 3

// JournalWriterState is the state machine that keeps a journal in the store up to
// date. It tracks the journal's lease, its revision and the changes that the store
// holds. The journal is stored under the lease, so the platform removes it when
// its incarnation has not renewed the lease for the lease's time to live.
type JournalWriterState struct {
	ttl       time.Duration
	lease     store.LeaseID
	renewedAt time.Time
	// revisionKnown is false when a reply was lost or the lease has lapsed, so that
	// the revision must be read.
	revisionKnown bool
	revision      uint64
	// writtenChanges is the number of changes that the store holds.
	writtenChanges uint64
}

// NewJournalWriterState returns the state for a journal that does not exist yet. The
// store keeps the journal for at least retention after its incarnation has gone:
// the lease is renewed after a third of its time to live, so that two thirds, which
// equal the retention, are left at any time unless renewals fail.
func NewJournalWriterState(retention time.Duration) *JournalWriterState {
	return &JournalWriterState{ttl: retention + retention/(renewalsPerLease-1), revisionKnown: true}
}

// Next returns the operation that is due, given the journal's number of changes.
func (w *JournalWriterState) Next(now time.Time, changes uint64) Operation {
	dirty := changes != w.writtenChanges
	switch {
	case w.lease == "" && dirty:
		return Operation{Kind: OpGrantLease, TTL: w.ttl}
	case w.lease != "" && now.Sub(w.renewedAt) >= w.ttl/renewalsPerLease:
		return Operation{Kind: OpRenewLease, Lease: w.lease}
	case dirty && !w.revisionKnown:
		return Operation{Kind: OpReadJournal}
	case dirty:
		return Operation{Kind: OpWriteJournal, Lease: w.lease, Expect: w.revision}
	}
	return Operation{Kind: OpIdle}
}

// GrantDone handles the result of OpGrantLease, which was sent at requestedAt.
func (w *JournalWriterState) GrantDone(requestedAt time.Time, lease store.LeaseID, err error) {
	if err == nil {
		w.lease = lease
		w.renewedAt = requestedAt
	}
}

// RenewDone handles the result of OpRenewLease, which was sent at requestedAt.
func (w *JournalWriterState) RenewDone(requestedAt time.Time, err error) {
	if err == nil {
		w.renewedAt = requestedAt
		return
	}
	w.resetIfLapsed(err)
}

// resetIfLapsed reports whether err says that the lease has lapsed. The platform
// has then removed the journal, so it is written again under a new lease.
func (w *JournalWriterState) resetIfLapsed(err error) bool {
	var lapsed *store.LeaseLapsedError
	if !errors.As(err, &lapsed) {
		return false
	}
	w.lease = ""
	w.revisionKnown = false
	w.writtenChanges = 0
	return true
}

// WriteDone handles the result of OpWriteJournal for a value with the given changes.
func (w *JournalWriterState) WriteDone(changes, revision uint64, err error) {
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
		w.revision = revision
		w.writtenChanges = changes
	case w.resetIfLapsed(err), errors.As(err, &unavailable):
	default:
		// Only this incarnation writes the journal. A conflict comes from an earlier
		// write of its own that took effect, and a lost reply may hide one, so the
		// revision must be read.
		w.revisionKnown = false
	}
}

// ReadDone handles the result of OpReadJournal.
func (w *JournalWriterState) ReadDone(entry store.Entry, err error) {
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &missing):
		w.revisionKnown = true
		w.revision = 0
	case err == nil:
		w.revisionKnown = true
		w.revision = entry.Revision
	}
}
