package gateway

import (
	"net/http"
	"strconv"

	"lovagescale/internal/call"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// writeResult writes the whole answer of a call.
func writeResult(w http.ResponseWriter, result *call.Result, bodyless bool) {
	header := w.Header()
	id := header.Get(refusal.HeaderRequestID)
	for name, values := range result.Answer.Header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	header.Del(upstream.HeaderOutcome)
	header.Del(upstream.HeaderDraining)
	header.Set(refusal.HeaderRequestID, id)
	header.Set(refusal.HeaderOutcome, string(refusal.Ran))
	header.Set(HeaderZone, result.Zone)
	header.Set(HeaderEndpoint, result.Endpoint)
	if !bodyless {
		header.Set("Content-Length", strconv.Itoa(len(result.Answer.Body)))
	}
	if result.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(result.Answer.Status)
	_, _ = w.Write(result.Answer.Body) // the caller may have gone
}
