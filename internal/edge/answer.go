package edge

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"lovagescale/internal/header"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// answersPerLogLine is the number of answers of which one is logged. Failures and
// answers after a retry are always logged.
const answersPerLogLine = 50

// writeAnswer writes the complete answer of an endpoint.
func (e *Edge) writeAnswer(w http.ResponseWriter, r *http.Request, q *request, attempts []attempt, answer *upstream.Answer) {
	header.RemoveHopByHop(answer.Header)
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	if r.Method != http.MethodHead && bodyAllowed(answer.Status) {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	if r.Method != http.MethodHead {
		e.deliver(w, r, q, answer.Body)
	}
	took := time.Since(q.started)
	e.counters.recordAnswer(q, answer.Status, took)
	if answer.Status < http.StatusInternalServerError && len(attempts) <= 1 && e.counters.answers.Count()%answersPerLogLine != 0 {
		return
	}
	e.addRequestFields(e.log.Info(), q, attempts).Int("status", answer.Status).Dur("took", took).Msg("request was answered")
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeRefusal writes a refusal instead of an endpoint's answer.
func (e *Edge) writeRefusal(w http.ResponseWriter, q *request, attempts []attempt, refused *refusal.Refusal) {
	e.counters.recordRefusal(q, refused)
	e.addRequestFields(e.log.Warn(), q, attempts).Int("status", refused.Status).Str("reason", string(refused.Kind)).
		Str("detail", refused.Detail).Str("outcome", string(refused.Outcome)).Dur("retry_after", refused.RetryAfter).
		Dur("took", time.Since(q.started)).Msg("request was refused")
	e.ports.Callers.WriteRefusal(w, q.caller.ID, refused)
}

// addRequestFields adds to a log event what the handling of the request depended on.
func (e *Edge) addRequestFields(event *zerolog.Event, q *request, attempts []attempt) *zerolog.Event {
	event = event.Str("request", q.caller.ID).Uint64("revision", e.position.Load().Revision)
	if q.catalog != nil {
		event = event.Uint64("version", q.catalog.Version)
	}
	if q.route != nil {
		event = event.Str("route", q.route.Name).Str("upstream", q.upstream).Str("region", q.region)
	}
	if q.runsAt != "" {
		event = event.Str("handed_over_to", q.runsAt)
	}
	if q.cause != nil {
		event = event.AnErr("cause", q.cause)
	}
	if q.workspace != nil {
		event = event.Str("workspace", q.workspace.Name)
	}
	for _, a := range attempts {
		event = event.Str("endpoint", a.endpoint.ID).Str("try", a.result.String())
	}
	return event
}
