package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"lovagescale/internal/callerconn"
	"lovagescale/internal/listener"
	"lovagescale/internal/pipeline"
)

// Times of a planned stop.
const (
	// acceptFraction is the fraction of StopGrace in which new requests are still
	// accepted, because callers cache the answers to lookups.
	acceptFraction = 0.5
	// stopMargin is the time between the end of the drain and the moment when the
	// platform kills the process.
	stopMargin = 300 * time.Millisecond
)

// serveCallers serves callers until ctx ends and then drains: the instance reports that
// it is not ready, still accepts requests of callers that have not noticed, closes idle
// connections, and finally waits for the requests in flight.
func (e *Edge) serveCallers(ctx context.Context, opened net.Listener) error {
	limited := listener.Limit(opened, e.intake.Listener("callers", listener.PartCallers))
	conns := callerconn.NewListener(e.pipelined(limited))
	conns.EnlargeWithin(e.intake.Buffers)
	limited.OnFull(func() bool {
		return conns.MakeRoom(time.Now()) || e.memory.StopQuietest() || conns.Tracked() < limited.Open()
	})
	server := &http.Server{
		Handler:        pipeline.Handler(e, e.mayBegin),
		ConnContext:    callerconn.ConnContext,
		ConnState:      conns.Track,
		MaxHeaderBytes: maxReadHeaderBytes,
	}
	timeoutCtx, stopTimeouts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTimeouts()
	go conns.EnforceTimeouts(timeoutCtx, func() callerconn.Timeouts { return callerconn.TimeoutsOf(e.catalog.Load()) }, e.recordTimedOut)
	go e.intake.Watch(timeoutCtx)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(conns) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	stopRequestedAt := time.Now()
	grace := e.bounds.Load().StopGrace
	stopsAt := stopRequestedAt.Add(grace - stopMargin)
	e.stopsAt.Store(&stopsAt)
	e.leaving.Store(true)
	e.loop.TryPost(e.state.tickNow)
	e.log.Info().Dur("grace", grace).Msg("instance is asked to stop")
	background := context.WithoutCancel(ctx)
	sleep(background, time.Duration(acceptFraction*float64(grace)))
	drainCtx, cancel := context.WithDeadline(background, stopsAt)
	defer cancel()
	open := e.drain(drainCtx, conns)
	e.log.Info().Int("cut", open).Dur("took", time.Since(stopRequestedAt)).Msg("callers are drained")
	return server.Close()
}

// recordTimedOut counts and logs connections that exceeded their timeouts.
func (e *Edge) recordTimedOut(count int) {
	e.counters.timedOutConns.Inc(int64(count))
	e.log.Info().Int("connections", count).Msg("callers' connections were quiet for too long")
}

// drainPollInterval is the interval of the checks of the connections during a drain.
const drainPollInterval = 50 * time.Millisecond

// drain stops accepting connections and waits until ctx ends for the requests in flight,
// also those of other instances. It returns the number of those that are not done. It does
// not use the server's own Shutdown, which closes a connection as idle even if its request
// was just read.
func (e *Edge) drain(ctx context.Context, conns *callerconn.Listener) int {
	if err := conns.Close(); err != nil {
		e.log.Warn().Err(err).Str("address", conns.Addr().String()).Msg("callers' port could not be closed; draining anyway")
	}
	sleep(ctx, drainPollInterval) // so that connections accepted just now are counted too
	for {
		open := conns.ExpireIdle(time.Now()) + int(e.handoversInFlight.Load())
		if open == 0 || ctx.Err() != nil {
			return open
		}
		sleep(ctx, drainPollInterval)
	}
}
