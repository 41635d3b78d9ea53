package callerconn

import (
	"context"
	"net/http"
	"time"

	"lovagescale/internal/catalog"
)

// Timeouts of callers' connections if the operator sets none.
const (
	// defaultHeaderTimeout bounds the time between the first byte of a request and the
	// end of its headers.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is longer than callers keep idle connections, so that the caller
	// closes first.
	defaultIdleTimeout = 2 * time.Minute
)

// Timeouts are how long a connection without a request in flight may wait for the
// rest of a request's headers, or for the next request.
type Timeouts struct{ header, idle time.Duration }

// TimeoutsOf returns the operator's timeouts, or the default ones.
func TimeoutsOf(c *catalog.Catalog) Timeouts {
	timeouts := Timeouts{header: defaultHeaderTimeout, idle: defaultIdleTimeout}
	if c != nil && c.Limits.HeaderTimeout > 0 {
		timeouts.header = c.Limits.HeaderTimeout
	}
	if c != nil && c.Limits.IdleTimeout > 0 {
		timeouts.idle = c.Limits.IdleTimeout
	}
	return timeouts
}

// timeoutCheckInterval is the interval of the timeout checks of callers' connections.
const timeoutCheckInterval = 250 * time.Millisecond

// EnforceTimeouts expires connections that exceed their timeouts, until ctx ends. onExpired is called
// with their number. Timers of the HTTP server for each request would cost more.
func (c *Listener) EnforceTimeouts(ctx context.Context, timeouts func() Timeouts, onExpired func(count int)) {
	ticker := time.NewTicker(timeoutCheckInterval)
	defer ticker.Stop()
	lastCheckAt := time.Now()
	resumedAt := lastCheckAt
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(lastCheckAt) > 2*timeoutCheckInterval {
			resumedAt = now // bytes that arrived during the pause are not read yet
		}
		lastCheckAt = now
		if expired := c.ExpireTimedOut(now, resumedAt, timeouts()); expired > 0 {
			onExpired(expired)
		}
	}
}

// ExpireTimedOut stops reads from the connections that exceed the timeout for a request
// or for the rest of its headers, and returns their number. Time before resumedAt, which
// is the end of the process's last pause, does not count.
func (c *Listener) ExpireTimedOut(now, resumedAt time.Time, timeouts Timeouts) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	expired := 0
	for conn, state := range c.states {
		if state == http.StateActive || conn.expired.Load() || !conn.timedOut(now, resumedAt, timeouts) {
			continue
		}
		conn.expire()
		expired++
	}
	return expired
}

// timedOut reports whether the connection exceeds its timeout: the header timeout if the
// first byte of a request was read, otherwise the idle timeout.
func (c *Conn) timedOut(now, resumedAt time.Time, timeouts Timeouts) bool {
	since, limit := c.waitingSince, timeouts.idle
	if startedAt := c.requestStartedAt.Load(); startedAt != 0 {
		since, limit = time.Unix(0, startedAt), timeouts.header
	}
	if since.Before(resumedAt) {
		since = resumedAt
	}
	return now.Sub(since) > limit
}
