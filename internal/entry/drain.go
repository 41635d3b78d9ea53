package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/pipeline"
	"lovagescale/internal/refusal"
)

// headerLeaving is the response header that tells callers that this entry is stopping,
// so that they look up other entries.
const headerLeaving = "Lovage-Entry-Leaving"

// retryAfterStopping is the Retry-After value of requests refused by a stopping entry.
const retryAfterStopping = time.Second

// drainPhase is the phase of a planned stop.
type drainPhase int32

// The phases, in order.
const (
	serving drainPhase = iota
	// leaving accepts new requests and tells callers to use other entries.
	leaving
	// refusing accepts no new requests and completes those in flight.
	refusing
)

var drainPhaseNames = [...]string{serving: "serving", leaving: "leaving", refusing: "refusing"}

// String returns the phase's name in the state dump.
func (p drainPhase) String() string { return drainPhaseNames[p] }

// callerDrain counts the callers' requests in flight. While the entry stops, it tells
// callers to use other entries and later refuses their requests.
type callerDrain struct {
	phase    atomic.Int32
	inFlight atomic.Int64
	refused  atomic.Int64
}

// isLeaving reports whether the entry is stopping.
func (d *callerDrain) isLeaving() bool { return drainPhase(d.phase.Load()) >= leaving }

// handler passes requests to next, or to refuse once the phase is refusing.
func (d *callerDrain) handler(next http.Handler, refuse func(http.ResponseWriter, *http.Request, *refusal.Refusal)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		w = &leavingWriter{ResponseWriter: w, drain: d, request: r}
		if drainPhase(d.phase.Load()) >= refusing {
			d.refused.Add(1)
			refuse(w, r, refusal.New(http.StatusServiceUnavailable, refusal.Stopping, refusal.NotRun,
				"entry is stopping; ask the look-up for another one").WithRetryAfter(retryAfterStopping))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// leavingWriter adds the headers of a leaving entry to a response if the entry is
// leaving when the response begins.
type leavingWriter struct {
	http.ResponseWriter
	drain   *callerDrain
	request *http.Request
}

// WriteHeader implements http.ResponseWriter.
func (w *leavingWriter) WriteHeader(status int) {
	if w.drain.isLeaving() {
		w.Header().Set(headerLeaving, "true")
		if !pipeline.Followed(w.request.Context()) {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *leavingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// drainDump is the state of the drain in a state dump.
type drainDump struct {
	Phase    string `json:"phase"`
	InFlight int64  `json:"in_flight"`
	Refused  int64  `json:"refused"`
}

func (d *callerDrain) dump() drainDump {
	return drainDump{
		Phase:    drainPhase(d.phase.Load()).String(),
		InFlight: d.inFlight.Load(),
		Refused:  d.refused.Load(),
	}
}

// drainCallers stops the entry without aborting requests:
//
//  1. It announces to the lookup servers and the siblings that this entry is leaving,
//     so that lookups no longer return it.
//  2. For the leave grace it accepts requests and tells callers to use other entries.
//  3. It refuses new requests as "not-run" until those in flight have ended.
//  4. It closes the connections.
//
// The stop grace limits the time after the leave grace. Requests that are still in
// flight then are aborted.
func (e *Entry) drainCallers(ctx context.Context, server *http.Server) error {
	started := time.Now()
	e.stopping.Store(true)
	e.drain.phase.Store(int32(leaving))
	e.announceLeaving()
	sleep(ctx, e.settings.LeaveGrace.Std())
	e.drain.phase.Store(int32(refusing))
	e.handover.Stop()
	ctx, cancel := context.WithTimeout(ctx, e.settings.StopGrace.Std())
	defer cancel()
	for e.inFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
	aborted := e.inFlight()
	err := server.Shutdown(ctx)
	duration := time.Since(started)
	metrics.GetOrRegisterTimer("drain.duration", e.registry).Update(duration)
	metrics.GetOrRegisterCounter("drain.cut", e.registry).Inc(aborted)
	e.log.Info().Dur("drain_ms", duration).Int64("refused", e.drain.refused.Load()).Int64("cut", aborted).Err(err).
		Msg("entry drained")
	return err
}

// inFlight returns the number of requests of callers and of other entries in flight, with
// those of callers whose response waits for its turn.
func (e *Entry) inFlight() int64 {
	return e.drain.inFlight.Load() + e.pipelines.Load().Depth() + e.handover.InFlight()
}
