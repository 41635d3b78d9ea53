package upstream

import (
	"context"
	"encoding/json"
	"net/http"
)

// probeID is the request identifier of a probe.
const probeID = "probe"

// StatusError reports a health answer with a status other than 200.
type StatusError struct{ Status int }

// Error implements the error interface.
func (e *StatusError) Error() string { return "health answer has status " + http.StatusText(e.Status) }

// Probe requests the endpoint's Report by the deadline of ctx. On failure it
// returns an *ExchangeError, a *StatusError or an error of package json.
func (p *Pool) Probe(ctx context.Context) (Report, error) {
	var report Report
	answer, err := p.Exchange(ctx, &Request{ID: probeID, Method: http.MethodGet, Target: PathHealth})
	if err != nil {
		return report, err
	}
	if answer.Status != http.StatusOK {
		return report, &StatusError{Status: answer.Status}
	}
	return report, json.Unmarshal(answer.Body, &report)
}
