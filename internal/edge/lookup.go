package edge

import (
	"net/http"
	"strconv"
	"time"
)

// maxLookupAddresses bounds the addresses in the answer to a lookup.
const maxLookupAddresses = 64

// lookupTTLFraction is the fraction of Bounds.LookUpTTL that answers state as their
// TTL.
const lookupTTLFraction = 0.8

// serveLookup answers with the addresses to which a caller may connect.
func (e *Edge) serveLookup(w http.ResponseWriter, r *http.Request) {
	region, ok := e.ports.Lookups.ParseRegion(r)
	if !ok {
		http.NotFound(w, r)
		return
	}
	addressesByRegion := *e.callerAddresses.Load()
	addresses, found := addressesByRegion[region]
	if !found {
		addresses = addressesByRegion[""]
	}
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ttl := time.Duration(lookupTTLFraction * float64(e.bounds.Load().LookUpTTL))
	body, err := e.ports.Lookups.EncodeAnswer(addresses, ttl)
	if err != nil {
		e.log.Error().Err(err).Msg("answer to a lookup could not be encoded; sending status 500")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.counters.lookups.Inc(1)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the caller may have disconnected
}

// serveReadiness tells the platform whether this instance accepts callers.
func (e *Edge) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != e.ports.PathReadiness {
		http.NotFound(w, r)
		return
	}
	if e.leaving.Load() || e.catalog.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
