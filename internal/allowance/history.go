package allowance

import "time"

// History holds demand of the last periods, a holder's own or what it heard of others,
// so that it can divide a quota by demand of the same time. With its own demand of now,
// all holders would take more at once when a workspace's demand rises everywhere.
// It is not safe for concurrent use.
type History struct{ periods []snapshot }

type snapshot struct {
	at     time.Time
	demand map[string]float64
}

// historyLength bounds the snapshots that are kept.
const historyLength = 64

// Add notes the demand of now.
func (h *History) Add(now time.Time, demand map[string]float64) {
	h.periods = append(h.periods, snapshot{now, demand})
	if len(h.periods) > historyLength {
		h.periods = h.periods[1:]
	}
}

// Before returns the latest demand that is at least age old, or the oldest one.
func (h *History) Before(now time.Time, age time.Duration) map[string]float64 {
	for i := len(h.periods) - 1; i > 0; i-- {
		if now.Sub(h.periods[i].at) >= age {
			return h.periods[i].demand
		}
	}
	if len(h.periods) > 0 {
		return h.periods[0].demand
	}
	return nil
}
