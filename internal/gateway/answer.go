package gateway

import (
	"context"
	"net/http"
	"strconv"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/call"
	"lovagescale/internal/header"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// writeResult writes the answer of a call with the headers that say where it came from.
// The Content-Length that the upstream gave to a HEAD request is kept.
func writeResult(ctx context.Context, w http.ResponseWriter, result *call.Result, isHead bool, held *bodymemory.Reservation) {
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
	bodymemory.Deliver(ctx, w, result.Answer.Body, held)
}
