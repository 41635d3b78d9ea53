package action

import (
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/store"
)

// claimPrefix starts the store key of each claim.
const claimPrefix = "actions/claim/"

// claim names the owner of a key that names none. It is written once and
// never changed.
type claim struct {
	Owner string `msgpack:"o"`
	// Created is the Unix time in seconds, for operators.
	Created int64 `msgpack:"t"`
}

// ClaimWrite returns the write that makes this incarnation the owner of the
// try's key, if it has none.
func (t *Try) ClaimWrite(now time.Time) (store.Write, error) {
	value, err := msgpack.Marshal(claim{Owner: t.core.self, Created: now.Unix()})
	return store.Write{Key: t.ClaimKey(), Value: value}, err
}

// ClaimKey returns the store key of the try's claim.
func (t *Try) ClaimKey() string { return claimPrefix + t.digest.String() }

// Claimed takes what came of the claim.
func (t *Try) Claimed(now time.Time, failed error) Step {
	var conflict *store.ConflictError
	var lost *store.OutcomeUnknownError
	switch {
	case failed == nil:
		t.owner = t.core.self
		return t.start(now)
	case errors.As(failed, &conflict), errors.As(failed, &lost):
		return Step{Kind: ReadClaim}
	default:
		// An earlier try may have claimed and run the key, so this is not
		// "not-run".
		return refuse(refuseStoreOut())
	}
}

// ClaimRead takes the claim that is in the store.
func (t *Try) ClaimRead(now time.Time, entry store.Entry, failed error, visible Visible) Step {
	var missing *store.NotFoundError
	if errors.As(failed, &missing) && t.claims < maxClaims {
		t.claims++
		return Step{Kind: Claim}
	}
	if failed != nil {
		return refuse(refuseStoreOut())
	}
	var found claim
	if err := msgpack.Unmarshal(entry.Value, &found); err != nil || found.Owner == "" {
		return refuse(refuseStoreOut())
	}
	t.owner = found.Owner
	return t.owned(now, visible)
}
