package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/refusal"
)

// headerLeaving tells callers that this entry stops, so that they ask for other
// entries.
const headerLeaving = "Lovage-Entry-Leaving"

// retryStopping tells a caller when to ask for another entry.
const retryStopping = time.Second

// drainPhase is how far a planned stop has come.
type drainPhase int32

// The phases, in order.
const (
	serving drainPhase = iota
	// leaving takes new requests and tells callers to move.
	leaving
	// refusing takes no new request and finishes those in flight.
	refusing
)

var phaseNames = [...]string{serving: "serving", leaving: "leaving", refusing: "refusing"}

// String returns the phase's name in the state dump.
func (p drainPhase) String() string { return phaseNames[p] }

// drain counts the callers' requests in flight and tells callers to move while
// the entry stops.
type drain struct {
	phase    atomic.Int32
	inFlight atomic.Int64
	refused  atomic.Int64
}

// handler refuses requests by refuse once the phase is refusing.
func (d *drain) handler(next http.Handler, refuse func(http.ResponseWriter, *http.Request, *refusal.Refusal)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		w = &tellingWriter{ResponseWriter: w, drain: d}
		if drainPhase(d.phase.Load()) >= refusing {
			d.refused.Add(1)
			refuse(w, r, refusal.New(http.StatusServiceUnavailable, refusal.Stopping, refusal.NotRun,
				"entry is stopping; ask the look-up for another one").After(retryStopping))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// tellingWriter adds to an answer that the entry is leaving, if it is when the
// answer begins.
type tellingWriter struct {
	http.ResponseWriter
	drain *drain
}

// WriteHeader implements http.ResponseWriter.
func (w *tellingWriter) WriteHeader(status int) {
	if drainPhase(w.drain.phase.Load()) >= leaving {
		w.Header().Set(headerLeaving, "true")
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *tellingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// drainDump is the drain in a state dump.
type drainDump struct {
	Phase    string `json:"phase"`
	InFlight int64  `json:"in_flight"`
	Refused  int64  `json:"refused"`
}

func (d *drain) dump() drainDump {
	return drainDump{
		Phase:    drainPhase(d.phase.Load()).String(),
		InFlight: d.inFlight.Load(),
		Refused:  d.refused.Load(),
	}
}

// drainCallers stops an entry without cutting a request. It leaves the look-up
// answers and tells the siblings; goes on taking requests for the leave grace
// while telling callers to move; then refuses new ones as "not-run" until those
// in flight have ended; and closes the connections. The stop grace bounds the
// time after the leave grace.
func (e *Entry) drainCallers(ctx context.Context, server *http.Server) error {
	started := time.Now()
	e.stopping.Store(true)
	e.drain.phase.Store(int32(leaving))
	e.leaveMembers()
	wait(ctx, e.settings.LeaveGrace.Std())
	e.drain.phase.Store(int32(refusing))
	e.handing.Stop()
	ctx, cancel := context.WithTimeout(ctx, e.settings.StopGrace.Std())
	defer cancel()
	for e.inFlight() > 0 && ctx.Err() == nil {
		wait(ctx, drainPoll)
	}
	cut := e.inFlight()
	err := server.Shutdown(ctx)
	took := time.Since(started)
	metrics.GetOrRegisterTimer("drain.duration", e.registry).Update(took)
	metrics.GetOrRegisterCounter("drain.cut", e.registry).Inc(cut)
	e.log.Info().Dur("drain_ms", took).Int64("refused", e.drain.refused.Load()).Int64("cut", cut).Err(err).
		Msg("entry drained")
	return err
}

// inFlight counts the requests of callers and of other entries.
func (e *Entry) inFlight() int64 { return e.drain.inFlight.Load() + e.handing.InFlight() }
