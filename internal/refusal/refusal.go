// Package refusal defines the answers that the system gives in place of an
// upstream's answer. Each refusal states whether the request ran, in the
// Lovage-Outcome header, and carries an RFC 9457 problem body with a stable
// type.
//
// "not-run" is said only when no upstream can have begun the request. An
// answer of which this is not certain says "unknown".
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

// problemPrefix starts the type member of every problem body.
const problemPrefix = "urn:lovagescale:problem:"

// Outcome states what is known about the execution of a request.
type Outcome string

// The outcomes of a request.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Kind is the stable name of a refusal.
type Kind string

// The kinds of refusal.
const (
	KeyMissing          Kind = "key-missing"
	KeyUnknown          Kind = "key-unknown"
	KeyWithdrawn        Kind = "key-withdrawn"
	ServiceNotPermitted Kind = "service-not-permitted"
	ServiceUnknown      Kind = "service-unknown"
	RouteUnknown        Kind = "route-unknown"
	KeyOfActionMissing  Kind = "idempotency-key-missing"
	KeyOfActionInvalid  Kind = "idempotency-key-invalid"
	KeyOfActionReused   Kind = "idempotency-key-reused"
	ActionInProgress    Kind = "action-in-progress"
	ActionTableFull     Kind = "action-table-full"
	ActionUnknown       Kind = "action-outcome-unknown"
	OwnerUnreachable    Kind = "action-owner-unreachable"
	OwnerGone           Kind = "action-owner-gone"
	KeyOfActionExpired  Kind = "idempotency-key-expired"
	AnswerNotKept       Kind = "action-answer-not-kept"
	StoreUnavailable    Kind = "store-unavailable"
	BodyTooLarge        Kind = "body-too-large"
	BodyCut             Kind = "body-cut"
	HeaderTooLarge      Kind = "headers-too-large"
	RateExceeded        Kind = "rate-exceeded"
	NoCapacity          Kind = "no-capacity"
	UpstreamUnreachable Kind = "upstream-unreachable"
	UpstreamFailed      Kind = "upstream-failed"
	DeadlineExceeded    Kind = "deadline-exceeded"
	DeadlineInvalid     Kind = "deadline-invalid"
	ClientInvalid       Kind = "client-invalid"
	NotConfigured       Kind = "not-configured"
	Stopping            Kind = "stopping"
	Quarantined         Kind = "quarantined"
	PeerFailed          Kind = "peer-failed"
	Isolated            Kind = "isolated"
	ShiftLimited        Kind = "shift-limited"
)

// Refusal is an answer given in place of an upstream's answer. It implements
// error.
type Refusal struct {
	Kind    Kind
	Status  int
	Outcome Outcome
	// Detail is one sentence for the reader of the answer.
	Detail string
	// RetryAfter is the time after which the same request may succeed. Zero
	// leaves the header out.
	RetryAfter time.Duration
}

// New returns a refusal without a retry time.
func New(status int, kind Kind, outcome Outcome, detail string) *Refusal {
	return &Refusal{Kind: kind, Status: status, Outcome: outcome, Detail: detail}
}

// After returns a copy of r that tells the caller when to come back.
func (r *Refusal) After(wait time.Duration) *Refusal {
	copied := *r
	copied.RetryAfter = wait
	return &copied
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused with %d %s (%s): %s", r.Status, r.Kind, r.Outcome, r.Detail)
}

// problem is the body of RFC 9457.
type problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
}

// Write sends the refusal as the answer.
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
		Type:    problemPrefix + string(r.Kind),
		Title:   http.StatusText(r.Status),
		Status:  r.Status,
		Detail:  r.Detail,
		Outcome: r.Outcome,
	}
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}
