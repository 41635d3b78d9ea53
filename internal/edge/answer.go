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

// servedLogShare is how many served requests there are for each that is logged.
const servedLogShare = 50

// answer writes an endpoint's whole answer.
func (e *Edge) answer(w http.ResponseWriter, r *http.Request, q *request, tries []try, answer *upstream.Answer) {
	header.RemoveHop(answer.Header)
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	if r.Method != http.MethodHead && bodyAllowed(answer.Status) {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	if r.Method != http.MethodHead {
		_, _ = w.Write(answer.Body) // the caller may have gone
	}
	took := time.Since(q.started)
	e.counters.answer(q, answer.Status, took)
	if answer.Status < http.StatusInternalServerError && len(tries) == 1 && e.counters.answered.Count()%servedLogShare != 0 {
		return
	}
	e.event(e.log.Info(), q, tries).Int("status", answer.Status).Dur("took", took).Msg("request was answered")
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// refuse answers in place of an endpoint.
func (e *Edge) refuse(w http.ResponseWriter, q *request, tries []try, refused *refusal.Refusal) {
	e.counters.refuse(q, refused)
	e.event(e.log.Warn(), q, tries).Int("status", refused.Status).Str("reason", string(refused.Kind)).
		Str("detail", refused.Detail).Str("outcome", string(refused.Outcome)).Dur("retry_after", refused.RetryAfter).
		Dur("took", time.Since(q.started)).Msg("request was refused")
	e.ports.Callers.Refuse(w, q.asked.ID, refused)
}

// event adds to a line what decided on a request.
func (e *Edge) event(line *zerolog.Event, q *request, tries []try) *zerolog.Event {
	line = line.Str("request", q.asked.ID).Uint64("revision", e.revision.Load())
	if q.catalog != nil {
		line = line.Uint64("version", q.catalog.Version)
	}
	if q.route != nil {
		line = line.Str("route", q.route.Name).Str("upstream", q.upstream).Str("region", q.region)
	}
	if q.cause != nil {
		line = line.AnErr("cause", q.cause)
	}
	if q.workspace != nil {
		line = line.Str("workspace", q.workspace.Name)
	}
	for _, t := range tries {
		line = line.Str("endpoint", t.endpoint.ID).Str("try", t.result.String())
	}
	return line
}
