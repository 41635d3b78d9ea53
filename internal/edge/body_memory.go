package edge

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/placement"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// initMemory sets the memory for bodies.
func (e *Edge) initMemory(memory *bodymemory.Memory) {
	e.memory = memory
	e.memory.OnDisconnect(e.recordDisconnection)
	e.responseSizes = bodymemory.NewSizes(memory.Limit())
}

// holdBody reads the body of a request into memory that is reserved until the request ends. The body
// must arrive as long as the answer to the request can still be of use.
func (e *Edge) holdBody(w http.ResponseWriter, r *http.Request, q *request) ([]byte, error) {
	held, err := e.memory.Reserve(bodymemory.RequestBody, 0)
	if err != nil {
		return nil, err
	}
	q.bodyHeld = held
	held.SetOwner(q.owner())
	bodymemory.ReceiveLarge(r.Context(), r.ContentLength)
	controller := http.NewResponseController(w)
	limited := controller.SetReadDeadline(q.answersUntil()) == nil // a request that was read ahead has its body
	body, err := held.ReceiveBody(r.Body, r.ContentLength, q.catalog.Limits.MaxBodyBytes, bodymemory.StopReading(r.Context()))
	if limited && err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// reserveResponse reserves the memory that the response is expected to need, or refuses the
// request before it is sent.
func (e *Edge) reserveResponse(q *request) *refusal.Refusal {
	held, err := e.memory.Reserve(bodymemory.Response, e.responseSizes.Expected(q.route.Name))
	if err != nil {
		q.cause = err
		return refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun,
			"no memory for the response").WithRetryAfter(jitter(unavailableRetryAfter))
	}
	held.SetOwner(q.owner())
	q.responseHeld, q.outgoing.ResponseMemory = held, held
	return nil
}

// owner returns the request as logs and the dump of the memory name it.
func (q *request) owner() bodymemory.Owner {
	return bodymemory.Owner{Request: q.caller.ID, Workspace: q.workspaceName(), Route: q.route.Name, Caller: q.callerAddress}
}

// releaseMemory releases the memory of the request, except that of a response which a
// bodymemory.ResponseHolder has taken over.
func (q *request) releaseMemory() {
	q.bodyHeld.Release()
	q.responseHeld.Release()
}

// deliver writes the body of the response to the caller. Its memory is released when the
// caller has taken it.
func (e *Edge) deliver(w http.ResponseWriter, r *http.Request, q *request, body []byte) {
	e.responseSizes.Observe(q.route.Name, int64(len(body)))
	q.outgoing.Body = nil // no further attempt follows
	q.bodyHeld.Release()
	held := q.responseHeld
	q.responseHeld = nil
	bodymemory.Deliver(r.Context(), w, body, held)
}

// classifyMemory returns the result of an attempt that failed for want of memory. Neither
// says anything about the endpoint.
func classifyMemory(err error) (result placement.Result, known bool) {
	var bodyLimit *upstream.BodyLimitError
	var noMemory *bodymemory.NoMemoryError
	switch {
	case errors.As(err, &bodyLimit):
		return placement.Crowded, true
	case errors.As(err, &noMemory):
		return placement.Abandoned, true
	}
	return 0, false
}

// noteNoMemory records that a response could not be held, if that is the error of an
// attempt.
func (q *request) noteNoMemory(err error) {
	var noMemory *bodymemory.NoMemoryError
	if err != nil && errors.As(err, &noMemory) {
		q.responseNotHeld, q.cause = true, err
	}
}

// responseNotHeldRefusal returns the refusal of a request whose response was larger than
// expected and did not fit. Its status does not promise that the request did not run.
func responseNotHeldRefusal() *refusal.Refusal {
	return refusal.New(http.StatusBadGateway, refusal.UpstreamFailed, refusal.Unknown, "no memory for the endpoint's answer")
}

// recordDisconnection counts and logs a caller that was disconnected, or refused while it sent its
// body.
func (e *Edge) recordDisconnection(d bodymemory.Disconnection) {
	metrics.GetOrRegisterCounter("edge.callers.disconnected."+string(d.Reason), e.registry).Inc(1)
	e.log.Warn().Str("request", d.Owner.Request).Str("workspace", d.Owner.Workspace).Str("route", d.Owner.Route).
		Str("caller", d.Owner.Caller).Str("reason", string(d.Reason)).Int64("held", d.Held).Int64("read", d.BytesRead).
		Dur("age", d.Age).Dur("quiet", d.Quiet).Msg("caller was disconnected or refused in favor of others")
}

// setMemoryGauges sets the gauges of the memory for bodies.
func (e *Edge) setMemoryGauges(set func(name string, value int64)) {
	set("edge.bodies.bytes", e.memory.UsedBy(bodymemory.RequestBody))
	description := e.memory.Describe()
	set("edge.memory.limit", description.Limit)
	set("edge.memory.used", description.Used)
	for kind, used := range description.ByKind {
		set("edge.memory."+kind, used)
	}
}
