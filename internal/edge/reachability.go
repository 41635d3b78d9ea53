package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"lovagescale/internal/placement"
)

const (
	// probesPerRound is the number of endpoints to which a round opens connections.
	probesPerRound = 3
	// probeTimeout bounds a round.
	probeTimeout = 300 * time.Millisecond
)

// recordReach records what an attempt shows of this instance's connection to endpoints.
func (e *Edge) recordReach(now time.Time, endpoint *placement.Endpoint, result placement.Result) {
	switch result {
	case placement.Unreachable, placement.Lost, placement.Expired:
		e.reach.RecordFailure(now, endpoint.ID)
		e.checkReach(now, 0)
	case placement.Abandoned, placement.Crowded:
	default:
		e.reach.RecordAnswer(now, endpoint.ID)
	}
}

// checkReach begins a round of probes if this instance may be cut off from all endpoints.
// inFlight is the number of requests that wait for an answer.
func (e *Edge) checkReach(now time.Time, inFlight int) {
	endpoints := e.table.Load().Endpoints()
	if !e.reach.ProbeDue(now, inFlight, len(endpoints)) {
		return
	}
	go func() {
		if e.reach.RecordRound(time.Now(), e.probeEndpoints(endpoints)) {
			e.logReach()
		}
	}()
}

func (e *Edge) logReach() {
	if e.reach.Cut() {
		e.log.Warn().Msg("instance reaches no endpoint")
	} else {
		e.log.Info().Msg("instance reaches endpoints again")
	}
}

// probeEndpoints opens and closes connections to a few endpoints at random and reports
// whether one of them accepted. Endpoints that failed lately are probed only for want of
// others.
func (e *Edge) probeEndpoints(endpoints map[string]*placement.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	results := make(chan bool, probesPerRound)
	probed := e.probeCandidates(endpoints)
	for _, endpoint := range probed {
		go func() {
			conn, err := e.ports.DialEndpoint(ctx, endpoint.Address)
			if err == nil {
				_ = conn.Close()
			}
			results <- err == nil
		}()
	}
	for range probed {
		if <-results {
			return true
		}
	}
	return false
}

func (e *Edge) probeCandidates(endpoints map[string]*placement.Endpoint) []*placement.Endpoint {
	now := time.Now()
	var sound, failed []*placement.Endpoint
	for id, endpoint := range endpoints {
		if e.reach.HasFailed(now, id) {
			failed = append(failed, endpoint)
		} else {
			sound = append(sound, endpoint)
		}
	}
	for _, list := range [][]*placement.Endpoint{sound, failed} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	candidates := append(sound, failed...)
	return candidates[:min(len(candidates), probesPerRound)]
}
