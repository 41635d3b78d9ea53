package allowance

import "time"

// period is the number of requests admitted in a part of a window.
type period struct {
	number   uint64
	admitted int
	length   time.Duration
}

// minPeriod is the shortest period. It limits the number of periods in a window.
const minPeriod = 50 * time.Millisecond

// advanceWindow adds the elapsed time to the current period. When the period has reached
// minPeriod, it drops the periods that have left the window and reports that a new period
// is to begin. A period may be long after a pause of the whole process.
func (w *workspaceQuota) advanceWindow(elapsed, window time.Duration) bool {
	current := &w.periods[len(w.periods)-1]
	current.length += elapsed
	if current.length < minPeriod {
		return false
	}
	covered := time.Duration(0)
	for _, period := range w.periods {
		covered += period.length
	}
	for len(w.periods) > 1 && covered-w.periods[0].length >= window {
		covered -= w.periods[0].length
		w.admittedInWindow -= w.periods[0].admitted
		w.periods = w.periods[1:]
	}
	return true
}

// newPeriod returns a period with a number of its own. The caller must hold q.mu.
func (q *Quotas) newPeriod() period {
	q.lastPeriod++
	return period{number: q.lastPeriod}
}

// Return takes back up to n tokens of the period with the number, which no request has
// spent, and returns how many it took. It takes none if the period has left the window or
// is not one of these quotas. The caller must return a token at most once.
func (q *Quotas) Return(now time.Time, workspace string, number uint64, n int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	quota, found := q.workspaces[workspace]
	if !found {
		return 0
	}
	for i := range quota.periods {
		period := &quota.periods[i]
		if period.number != number {
			continue
		}
		n = max(min(n, period.admitted), 0)
		period.admitted -= n
		quota.admittedInWindow -= n
		quota.limiter.AllowN(now, -n) // the depth of the bucket still limits its tokens
		return n
	}
	return 0
}
