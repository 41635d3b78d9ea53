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
	case placement.Unreachable, placement.Lost:
		e.reach.RecordFailure(now, endpoint.ID)
		e.checkReach(now, 0)
	case placement.Expired, placement.Abandoned, placement.Crowded:
	default:
		e.reach.RecordAnswer(now)
	}
}

// checkReach begins a round of probes if this instance may be partitioned from all endpoints.
// inFlight is the number of requests that wait for an answer.
func (e *Edge) checkReach(now time.Time, inFlight int) {
	if endpoints := e.table.Load().Endpoints(); e.reach.ProbeDue(now, inFlight, len(endpoints)) {
		e.startProbes(endpoints)
	}
}

// startProbes begins rounds of probes, which end when they settle if this instance reaches
// endpoints.
func (e *Edge) startProbes(endpoints map[string]*placement.Endpoint) {
	done := make(chan struct{})
	e.probesDone.Store(&done)
	go func() {
		defer close(done)
		for !e.recordProbes(endpoints) {
		}
	}()
}

// reachesOthers reports whether this instance reaches endpoints, of which one has just
// failed. It relies on probes that connected since the given time, or makes some.
func (e *Edge) reachesOthers(ctx context.Context, failed *placement.Endpoint, since time.Time) bool {
	e.reach.RecordFailure(time.Now(), failed.ID) // so that others are probed
	if !e.awaitProbes(ctx) && !e.reach.ConnectedSince(since) {
		e.startProbes(e.table.Load().Endpoints())
	}
	return !e.awaitProbes(ctx)
}

// recordProbes makes a round of probes and reports whether it settles if this instance
// reaches endpoints.
func (e *Edge) recordProbes(endpoints map[string]*placement.Endpoint) bool {
	connected := e.probeEndpoints(endpoints)
	if e.reach.RecordRound(time.Now(), connected) {
		e.applyReach(endpoints)
	}
	return connected || e.reach.Partitioned()
}

// awaitProbes reports whether this instance reaches no endpoint. Unless that is settled
// already, it waits for the probes in progress.
func (e *Edge) awaitProbes(ctx context.Context) bool {
	if e.reach.Partitioned() {
		return true
	}
	if done := e.probesDone.Load(); done != nil {
		select {
		case <-*done:
		case <-ctx.Done():
		}
	}
	return e.reach.Partitioned()
}

// applyReach applies that this instance has become partitioned from all endpoints, or is
// no longer.
func (e *Edge) applyReach(endpoints map[string]*placement.Endpoint) {
	e.loop.TryPost(e.state.tickNow) // tells the others
	partitioned := e.reach.Partitioned()
	for _, endpoint := range endpoints {
		if partitioned {
			endpoint.Pool.Close() // connections from before the partition may hang
		} else {
			endpoint.ForgetOutage(time.Now())
		}
	}
	if partitioned {
		e.log.Warn().Msg("instance reaches no endpoint; other instances run its requests")
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
		go func() { results <- e.dialOnce(ctx, endpoint) == nil }()
	}
	for range probed {
		if <-results {
			return true
		}
	}
	return false
}

// dialOnce opens and closes a connection to an endpoint.
func (e *Edge) dialOnce(ctx context.Context, endpoint *placement.Endpoint) error {
	conn, err := e.ports.DialEndpoint(ctx, endpoint.Address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// probeCandidates returns the endpoints of a round of probes.
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
