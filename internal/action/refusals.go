package action

import (
	"fmt"
	"net/http"
	"time"

	"lovagescale/internal/refusal"
)

// Values of Retry-After in refusals.
const (
	retryAfterInProgress       = time.Second
	retryAfterUnreachable      = time.Second
	retryAfterStoreUnavailable = 2 * time.Second
	retryAfterTableFull        = 10 * time.Second
)

func refuseKeyInvalid(err error) *refusal.Refusal {
	return refusal.New(http.StatusBadRequest, refusal.IdempotencyKeyInvalid, refusal.NotRun, err.Error())
}

// refuseKeyReused reports the outcome "unknown", which is that of the key's action.
// "not-run" would invite the caller to repeat the first request under a new key.
func refuseKeyReused() *refusal.Refusal {
	return refusal.New(http.StatusUnprocessableEntity, refusal.IdempotencyKeyReused, refusal.Unknown,
		"Idempotency-Key was used with another request; this one did not run, the outcome is that of the key")
}

func refuseInProgress() *refusal.Refusal {
	return refusal.New(http.StatusConflict, refusal.ActionInProgress, refusal.Unknown,
		"action is in progress").WithRetryAfter(retryAfterInProgress)
}

func refuseOutcomeUnknown() *refusal.Refusal {
	return refusal.New(http.StatusBadGateway, refusal.ActionOutcomeUnknown, refusal.Unknown,
		"action may have run and is never started again under this key")
}

func refuseAnswerNotKept(status int) *refusal.Refusal {
	return refusal.New(status, refusal.ActionAnswerNotKept, refusal.Ran,
		fmt.Sprintf("action ran and was answered with status %d; the answer is not kept", status))
}

func refuseTableFull(capacity int) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.ActionTableFull, refusal.NotRun,
		fmt.Sprintf("table of actions holds its limit of %d keys", capacity)).WithRetryAfter(retryAfterTableFull)
}

func refuseKeyExpired() *refusal.Refusal {
	return refusal.New(http.StatusGone, refusal.IdempotencyKeyExpired, refusal.Unknown,
		"Idempotency-Key is past its retention; take the owner of a new key from a look-up")
}

func refuseStopping() *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.Stopping, refusal.NotRun,
		"owner of the Idempotency-Key is stopping; take the owner of a new key from a look-up")
}

func refuseOwnerGone(owner string) *refusal.Refusal {
	return refusal.New(http.StatusGone, refusal.ActionOwnerGone, refusal.NotRun,
		fmt.Sprintf("owner %q stopped without having run the action; take the owner of a new key from a look-up", owner))
}

func refuseOwnerUnreachable(owner string) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.ActionOwnerUnreachable, refusal.Unknown,
		fmt.Sprintf("owner %q of the Idempotency-Key cannot be reached", owner)).WithRetryAfter(retryAfterUnreachable)
}

func refuseStoreUnavailable() *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.StoreUnavailable, refusal.Unknown,
		"owner of the Idempotency-Key cannot be read from the store; keys with an owner need no store").WithRetryAfter(retryAfterStoreUnavailable)
}

func refuseUpstreamNotRun() *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun,
		"upstream refused the action before work").WithRetryAfter(retryAfterUnreachable)
}

func refuseAbandoned() *refusal.Refusal {
	return refusal.New(http.StatusGatewayTimeout, refusal.DeadlineExceeded, refusal.NotRun,
		"deadline passed or the caller went away before the action was started")
}
