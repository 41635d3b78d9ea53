package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"lovagescale/internal/configuration"
	"lovagescale/internal/refusal"
)

// retryAfterIsolated is the Retry-After value of requests that are refused for isolation.
const retryAfterIsolated = 10 * time.Second

// isolation records when the active configuration was last in sync with the store. A
// workspace is isolated once this is longer ago than its isolation time.
type isolation struct {
	defaultLimit time.Duration
	syncedAt     atomic.Pointer[time.Time]
}

// SetSyncedAt sets the time at which the active configuration was last in sync with the
// store.
func (i *isolation) SetSyncedAt(at time.Time) { i.syncedAt.Store(&at) }

// Isolated reports whether the workspace's isolation time has passed since the active
// configuration was last in sync with the store.
func (g *Gateway) Isolated(c *configuration.Configuration, workspace string) bool {
	limit := c.Workspaces[workspace].Isolation
	if limit == 0 {
		limit = g.defaultLimit
	}
	syncedAt := g.syncedAt.Load()
	return limit > 0 && syncedAt != nil && g.now().Sub(*syncedAt) > limit
}

func isolatedRefusal(workspace string) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.Isolated, refusal.NotRun,
		fmt.Sprintf("this entry has been cut off from the configuration for longer than workspace %q permits", workspace)).
		WithRetryAfter(retryAfterIsolated)
}
