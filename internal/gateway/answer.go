package gateway

import (
	"net/http"
	"strconv"

	"lovagescale/internal/call"
	"lovagescale/internal/header"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// writeResult writes the whole answer of a call.
func writeResult(w http.ResponseWriter, result *call.Result, bodyless bool) {
	passed := w.Header()
	id := passed.Get(refusal.HeaderRequestID)
	for name, values := range result.Answer.Header {
		passed[name] = values
	}
	header.RemoveHop(passed)
	passed.Del(upstream.HeaderOutcome)
	passed.Del(upstream.HeaderDraining)
	passed.Set(refusal.HeaderRequestID, id)
	passed.Set(refusal.HeaderOutcome, string(refusal.Ran))
	passed.Set(HeaderZone, result.Zone)
	passed.Set(HeaderEndpoint, result.Endpoint)
	if !bodyless {
		passed.Set("Content-Length", strconv.Itoa(len(result.Answer.Body)))
	}
	if result.Replayed {
		passed.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(result.Answer.Status)
	_, _ = w.Write(result.Answer.Body) // the caller may have gone
}
