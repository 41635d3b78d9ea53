package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"lovagescale/internal/upstream"
)

// crashMarker in a request's path crashes the endpoint when CrashOnMarker is
// set.
const crashMarker = "crash"

// EndpointFaults switches the faults of one endpoint.
type EndpointFaults struct {
	// ExtraMillis is added to the time of every request.
	ExtraMillis int64 `json:"extra_ms"`
	// ColdMillis is added to the first ColdRequests requests after a start.
	ColdMillis   int64 `json:"cold_ms"`
	ColdRequests int   `json:"cold_requests"`
	// Shed refuses requests above the slots before work.
	Shed bool `json:"shed"`
	// Draining announces that the endpoint leaves.
	Draining bool `json:"draining"`
	// Cross answers with the previous request's identifier and body.
	Cross bool `json:"cross"`
	// Cut closes the connection in the middle of each answer.
	Cut bool `json:"cut"`
	// LoseAnswers is the number of next requests that run and whose connection
	// is closed before the answer.
	LoseAnswers int `json:"lose_answers"`
	// CrashOnMarker closes every connection when a request's path contains
	// "crash".
	CrashOnMarker bool `json:"crash_on_marker"`
	// Dead closes every connection at once.
	Dead bool `json:"dead"`
	// ReportedInFlight replaces the reported load if it is not negative and
	// Lie is set.
	Lie              bool `json:"lie"`
	ReportedInFlight int  `json:"reported_in_flight"`
}

// Runs is what an endpoint has run.
type Runs struct {
	Address string `json:"address"`
	Service string `json:"service"`
	Zone    string `json:"availability_zone"`
	Total   int    `json:"total"`
	// Actions counts the runs of each idempotency key by "workspace key".
	Actions map[string]int `json:"actions"`
	// MaxInFlight is the highest number of requests run at once.
	MaxInFlight int `json:"max_in_flight"`
	// Overloads counts requests that arrived with all slots in use.
	Overloads int `json:"overloads"`
	// KeysSeen counts requests that carried credentials.
	KeysSeen int `json:"keys_seen"`
	// Cancelled counts requests whose caller gave up.
	Cancelled      int `json:"cancelled"`
	Crashes        int `json:"crashes"`
	Connections    int `json:"connections"`
	MaxConnections int `json:"max_connections"`
}

// Endpoint is the stand-in of one upstream endpoint.
type Endpoint struct {
	slots int
	work  time.Duration

	mu       sync.Mutex
	faults   EndpointFaults
	inFlight int
	warm     int
	previous string
	runs     Runs
	conns    map[net.Conn]bool
}

// NewEndpoint returns an endpoint with the given slots and time of work.
func NewEndpoint(service, zone, address string, slots int, work time.Duration) *Endpoint {
	return &Endpoint{
		slots: slots,
		work:  work,
		runs:  Runs{Address: address, Service: service, Zone: zone, Actions: make(map[string]int)},
		conns: make(map[net.Conn]bool),
	}
}

// SetFaults replaces the faults.
func (e *Endpoint) SetFaults(faults EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.warm = 0
	if faults.Dead {
		e.closeConnections()
	}
}

// Runs returns what the endpoint has run.
func (e *Endpoint) Runs() Runs {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := e.runs
	copied.Actions = make(map[string]int, len(e.runs.Actions))
	for key, count := range e.runs.Actions {
		copied.Actions[key] = count
	}
	return copied
}

// connState keeps count of connections and closes those of a dead endpoint.
func (e *Endpoint) connState(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		if e.faults.Dead {
			_ = conn.Close()
		}
		e.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, conn)
	}
	e.runs.Connections = len(e.conns)
	e.runs.MaxConnections = max(e.runs.MaxConnections, len(e.conns))
}

// closeConnections must be called with the lock held.
func (e *Endpoint) closeConnections() {
	for conn := range e.conns {
		_ = conn.Close()
	}
}

// ServeHTTP runs one request.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == upstream.PathHealth {
		e.health(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults, wait, admitted := e.begin(r)
	if !admitted {
		w.Header().Set(upstream.HeaderOutcome, upstream.OutcomeNotRun)
		http.Error(w, "all slots are in use", http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	select {
	case <-r.Context().Done():
		e.mu.Lock()
		e.runs.Cancelled++
		e.mu.Unlock()
		return
	case <-time.After(wait):
	}
	e.answer(w, r, faults, string(body))
}

// begin counts the request in and returns the faults it meets.
func (e *Endpoint) begin(r *http.Request) (EndpointFaults, time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.countArrival(r)
	if e.faults.CrashOnMarker && strings.Contains(r.URL.Path, crashMarker) {
		e.runs.Crashes++
		e.closeConnections()
		panic(http.ErrAbortHandler)
	}
	if e.faults.Shed && e.inFlight >= e.slots {
		return e.faults, 0, false
	}
	e.inFlight++
	e.runs.MaxInFlight = max(e.runs.MaxInFlight, e.inFlight)
	e.runs.Total++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		e.runs.Actions[r.Header.Get(upstream.HeaderWorkspace)+" "+key]++
	}
	faults := e.faults
	wait := e.work + time.Duration(faults.ExtraMillis)*time.Millisecond
	if e.warm < faults.ColdRequests {
		e.warm++
		wait += time.Duration(faults.ColdMillis) * time.Millisecond
	}
	if e.faults.LoseAnswers > 0 {
		e.faults.LoseAnswers--
	}
	return faults, wait, true
}

func (e *Endpoint) countArrival(r *http.Request) {
	if e.inFlight >= e.slots {
		e.runs.Overloads++
	}
	if r.Header.Get("Authorization") != "" {
		e.runs.KeysSeen++
	}
}

func (e *Endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
}

func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request, faults EndpointFaults, body string) {
	id := r.Header.Get(upstream.HeaderRequestID)
	e.mu.Lock()
	previous := e.previous
	e.previous = id
	e.mu.Unlock()
	if faults.LoseAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	if faults.Cross && previous != "" {
		id = previous
	}
	text := fmt.Sprintf("%s %s served by %s in %s\n%s", r.Method, r.URL.Path, e.runs.Address, e.runs.Zone, body)
	header := w.Header()
	header.Set(upstream.HeaderRequestID, id)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if faults.Draining {
		header.Set(upstream.HeaderDraining, "true")
	}
	if faults.Cut {
		header.Set("Content-Length", fmt.Sprint(len(text)+1))
	}
	_, _ = io.WriteString(w, text) // the caller may have gone
	if faults.Cut {
		panic(http.ErrAbortHandler)
	}
}

func (e *Endpoint) health(w http.ResponseWriter) {
	e.mu.Lock()
	report := upstream.Report{InFlight: e.inFlight, Draining: e.faults.Draining, Healthy: !e.faults.Dead}
	if e.faults.Lie {
		report = upstream.Report{InFlight: e.faults.ReportedInFlight, Healthy: true}
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report) // the prober may have gone
}
