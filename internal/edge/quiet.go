package edge

import (
	"context"
	"net/http"
	"time"

	"lovagescale/internal/catalog"
)

// Time limits on callers' connections while the operator sets none.
const (
	// defaultHeaderTimeout is how long the headers of a request may take.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTime is longer than callers keep connections, so that a caller is the
	// one to close.
	defaultIdleTime = 2 * time.Minute
)

// sweepInterval is the time between two looks at callers' connections.
const sweepInterval = 250 * time.Millisecond

// quietLimits are how long a connection without a request under way may be quiet.
type quietLimits struct{ header, idle time.Duration }

// quietLimitsOf returns the operator's limits, or the default ones.
func quietLimitsOf(c *catalog.Catalog) quietLimits {
	limits := quietLimits{header: defaultHeaderTimeout, idle: defaultIdleTime}
	if c != nil && c.Limits.HeaderTimeout > 0 {
		limits.header = c.Limits.HeaderTimeout
	}
	if c != nil && c.Limits.IdleTimeout > 0 {
		limits.idle = c.Limits.IdleTimeout
	}
	return limits
}

// sweepQuiet closes connections that stay quiet for too long, until ctx ends.
func (e *Edge) sweepQuiet(ctx context.Context, conns *callerConns) {
	last := time.Now()
	awake := last
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		now := time.Now()
		if now.Sub(last) > 2*sweepInterval {
			awake = now // what came during a pause is not read yet
		}
		last = now
		if closed := conns.closeSlow(now, awake, quietLimitsOf(e.catalog.Load())); closed > 0 {
			e.counters.quietClosed.Inc(int64(closed))
			e.log.Info().Int("connections", closed).Msg("callers' connections were quiet for too long")
		}
	}
}

// closeSlow ends the reading of connections that wait longer than the limits for a
// request or for the rest of its headers, and returns how many. Time before awake,
// the end of the process's last pause, does not count.
func (c *callerConns) closeSlow(now, awake time.Time, limits quietLimits) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for conn, state := range c.states {
		if state == http.StateActive || conn.expired || !conn.slow(now, awake, limits) {
			continue
		}
		conn.expire()
		closed++
	}
	return closed
}

// slow reports whether the connection has waited for longer than the limits. It waits
// for the headers' end since its first byte, and for a first byte before.
func (c *callerConn) slow(now, awake time.Time, limits quietLimits) bool {
	since, limit := c.waitsSince, limits.idle
	if first := c.firstAt.Load(); first != 0 {
		since, limit = time.Unix(0, first), limits.header
	}
	if since.Before(awake) {
		since = awake
	}
	return now.Sub(since) > limit
}
