package edge

import (
	"context"
	"time"

	"lovagescale/internal/callerconn"
)

// timeoutCheckInterval is the interval of the timeout checks of callers' connections.
const timeoutCheckInterval = 250 * time.Millisecond

// enforceConnTimeouts closes connections that exceed their timeouts, until ctx ends.
func (e *Edge) enforceConnTimeouts(ctx context.Context, conns *callerconn.Listener) {
	lastCheckAt := time.Now()
	resumedAt := lastCheckAt
	for ctx.Err() == nil {
		sleep(ctx, timeoutCheckInterval)
		now := time.Now()
		if now.Sub(lastCheckAt) > 2*timeoutCheckInterval {
			resumedAt = now // bytes that arrived during the pause are not read yet
		}
		lastCheckAt = now
		if expired := conns.ExpireTimedOut(now, resumedAt, callerconn.TimeoutsOf(e.catalog.Load())); expired > 0 {
			e.counters.timedOutConns.Inc(int64(expired))
			e.log.Info().Int("connections", expired).Msg("callers' connections were quiet for too long")
		}
	}
}
