package callerconn

import (
	"cmp"
	"net/http"
	"slices"
	"time"
)

const (
	// roomFraction is the fraction of all connections that are closed together if they make no
	// progress, so that a flood of new ones does not search them all for each.
	roomFraction = 32
	// quietTime is how long a connection makes no progress before it may be closed together
	// with others, or while its response is being written.
	quietTime = time.Second
)

// candidate is a connection that may be closed in favor of a new one.
type candidate struct {
	conn *Conn
	// served is set if the connection has carried a request before.
	served bool
	// since is when it began to wait for a request or for the rest of its head.
	since time.Time
}

// MakeRoom closes connections in favor of new ones and reports whether any are being closed. Those that
// wait for a request or for the rest of one come first: those that never carried a request, and of
// these the ones that wait longest. Then comes the one that has taken nothing of its response for
// longest. A connection whose request is being handled stays.
func (c *Listener) MakeRoom(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var waiting []candidate
	closing := false
	for conn, state := range c.states {
		switch {
		case conn.expired.Load() || conn.disconnected.Load():
			closing = true
		case state != http.StateActive:
			waiting = append(waiting, candidate{conn, conn.served, conn.waitsSince()})
		}
	}
	if len(waiting) == 0 {
		return c.disconnectQuietest(now) || closing
	}
	slices.SortFunc(waiting, func(a, b candidate) int {
		if a.served != b.served {
			return cmp.Compare(boolRank(a.served), boolRank(b.served))
		}
		return a.since.Compare(b.since)
	})
	for n, w := range waiting {
		if n > 0 && (n >= len(c.states)/roomFraction || now.Sub(w.since) < quietTime) {
			break
		}
		w.conn.expire()
	}
	return true
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// waitsSince returns when the connection began to wait for a request, or the time of the first
// byte of a request whose head is not complete. Listener.mu must be held.
func (c *Conn) waitsSince() time.Time {
	if startedAt := c.requestStartedAt.Load(); startedAt != 0 {
		return time.Unix(0, startedAt)
	}
	return c.waitingSince
}

// disconnectQuietest disconnects the caller that has taken nothing of its response for longest, and
// reports whether one has taken nothing for quietTime. The caller must hold mu.
func (c *Listener) disconnectQuietest(now time.Time) bool {
	var quietest *Conn
	for conn, state := range c.states {
		if state != http.StateActive || conn.disconnected.Load() || !conn.sampleWrite(now) {
			continue
		}
		if quietest == nil || conn.progressAt.Before(quietest.progressAt) {
			quietest = conn
		}
	}
	if quietest == nil {
		return false
	}
	quietest.Disconnect()
	return true
}

// sampleWrite updates what the caller has taken of a response that is being written, and reports
// whether it has taken nothing for quietTime. Listener.mu must be held.
func (c *Conn) sampleWrite(now time.Time) bool {
	startedAt := c.writeStartedAt.Load()
	if startedAt == 0 || now.UnixNano()-startedAt < int64(quietTime) {
		return false
	}
	if taken := c.BytesRead(); c.progressAt.IsZero() || taken > c.taken {
		c.taken, c.progressAt = taken, now
	}
	return now.Sub(c.progressAt) >= quietTime
}

// Tracked returns the number of connections that the server has not closed. Of others that are open,
// the last response is still being delivered.
func (c *Listener) Tracked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.states)
}

// DisconnectLongest disconnects the caller whose request has been handled for longest, and reports
// whether there was one. It is for servers whose requests are short.
func (c *Listener) DisconnectLongest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var longest *Conn
	for conn, state := range c.states {
		if state == http.StateActive && !conn.disconnected.Load() && (longest == nil || conn.activeSince.Before(longest.activeSince)) {
			longest = conn
		}
	}
	if longest == nil {
		return false
	}
	longest.Disconnect()
	return true
}
