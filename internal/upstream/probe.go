package upstream

import (
	"context"
	"encoding/json"
	"net/http"
)

// probeID is the request identifier of a probe.
const probeID = "probe"

// StatusError reports a health answer other than a Report.
type StatusError struct{ Status int }

// Error implements the error interface.
func (e *StatusError) Error() string { return "health answer has status " + http.StatusText(e.Status) }

// Probe asks the endpoint for its Report, by the deadline of ctx. It returns an
// *ExchangeError, a *StatusError or an error of package json.
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
