package action

import (
	"fmt"
	"net/http"
	"time"

	"lovagescale/internal/refusal"
)

// Times after which callers may ask again.
const (
	retryInProgress  = time.Second
	retryUnreachable = time.Second
	retryStore       = 2 * time.Second
	retryFull        = 10 * time.Second
)

func refuseInvalid(err error) *refusal.Refusal {
	return refusal.New(http.StatusBadRequest, refusal.KeyOfActionInvalid, refusal.NotRun, err.Error())
}

// refuseReused says "unknown": the outcome is that of the key's action, and
// "not-run" would invite the caller to repeat the first request under a new
// key.
func refuseReused() *refusal.Refusal {
	return refusal.New(http.StatusUnprocessableEntity, refusal.KeyOfActionReused, refusal.Unknown,
		"Idempotency-Key was used with another request; this one did not run, the outcome is that of the key")
}

func refuseInProgress() *refusal.Refusal {
	return refusal.New(http.StatusConflict, refusal.ActionInProgress, refusal.Unknown,
		"action is in progress").After(retryInProgress)
}

func refuseUnknown() *refusal.Refusal {
	return refusal.New(http.StatusBadGateway, refusal.ActionUnknown, refusal.Unknown,
		"action may have run and is never started again under this key")
}

func refuseNotKept(status int) *refusal.Refusal {
	return refusal.New(status, refusal.AnswerNotKept, refusal.Ran,
		fmt.Sprintf("action ran and was answered with status %d; the answer is not kept", status))
}

func refuseFull(capacity int) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.ActionTableFull, refusal.NotRun,
		fmt.Sprintf("table of actions holds its limit of %d keys", capacity)).After(retryFull)
}

func refuseExpired() *refusal.Refusal {
	return refusal.New(http.StatusGone, refusal.KeyOfActionExpired, refusal.Unknown,
		"Idempotency-Key is past its retention; take the owner of a new key from a look-up")
}

func refuseStopping() *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.Stopping, refusal.NotRun,
		"owner of the Idempotency-Key is stopping; take the owner of a new key from a look-up")
}

func refuseGone(owner string) *refusal.Refusal {
	return refusal.New(http.StatusGone, refusal.OwnerGone, refusal.NotRun,
		fmt.Sprintf("owner %q stopped without having run the action; take the owner of a new key from a look-up", owner))
}

func refuseUnreachable(owner string) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.OwnerUnreachable, refusal.Unknown,
		fmt.Sprintf("owner %q of the Idempotency-Key cannot be reached", owner)).After(retryUnreachable)
}

func refuseStoreOut() *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.StoreUnavailable, refusal.Unknown,
		"owner of the Idempotency-Key cannot be read from the store; keys with an owner need no store").After(retryStore)
}

func refuseUpstream() *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun,
		"upstream refused the action before work").After(retryUnreachable)
}

func refuseAbandoned() *refusal.Refusal {
	return refusal.New(http.StatusGatewayTimeout, refusal.DeadlineExceeded, refusal.NotRun,
		"deadline passed or the caller went away before the action was started")
}
