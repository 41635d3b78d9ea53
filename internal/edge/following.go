package edge

import (
	"maps"
	"slices"
	"time"
)

// delegateFresh is how old the news of a delegate may be: longer than the longest time
// between two reports.
const delegateFresh = 2 * time.Second

// following decides whether this instance follows the store itself: the first
// delegate of a region does, and every instance that no delegate tells fresh news.
// The second delegate takes over as soon as the first one does not answer or has
// lost the store. It belongs to the control loop.
type following struct {
	// leads says that this instance is the first delegate of its region.
	leads bool
	// freshAt is when delegates last answered whose news of the store was fresh.
	freshAt map[string]time.Time
}

// heard learns how old the news of the store is that a delegate of the region has.
func (f *following) heard(now time.Time, delegate string, age time.Duration) {
	if age > storeFresh {
		delete(f.freshAt, delegate)
		return
	}
	if f.freshAt == nil {
		f.freshAt = make(map[string]time.Time)
	}
	f.freshAt[delegate] = now
}

// read learns that this instance read the store whole: that is fresh, and gives the
// delegates time to answer its first report.
func (f *following) read(now time.Time) { f.heard(now, ownReading, 0) }

// ownReading stands in for a delegate's name.
const ownReading = ""

// failed learns that a delegate does not answer.
func (f *following) failed(delegate string) { delete(f.freshAt, delegate) }

// restsUntil returns until when this instance leaves the store to its delegates; the
// zero time is not at all.
func (f *following) restsUntil() time.Time {
	if f.leads || len(f.freshAt) == 0 {
		return time.Time{}
	}
	last := slices.MaxFunc(slices.Collect(maps.Values(f.freshAt)), time.Time.Compare)
	return last.Add(delegateFresh)
}

// publishFollowing tells the goroutine that follows the store what was decided.
func (s *state) publishFollowing(now time.Time) {
	s.following.leads = s.fleet.IsFirstDelegate(now)
	until := int64(0)
	if at := s.following.restsUntil(); !at.IsZero() {
		until = at.UnixNano()
	}
	s.edge.restsUntil.Store(until)
}

// rests reports whether this instance leaves following the store to its delegates.
func (e *Edge) rests(now time.Time) bool { return now.UnixNano() < e.restsUntil.Load() }

// toldAge returns how old this instance's news of the store is, for its peers: a
// delegate that rests has its news from the one that follows.
func (s *state) toldAge(now time.Time) time.Duration {
	direct := s.edge.storeAge(now)
	if !s.edge.rests(now) || s.storeSeenAt.IsZero() {
		return direct
	}
	return min(direct, now.Sub(s.storeSeenAt))
}
