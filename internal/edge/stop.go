package edge

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Times of a planned stop.
const (
	// acceptPart is the part of the time to stop in which new requests are taken:
	// callers keep answers to look-ups.
	acceptPart = 0.5
	// stopMargin is left between the end of the drain and the platform's kill.
	stopMargin = 300 * time.Millisecond
)

// serveCallers serves until ctx ends, then drains: the instance is no longer
// ready, takes the requests of callers that do not know yet, ends their
// connections, and at last waits for the requests that are under way.
func (e *Edge) serveCallers(ctx context.Context, listener net.Listener) error {
	conns := newCallerConns(listener)
	server := &http.Server{
		Handler:        e,
		ConnState:      conns.track,
		MaxHeaderBytes: hardHeaderBytes,
	}
	sweeping, stopSweeping := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSweeping()
	go e.sweepQuiet(sweeping, conns)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(conns) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	asked := time.Now()
	grace := e.bounds.Load().StopGrace
	e.leaving.Store(true)
	e.loop.TryPost(e.state.tickNow)
	e.log.Info().Dur("grace", grace).Msg("instance is asked to stop")
	background := context.WithoutCancel(ctx)
	sleep(background, time.Duration(acceptPart*float64(grace)))
	drain, cancel := context.WithDeadline(background, asked.Add(grace-stopMargin))
	defer cancel()
	open := e.drain(drain, conns)
	e.log.Info().Int("cut", open).Dur("took", time.Since(asked)).Msg("callers are drained")
	return server.Close()
}

// drainPause is the time between two looks at the connections of a planned stop.
const drainPause = 50 * time.Millisecond

// drain takes no more connections and waits until ctx ends for the requests under
// way; it returns the connections that are still open then. The server's own
// Shutdown closes a connection as idle whose request it has just read.
func (e *Edge) drain(ctx context.Context, conns *callerConns) int {
	if err := conns.Close(); err != nil {
		e.log.Warn().Err(err).Str("address", conns.Addr().String()).Msg("callers' port was not closed")
	}
	sleep(ctx, drainPause) // connections that were accepted meanwhile are counted then
	for {
		open := conns.closeQuiet(time.Now())
		if open == 0 || ctx.Err() != nil {
			return open
		}
		sleep(ctx, drainPause)
	}
}
