package edge

import (
	"net/http"
	"strconv"
	"time"
)

// maxEntries bounds the addresses of one answer.
const maxEntries = 64

// lookUpTTLPart is the part of the longest lifetime that answers get.
const lookUpTTLPart = 0.8

// serveLookUp answers which instances a caller is to use.
func (e *Edge) serveLookUp(w http.ResponseWriter, r *http.Request) {
	region, ok := e.ports.LookUps.Asked(r)
	if !ok {
		http.NotFound(w, r)
		return
	}
	entries := *e.entries.Load()
	addresses, found := entries[region]
	if !found {
		addresses = entries[""]
	}
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ttl := time.Duration(lookUpTTLPart * float64(e.bounds.Load().LookUpTTL))
	body, err := e.ports.LookUps.Answer(addresses, ttl)
	if err != nil {
		e.log.Error().Err(err).Msg("look-up cannot be encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.counters.lookUps.Inc(1)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the caller may have gone
}

// serveReadiness tells the platform whether callers may be sent here.
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
