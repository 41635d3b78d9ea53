// Package refusal defines the answers that the system gives instead of an upstream's
// answer. Each refusal states in the Lovage-Outcome header whether the request ran
// and has an RFC 9457 problem body with a stable type.
//
// The outcome is "not-run" only if no upstream can have begun the request. If that
// is not certain, it is "unknown".
package refusal

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers of every answer.
const (
	HeaderOutcome   = "Lovage-Outcome"
	HeaderRequestID = "Lovage-Request-Id"
)

// problemTypePrefix is the prefix of every problem body's type member; the kind
// follows it.
const problemTypePrefix = "urn:lovagescale:problem:"

// Outcome states what is known about the execution of a request.
type Outcome string

// The outcomes of a request. Unknown means that the request may have run.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Kind is the stable name of a refusal's reason.
type Kind string

// The kinds of refusal. The first three concern workspace keys.
const (
	KeyMissing            Kind = "key-missing"
	KeyUnknown            Kind = "key-unknown"
	KeyWithdrawn          Kind = "key-withdrawn"
	ServiceNotPermitted   Kind = "service-not-permitted"
	ServiceUnknown        Kind = "service-unknown"
	RouteUnknown          Kind = "route-unknown"
	IdempotencyKeyMissing Kind = "idempotency-key-missing"
	IdempotencyKeyInvalid Kind = "idempotency-key-invalid"
	IdempotencyKeyReused  Kind = "idempotency-key-reused"
	ActionInProgress      Kind = "action-in-progress"
	// ActionTableFull: no room for the record of another action.
	ActionTableFull Kind = "action-table-full"
	// ActionOutcomeUnknown: the action may have run and is not run again.
	ActionOutcomeUnknown   Kind = "action-outcome-unknown"
	ActionOwnerUnreachable Kind = "action-owner-unreachable"
	ActionOwnerGone        Kind = "action-owner-gone"
	IdempotencyKeyExpired  Kind = "idempotency-key-expired"
	// ActionAnswerNotKept: the action ran, but its answer is not recorded.
	ActionAnswerNotKept Kind = "action-answer-not-kept"
	StoreUnavailable    Kind = "store-unavailable"
	BodyTooLarge        Kind = "body-too-large"
	BodyIncomplete      Kind = "body-cut"
	// BodyLate: the body did not arrive by the deadline of the request.
	BodyLate        Kind = "body-late"
	HeadersTooLarge Kind = "headers-too-large"
	RateExceeded    Kind = "rate-exceeded"
	// QuotaUndecided: it was not decided in time whether the workspace is within its rate.
	QuotaUndecided      Kind = "quota-undecided"
	NoCapacity          Kind = "no-capacity"
	UpstreamUnreachable Kind = "upstream-unreachable"
	UpstreamFailed      Kind = "upstream-failed"
	DeadlineExceeded    Kind = "deadline-exceeded"
	DeadlineInvalid     Kind = "deadline-invalid"
	// ClientInvalid: a query to the lookup server names a client that is not an IP
	// address.
	ClientInvalid Kind = "client-invalid"
	// NotConfigured: no configuration is in force yet.
	NotConfigured Kind = "not-configured"
	Stopping      Kind = "stopping"
	// Quarantined: endpoints have repeatedly dropped their connection while this
	// request was in flight, so it is not sent to another one.
	Quarantined Kind = "quarantined"
	// PeerFailed: the entry that the call was handed over to gave no result.
	PeerFailed Kind = "peer-failed"
	// Isolated: the entry could not confirm its configuration for longer than the
	// workspace permits.
	Isolated Kind = "isolated"
	// ShiftLimited: the quota for requests from other regions is used up.
	ShiftLimited Kind = "shift-limited"
)

// Refusal is an answer given instead of an upstream's answer. It implements error.
type Refusal struct {
	Kind    Kind
	Status  int
	Outcome Outcome
	// Detail explains the refusal to the reader of the answer in one sentence.
	Detail string
	// RetryAfter is the time after which the same request may succeed. If it is
	// zero, the Retry-After header is left out.
	RetryAfter time.Duration
}

// New returns a refusal without RetryAfter.
func New(status int, kind Kind, outcome Outcome, detail string) *Refusal {
	return &Refusal{Kind: kind, Status: status, Outcome: outcome, Detail: detail}
}

// WithRetryAfter returns a copy of r that tells the caller to retry after wait.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	result := *r
	result.RetryAfter = wait
	return &result
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused with %d %s (%s): %s", r.Status, r.Kind, r.Outcome, r.Detail)
}

// problem is the problem details body of RFC 9457, with the outcome as an extension.
type problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
}

// Write writes the refusal as the answer to w. Retry-After is rounded up to whole
// seconds.
func (r *Refusal) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderOutcome, string(r.Outcome))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	body := problem{
		Type:    problemTypePrefix + string(r.Kind),
		Title:   http.StatusText(r.Status),
		Status:  r.Status,
		Detail:  r.Detail,
		Outcome: r.Outcome,
	}
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}
