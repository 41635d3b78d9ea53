package action

import (
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/store"
)

// claimPrefix is the prefix of the store keys of claims.
const claimPrefix = "actions/claim/"

// claim is the stored owner of an idempotency key that names none. It is written
// once and never changed.
type claim struct {
	Owner string `msgpack:"o"`
	// Created is the Unix time in seconds; it only informs operators.
	Created int64 `msgpack:"t"`
}

// ClaimWrite returns the store write for StepClaim, which makes this incarnation
// the owner of the attempt's key unless the key is already claimed.
func (a *Attempt) ClaimWrite(now time.Time) (store.Write, error) {
	value, err := msgpack.Marshal(claim{Owner: a.core.incarnation, Created: now.Unix()})
	return store.Write{Key: a.ClaimKey(), Value: value}, err
}

// ClaimKey returns the store key of the claim of the attempt's key.
func (a *Attempt) ClaimKey() string { return claimPrefix + a.digest.String() }

// ClaimDone handles the result of StepClaim. After a conflict or a lost reply the
// claim must be read to find the owner.
func (a *Attempt) ClaimDone(now time.Time, err error) Step {
	var conflict *store.ConflictError
	var outcomeUnknown *store.OutcomeUnknownError
	switch {
	case err == nil:
		a.owner = a.core.incarnation
		return a.startAsOwner(now)
	case errors.As(err, &conflict), errors.As(err, &outcomeUnknown):
		return Step{Kind: StepReadClaim}
	default:
		// The outcome is "unknown", not "not-run": an earlier attempt may have
		// claimed and run the key.
		return refusedStep(refuseStoreUnavailable())
	}
}

// ClaimReadDone handles the result of StepReadClaim. A missing claim means that
// the write with the lost reply has not taken effect, so it is written again, up to
// maxClaimWrites times in all.
func (a *Attempt) ClaimReadDone(now time.Time, entry store.Entry, err error, isLive LiveFunc) Step {
	var missing *store.NotFoundError
	if errors.As(err, &missing) && a.claimWrites < maxClaimWrites {
		a.claimWrites++
		return Step{Kind: StepClaim}
	}
	if err != nil {
		return refusedStep(refuseStoreUnavailable())
	}
	var stored claim
	if err := msgpack.Unmarshal(entry.Value, &stored); err != nil || stored.Owner == "" {
		return refusedStep(refuseStoreUnavailable())
	}
	a.owner = stored.Owner
	return a.startWithOwner(now, isLive)
}
