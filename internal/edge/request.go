package edge

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/call"
	"lovagescale/internal/catalog"
	"lovagescale/internal/header"
	"lovagescale/internal/pipeline"
	"lovagescale/internal/placement"
	"lovagescale/internal/quarantine"
	"lovagescale/internal/quotapool"
	"lovagescale/internal/refusal"
	"lovagescale/internal/unreadbody"
	"lovagescale/internal/upstream"
)

// defaultTimeout is the timeout of routes that set none.
const defaultTimeout = 10 * time.Second

// unavailableRetryAfter is the mean time after which callers may retry that are refused
// because the instance has no configuration yet or no memory for the body.
const unavailableRetryAfter = 500 * time.Millisecond

// request is a caller's request while the instance handles it.
type request struct {
	caller    CallerInfo
	catalog   *catalog.Catalog
	route     *catalog.Route
	workspace *catalog.Workspace
	upstream  string
	// region is the region in which the request is to run.
	region string
	// pinned is set if the request must run in region.
	pinned bool
	// cause is why no endpoint could be chosen, if that is why the request was refused.
	cause error
	// affinityKey is the affinity key of a request on a sticky route, or 0.
	affinityKey uint64
	started     time.Time
	deadline    time.Time
	// fingerprint is the same for equal requests.
	fingerprint quarantine.Fingerprint
	outgoing    upstream.Request
	// maxAttempts is the number of endpoints to which the request may be sent.
	maxAttempts int
	// handedOver is set if another instance handed the request over to this one. That
	// instance takes the quota token.
	handedOver bool
	// loan is the quota token of the request, or nil before it is taken.
	loan *quotapool.Loan
	// promisedPlace is set if the request returns in the time that was promised at its
	// refusal.
	promisedPlace bool
	// runsAt is the instance to which this one handed the request over, or "".
	runsAt string
	share  shareDecision
	// bodyHeld and responseHeld are the memory reserved for the body and for the response.
	bodyHeld, responseHeld *bodymemory.Reservation
	// responseNotHeld is set if an endpoint sent a response for which no memory was left.
	responseNotHeld bool
	// callerAddress is the network address of the caller, or "" for a request of another
	// instance.
	callerAddress string
}

// workspaceName returns the name of the workspace, or "" if the request needs no key.
func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}

// ServeHTTP implements http.Handler for callers.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.counters.requests.Inc(1)
	if e.leaving.Load() && !pipeline.Followed(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	q, refused := e.readRequest(w, r)
	defer q.releaseMemory()
	if refused != nil {
		unreadbody.Answer(w, r, func() { e.writeRefusal(w, q, nil, refused) })
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.answersUntil())
	defer cancel()
	answer, attempts, refused := e.run(ctx, q)
	if refused != nil {
		if refused.Outcome == refusal.NotRun {
			e.returnToken(q)
		}
		e.writeRefusal(w, q, attempts, refused)
		return
	}
	e.writeAnswer(w, r, q, attempts, answer)
}

// readRequest checks a request and prepares it for an endpoint. If it refuses the
// request, it returns what it has read so far together with the refusal.
func (e *Edge) readRequest(w http.ResponseWriter, r *http.Request) (*request, *refusal.Refusal) {
	q := &request{caller: e.ports.Callers.ParseCallerInfo(r), callerAddress: r.RemoteAddr, started: time.Now()}
	q.catalog = e.catalog.Load()
	if q.catalog == nil {
		return q, refusal.New(http.StatusServiceUnavailable, refusal.NotConfigured, refusal.NotRun,
			"no configuration is in force yet").WithRetryAfter(jitter(unavailableRetryAfter))
	}
	if size := header.RequestHeadBytes(r); q.catalog.Limits.MaxHeaderBytes > 0 && size > q.catalog.Limits.MaxHeaderBytes {
		return q, refusal.New(http.StatusRequestHeaderFieldsTooLarge, refusal.HeadersTooLarge, refusal.NotRun,
			fmt.Sprintf("headers have %d bytes, above the limit of %d", size, q.catalog.Limits.MaxHeaderBytes))
	}
	if refused := e.identify(q, r); refused != nil {
		return q, refused
	}
	if q.workspace != nil {
		e.workspaceDemand.Count(q.workspace.Name)
	}
	q.deadline = q.started.Add(timeoutOf(q))
	body, refused := e.readBody(w, r, q)
	if refused != nil {
		return q, refused
	}
	header.RemoveHopByHop(r.Header)
	e.ports.Callers.RewriteHeader(r.Header, q.workspaceName())
	q.outgoing = upstream.Request{ID: q.caller.ID, Method: r.Method, Host: r.Host, Target: targetOf(r), Header: r.Header, Body: body}
	return q, e.prepare(q)
}

// prepare does what a request needs before an endpoint is chosen, once its route and the
// request to send are known.
func (e *Edge) prepare(q *request) *refusal.Refusal {
	q.maxAttempts = q.route.MaxAttempts
	q.fingerprint = quarantine.FingerprintOf(&call.Call{Workspace: q.workspaceName(), Service: q.route.Name, Request: q.outgoing})
	if left := e.quarantine.remainingTime(q.started, q.fingerprint); left > 0 {
		return refusal.New(http.StatusServiceUnavailable, refusal.Quarantined, refusal.NotRun,
			"request has cost several endpoints their connections").WithRetryAfter(left)
	}
	q.upstream = e.splitter.Next(q.route)
	e.observeReturn(q.started, q)
	if q.route.Sticky {
		q.affinityKey = placement.AffinityKey(q.upstream, q.route.Name, q.caller.ObjectName)
	}
	return e.reserveResponse(q)
}

// identify finds the route of a request and the workspace of its key.
func (e *Edge) identify(q *request, r *http.Request) *refusal.Refusal {
	route, found := q.catalog.Match(r.Host, pathOf(r))
	if !found {
		return refusal.New(http.StatusNotFound, refusal.RouteUnknown, refusal.NotRun,
			fmt.Sprintf("host %q has no route for %q", r.Host, pathOf(r)))
	}
	q.route = route
	if route.Open || !q.catalog.KeysRequired() {
		return nil
	}
	if q.caller.WorkspaceKey == "" {
		return refusal.New(http.StatusUnauthorized, refusal.KeyMissing, refusal.NotRun, "request needs a workspace key")
	}
	workspace, known := q.catalog.Authenticate(q.caller.WorkspaceKey)
	if !known {
		return refusal.New(http.StatusUnauthorized, refusal.KeyUnknown, refusal.NotRun, "workspace key is unknown")
	}
	q.workspace = workspace
	return nil
}

// timeoutOf returns the timeout of a request: the one that the caller gave, but at most
// that of the route.
func timeoutOf(q *request) time.Duration {
	limit := q.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if q.caller.Timeout > 0 && q.caller.Timeout < limit {
		return q.caller.Timeout
	}
	return limit
}

// maxAnswerDelay is how long after the deadline that an endpoint was given its answer may
// arrive, also from another region.
const maxAnswerDelay = 150 * time.Millisecond

// answersUntil returns until when an answer to the request is waited for. An answer that the
// endpoint made by its deadline is under way for some time, and the caller still waits for it
// unless the deadline is its own.
func (q *request) answersUntil() time.Time {
	callerWaitsUntil := q.started.Add(q.caller.Timeout)
	if q.caller.Timeout <= 0 || !callerWaitsUntil.After(q.deadline) {
		return q.deadline
	}
	until := q.deadline.Add(maxAnswerDelay)
	if callerWaitsUntil.Before(until) {
		return callerWaitsUntil
	}
	return until
}

// pathOf returns the path as the caller sent it.
func pathOf(r *http.Request) string { return pathOfTarget(targetOf(r)) }

func pathOfTarget(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// targetOf returns the path and query as the caller sent them.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
