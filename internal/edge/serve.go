package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/call"
	"lovagescale/internal/catalog"
	"lovagescale/internal/header"
	"lovagescale/internal/placement"
	"lovagescale/internal/quarantine"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// defaultTimeout holds for routes that set none.
const defaultTimeout = 10 * time.Second

// notConfiguredRetry is when a caller may come back to an instance that has no
// configuration yet.
const notConfiguredRetry = 500 * time.Millisecond

// bodyMemoryPart is the part of the process's memory (1/n) that callers' bodies
// may use.
const bodyMemoryPart = 4

// request is one attempt of a caller.
type request struct {
	asked     Asked
	catalog   *catalog.Catalog
	route     *catalog.Route
	workspace *catalog.Workspace
	upstream  string
	// region is where the request is to run.
	region string
	// cause is why it was refused, if it was for want of room.
	cause error
	// object is what a request of a sticky route concerns; 0 is nothing.
	object   uint64
	started  time.Time
	deadline time.Time
	// fingerprint is that of equal requests.
	fingerprint quarantine.Fingerprint
	outgoing    upstream.Request
	// reserved is the memory of the body.
	reserved int64
}

// workspaceName returns the name of the workspace, or "" on open routes.
func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}

// bodyMemory bounds the bodies that are held at once.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes, or reports false.
func (m *bodyMemory) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *bodyMemory) release(n int64) { m.used.Add(-n) }

// ServeHTTP implements http.Handler for callers.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.counters.requests.Inc(1)
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q, refused := e.read(w, r)
	if refused != nil {
		e.refuse(w, q, nil, refused)
		return
	}
	defer e.bodies.release(q.reserved)
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	answer, tries, refused := e.run(ctx, q)
	if refused != nil {
		e.refuse(w, q, tries, refused)
		return
	}
	e.answer(w, r, q, tries, answer)
}

// read checks a request and prepares it for an endpoint.
func (e *Edge) read(w http.ResponseWriter, r *http.Request) (*request, *refusal.Refusal) {
	q := &request{asked: e.ports.Callers.Read(r), started: time.Now()}
	q.catalog = e.catalog.Load()
	if q.catalog == nil {
		return q, refusal.New(http.StatusServiceUnavailable, refusal.NotConfigured, refusal.NotRun,
			"no configuration is in force yet").After(jitter(notConfiguredRetry))
	}
	if size := header.Bytes(r); q.catalog.Limits.MaxHeaderBytes > 0 && size > q.catalog.Limits.MaxHeaderBytes {
		return q, refusal.New(http.StatusRequestHeaderFieldsTooLarge, refusal.HeaderTooLarge, refusal.NotRun,
			fmt.Sprintf("headers have %d bytes, above the limit of %d", size, q.catalog.Limits.MaxHeaderBytes))
	}
	if refused := e.identify(q, r); refused != nil {
		return q, refused
	}
	if wait, admitted := e.admit(r.Context(), q); !admitted {
		return q, refusal.New(http.StatusTooManyRequests, refusal.RateExceeded, refusal.NotRun,
			fmt.Sprintf("workspace is above its rate of %g a second and its burst of %g", q.workspace.Rate, q.workspace.Burst)).After(max(wait, minRetryAfter))
	}
	q.deadline = q.started.Add(timeoutOf(q))
	body, refused := e.readBody(w, r, q)
	if refused != nil {
		return q, refused
	}
	header.RemoveHop(r.Header)
	e.ports.Callers.Forward(r.Header, q.workspaceName())
	q.outgoing = upstream.Request{ID: q.asked.ID, Method: r.Method, Host: r.Host, Target: targetOf(r), Header: r.Header, Body: body}
	q.fingerprint = quarantine.FingerprintOf(&call.Call{Workspace: q.workspaceName(), Service: q.route.Name, Request: q.outgoing})
	if left := e.poison.quarantined(q.started, q.fingerprint); left > 0 {
		return q, refusal.New(http.StatusServiceUnavailable, refusal.Quarantined, refusal.NotRun,
			"request has cost several endpoints their connections").After(left)
	}
	q.upstream = e.splitter.Next(q.route)
	if q.route.Sticky {
		q.object = placement.AffinityKey(q.upstream, q.route.Name, q.asked.Object)
	}
	return q, nil
}

// identify finds the route and the workspace.
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
	if q.asked.Key == "" {
		return refusal.New(http.StatusUnauthorized, refusal.KeyMissing, refusal.NotRun, "request needs a workspace key")
	}
	workspace, known := q.catalog.Authenticate(q.asked.Key)
	if !known {
		return refusal.New(http.StatusUnauthorized, refusal.KeyUnknown, refusal.NotRun, "workspace key is unknown")
	}
	q.workspace = workspace
	return nil
}

// timeoutOf returns how long the request may take: the caller's time, at most
// the route's.
func timeoutOf(q *request) time.Duration {
	limit := q.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if q.asked.Timeout > 0 && q.asked.Timeout < limit {
		return q.asked.Timeout
	}
	return limit
}

// readBody reads the body into memory that is bounded over all requests.
func (e *Edge) readBody(w http.ResponseWriter, r *http.Request, q *request) ([]byte, *refusal.Refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	limit := q.catalog.Limits.MaxBodyBytes
	if limit > 0 && r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	if r.ContentLength > 0 && !e.bodies.reserve(r.ContentLength) {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun,
			"no memory for the body").After(jitter(notConfiguredRetry))
	}
	q.reserved = max(r.ContentLength, 0)
	if limit > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := readAll(r)
	var above *http.MaxBytesError
	if errors.As(err, &above) {
		return nil, e.bodyRefused(q, tooLarge(limit))
	}
	if err != nil {
		return nil, e.bodyRefused(q, refusal.New(http.StatusBadRequest, refusal.BodyCut, refusal.NotRun, "body was cut short"))
	}
	return body, nil
}

// bodyRefused gives back the memory of a body that was not read.
func (e *Edge) bodyRefused(q *request, refused *refusal.Refusal) *refusal.Refusal {
	e.bodies.release(q.reserved)
	q.reserved = 0
	return refused
}

func readAll(r *http.Request) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(r.Body)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

func tooLarge(limit int64) *refusal.Refusal {
	return refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, refusal.NotRun,
		fmt.Sprintf("body is above the limit of %d bytes", limit))
}

// pathOf returns the path as the caller wrote it.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(targetOf(r), "?")
	return path
}

// targetOf returns the path and query as the caller wrote them.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
