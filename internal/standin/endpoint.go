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

// crashPathMarker is the text in a request's path that crashes the endpoint if CrashOnMarker
// is set.
const crashPathMarker = "crash"

// EndpointFaults selects the faults of one endpoint.
type EndpointFaults struct {
	// ExtraMillis is added to the processing time of every request.
	ExtraMillis int64 `json:"extra_ms"`
	// ColdMillis is added to the processing time of the first ColdRequests requests after
	// SetFaults.
	ColdMillis   int64 `json:"cold_ms"`
	ColdRequests int   `json:"cold_requests"`
	// Shed refuses requests that arrive with all slots in use, as not run.
	Shed bool `json:"shed"`
	// Draining announces in answers and health reports that the endpoint is draining.
	Draining bool `json:"draining"`
	// CrossIdentifiers answers a request with the identifier of the previous one.
	CrossIdentifiers bool `json:"cross"`
	// TruncateAnswers closes the connection one byte before the announced end of each answer.
	TruncateAnswers bool `json:"cut"`
	// LoseAnswerCount is the number of requests to come that run, but whose connection is
	// closed before the answer.
	LoseAnswerCount int `json:"lose_answers"`
	// CrashOnMarker closes every connection if a request's path contains "crash".
	CrashOnMarker bool `json:"crash_on_marker"`
	// Dead closes all open connections and each new one at once.
	Dead bool `json:"dead"`
	// FalseReport makes the endpoint report that it is healthy, is not draining and has
	// ReportedInFlight requests in flight.
	FalseReport      bool `json:"lie"`
	ReportedInFlight int  `json:"reported_in_flight"`
}

// EndpointCounters counts what an endpoint has run.
type EndpointCounters struct {
	Address string `json:"address"`
	Service string `json:"service"`
	Zone    string `json:"availability_zone"`
	Total   int    `json:"total"`
	// Actions counts the runs of each idempotency key. The map's keys are the workspace and
	// the idempotency key, separated by a space.
	Actions map[string]int `json:"actions"`
	// MaxInFlight is the highest number of requests that were in flight at once.
	MaxInFlight int `json:"max_in_flight"`
	// Overloads counts requests that arrived with all slots in use.
	Overloads int `json:"overloads"`
	// KeysSeen counts requests with an Authorization header.
	KeysSeen int `json:"keys_seen"`
	// Cancelled counts requests that the caller cancelled while they were processed.
	Cancelled      int `json:"cancelled"`
	Crashes        int `json:"crashes"`
	Connections    int `json:"connections"`
	MaxConnections int `json:"max_connections"`
}

// Endpoint imitates one upstream endpoint.
type Endpoint struct {
	slots    int
	workTime time.Duration

	mu          sync.Mutex
	faults      EndpointFaults
	inFlight    int
	coldServed  int
	previousID  string
	counters    EndpointCounters
	connections map[net.Conn]bool
}

// NewEndpoint returns an endpoint with the given slots and processing time per request.
func NewEndpoint(service, zone, address string, slots int, workTime time.Duration) *Endpoint {
	return &Endpoint{
		slots:       slots,
		workTime:    workTime,
		counters:    EndpointCounters{Address: address, Service: service, Zone: zone, Actions: make(map[string]int)},
		connections: make(map[net.Conn]bool),
	}
}

// SetFaults replaces the faults and makes the endpoint cold again.
func (e *Endpoint) SetFaults(faults EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.coldServed = 0
	if faults.Dead {
		e.closeConnections()
	}
}

// Counters returns a copy of the counters.
func (e *Endpoint) Counters() EndpointCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := e.counters
	copied.Actions = make(map[string]int, len(e.counters.Actions))
	for key, count := range e.counters.Actions {
		copied.Actions[key] = count
	}
	return copied
}

// trackConnection counts the open connections and closes new ones of a dead endpoint.
func (e *Endpoint) trackConnection(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		if e.faults.Dead {
			_ = conn.Close()
		}
		e.connections[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.connections, conn)
	}
	e.counters.Connections = len(e.connections)
	e.counters.MaxConnections = max(e.counters.MaxConnections, len(e.connections))
}

// closeConnections closes all open connections. The caller must hold the lock.
func (e *Endpoint) closeConnections() {
	for conn := range e.connections {
		_ = conn.Close()
	}
}

// ServeHTTP answers a health probe or runs a request.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == upstream.PathHealth {
		e.serveHealth(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults, duration, admitted := e.admit(r)
	if !admitted {
		w.Header().Set(upstream.HeaderOutcome, upstream.OutcomeNotRun)
		http.Error(w, "all slots are in use", http.StatusServiceUnavailable)
		return
	}
	defer e.release()
	select {
	case <-r.Context().Done():
		e.mu.Lock()
		e.counters.Cancelled++
		e.mu.Unlock()
		return
	case <-time.After(duration):
	}
	e.writeAnswer(w, r, faults, string(body))
}

// admit counts the request as in flight. It returns the faults that apply to it, its
// processing time and whether it was admitted. A request that crashes the endpoint is
// aborted by a panic.
func (e *Endpoint) admit(r *http.Request) (EndpointFaults, time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordArrival(r)
	if e.faults.CrashOnMarker && strings.Contains(r.URL.Path, crashPathMarker) {
		e.counters.Crashes++
		e.closeConnections()
		panic(http.ErrAbortHandler)
	}
	if e.faults.Shed && e.inFlight >= e.slots {
		return e.faults, 0, false
	}
	e.inFlight++
	e.counters.MaxInFlight = max(e.counters.MaxInFlight, e.inFlight)
	e.counters.Total++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		e.counters.Actions[r.Header.Get(upstream.HeaderWorkspace)+" "+key]++
	}
	faults := e.faults
	duration := e.workTime + time.Duration(faults.ExtraMillis)*time.Millisecond
	if e.coldServed < faults.ColdRequests {
		e.coldServed++
		duration += time.Duration(faults.ColdMillis) * time.Millisecond
	}
	if e.faults.LoseAnswerCount > 0 {
		e.faults.LoseAnswerCount--
	}
	return faults, duration, true
}

func (e *Endpoint) recordArrival(r *http.Request) {
	if e.inFlight >= e.slots {
		e.counters.Overloads++
	}
	if r.Header.Get("Authorization") != "" {
		e.counters.KeysSeen++
	}
}

func (e *Endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
}

func (e *Endpoint) writeAnswer(w http.ResponseWriter, r *http.Request, faults EndpointFaults, body string) {
	answerID := r.Header.Get(upstream.HeaderRequestID)
	e.mu.Lock()
	previousID := e.previousID
	e.previousID = answerID
	e.mu.Unlock()
	if faults.LoseAnswerCount > 0 {
		panic(http.ErrAbortHandler)
	}
	if faults.CrossIdentifiers && previousID != "" {
		answerID = previousID
	}
	text := fmt.Sprintf("%s %s served by %s in %s\n%s", r.Method, r.URL.Path, e.counters.Address, e.counters.Zone, body)
	header := w.Header()
	header.Set(upstream.HeaderRequestID, answerID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if faults.Draining {
		header.Set(upstream.HeaderDraining, "true")
	}
	if faults.TruncateAnswers {
		header.Set("Content-Length", fmt.Sprint(len(text)+1))
	}
	_, _ = io.WriteString(w, text) // the caller may have disconnected
	if faults.TruncateAnswers {
		panic(http.ErrAbortHandler)
	}
}

func (e *Endpoint) serveHealth(w http.ResponseWriter) {
	e.mu.Lock()
	report := upstream.Report{InFlight: e.inFlight, Draining: e.faults.Draining, Healthy: !e.faults.Dead}
	if e.faults.FalseReport {
		report = upstream.Report{InFlight: e.faults.ReportedInFlight, Healthy: true}
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report) // the prober may have disconnected
}
