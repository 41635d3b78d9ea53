package gateway

import (
	"net/http"
	"strconv"

	"lovagescale/internal/call"
	"lovagescale/internal/header"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// writeResult writes the answer of a call with the headers that say where it came from.
// The Content-Length that the upstream gave to a HEAD request is kept.
func writeResult(w http.ResponseWriter, result *call.Result, isHead bool) {
	outgoing := w.Header()
	requestID := outgoing.Get(refusal.HeaderRequestID)
	for name, values := range result.Answer.Header {
		outgoing[name] = values
	}
	header.RemoveHopByHop(outgoing)
	outgoing.Del(upstream.HeaderOutcome)
	outgoing.Del(upstream.HeaderDraining)
	outgoing.Set(refusal.HeaderRequestID, requestID)
	outgoing.Set(refusal.HeaderOutcome, string(refusal.Ran))
	outgoing.Set(HeaderZone, result.Zone)
	outgoing.Set(HeaderEndpoint, result.Endpoint)
	if !isHead {
		outgoing.Set("Content-Length", strconv.Itoa(len(result.Answer.Body)))
	}
	if result.Replayed {
		outgoing.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(result.Answer.Status)
	_, _ = w.Write(result.Answer.Body) // fails if the caller has disconnected
}
