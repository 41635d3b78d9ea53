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
	server := &http.Server{
		Handler:           e,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTime,
		MaxHeaderBytes:    hardHeaderBytes,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
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
	err := server.Shutdown(drain)
	e.log.Info().Err(err).Dur("took", time.Since(asked)).Msg("callers are drained")
	return nil
}
