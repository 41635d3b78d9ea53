package action

import (
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/store"
)

// OperationKind is a call that the upkeep of the journal needs.
type OperationKind uint8

// The kinds of operation.
const (
	// Idle: nothing is to be done.
	Idle OperationKind = iota
	// Grant a lease of TTL.
	Grant
	// Renew the lease.
	Renew
	// Read the journal's revision.
	Read
	// Write the journal with Expect under Lease.
	Write
)

// Operation is a call to the store.
type Operation struct {
	Kind   OperationKind
	Lease  store.LeaseID
	TTL    time.Duration
	Expect uint64
}

// renewalsPerLease is how often a lease is renewed within its time to live.
const renewalsPerLease = 3

// Writer is the state of a journal's upkeep: its lease, its revision in the
// store and the changes that it holds. The journal lives under a lease, so the
// platform removes it when its incarnation has been silent for the lease's
// time to live.
type Writer struct {
	ttl       time.Duration
	lease     store.LeaseID
	renewedAt time.Time
	// known is false when a reply was lost and the revision must be read.
	known    bool
	revision uint64
	// written counts the changes that the store holds.
	written uint64
}

// NewWriter returns the state of a journal that does not exist yet. It is kept
// for at least retention after the last renewal of its lease.
func NewWriter(retention time.Duration) *Writer {
	return &Writer{ttl: retention + retention/(renewalsPerLease-1), known: true}
}

// Next returns the call that is due, given the journal's count of changes.
func (w *Writer) Next(now time.Time, changes uint64) Operation {
	dirty := changes != w.written
	switch {
	case w.lease == "" && dirty:
		return Operation{Kind: Grant, TTL: w.ttl}
	case w.lease != "" && now.Sub(w.renewedAt) >= w.ttl/renewalsPerLease:
		return Operation{Kind: Renew, Lease: w.lease}
	case dirty && !w.known:
		return Operation{Kind: Read}
	case dirty:
		return Operation{Kind: Write, Lease: w.lease, Expect: w.revision}
	}
	return Operation{Kind: Idle}
}

// Granted takes the lease that was asked for at askedAt.
func (w *Writer) Granted(askedAt time.Time, lease store.LeaseID, failed error) {
	if failed == nil {
		w.lease = lease
		w.renewedAt = askedAt
	}
}

// Renewed takes what came of a renewal that was asked for at askedAt.
func (w *Writer) Renewed(askedAt time.Time, failed error) {
	if failed == nil {
		w.renewedAt = askedAt
		return
	}
	w.lapsed(failed)
}

// lapsed starts over with a new lease when the lease is gone, and with it the
// journal.
func (w *Writer) lapsed(failed error) bool {
	var lapsed *store.LeaseLapsedError
	if !errors.As(failed, &lapsed) {
		return false
	}
	w.lease = ""
	w.known = false
	w.written = 0
	return true
}

// Wrote takes what came of a write that holds the given changes.
func (w *Writer) Wrote(changes, revision uint64, failed error) {
	var unavailable *store.UnavailableError
	switch {
	case failed == nil:
		w.revision = revision
		w.written = changes
	case w.lapsed(failed), errors.As(failed, &unavailable):
	default:
		// Only this incarnation writes the journal: a conflict or a lost reply
		// is an earlier write of its own that took effect.
		w.known = false
	}
}

// ReadBack takes the journal's entry in the store.
func (w *Writer) ReadBack(entry store.Entry, failed error) {
	var missing *store.NotFoundError
	switch {
	case errors.As(failed, &missing):
		w.known = true
		w.revision = 0
	case failed == nil:
		w.known = true
		w.revision = entry.Revision
	}
}
