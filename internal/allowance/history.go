package allowance

import "time"

// DemandHistory keeps snapshots of demand, either a holder's own or that reported by
// others, so that a holder can divide a quota by demand of the same time. If holders used
// their own present demand instead, all of them would take larger shares at once when a
// workspace's demand rises everywhere. It is not safe for concurrent use.
type DemandHistory struct{ snapshots []snapshot }

type snapshot struct {
	at     time.Time
	demand map[string]float64
}

// maxSnapshots is the number of snapshots that are kept.
const maxSnapshots = 64

// Add adds a snapshot of the present demand.
func (h *DemandHistory) Add(now time.Time, demand map[string]float64) {
	h.snapshots = append(h.snapshots, snapshot{now, demand})
	if len(h.snapshots) > maxSnapshots {
		h.snapshots = h.snapshots[1:]
	}
}

// AsOf returns the latest demand that is at least as old as age, or the oldest demand if
// none is.
func (h *DemandHistory) AsOf(now time.Time, age time.Duration) map[string]float64 {
	for i := len(h.snapshots) - 1; i > 0; i-- {
		if now.Sub(h.snapshots[i].at) >= age {
			return h.snapshots[i].demand
		}
	}
	if len(h.snapshots) > 0 {
		return h.snapshots[0].demand
	}
	return nil
}
