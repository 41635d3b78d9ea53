package edge

import (
	"maps"
	"slices"
	"time"
)

// delegateReplyLifetime is how long a delegate's reply counts as fresh. It is longer than
// the longest interval between two reports.
const delegateReplyLifetime = 2 * time.Second

// followerElection decides whether this instance follows the store itself. The first
// delegate of a region does, and so does every instance without a recent reply from a
// delegate that is up to date with the store. The second delegate takes over as soon as
// the first one does not reply or has lost the store. Only the control loop uses it.
type followerElection struct {
	// isFirstDelegate is set if this instance is the first delegate of its region.
	isFirstDelegate bool
	// freshAt is the time of the last reply of each delegate that was up to date with the
	// store then.
	freshAt map[string]time.Time
}

// recordDelegateReply records a reply of a delegate of the region. storeAge is the time
// since the store's last answer, as far as the delegate knows.
func (f *followerElection) recordDelegateReply(now time.Time, delegate string, storeAge time.Duration) {
	if storeAge > maxStoreAge {
		delete(f.freshAt, delegate)
		return
	}
	if f.freshAt == nil {
		f.freshAt = make(map[string]time.Time)
	}
	f.freshAt[delegate] = now
}

// recordOwnRead records that this instance read a snapshot of the store. It is up to date
// then, so the delegates get time to reply to its first report.
func (f *followerElection) recordOwnRead(now time.Time) { f.recordDelegateReply(now, ownReadKey, 0) }

// ownReadKey is the key of this instance's own read in freshAt.
const ownReadKey = ""

// removeDelegate forgets the last reply of a delegate that no longer replies.
func (f *followerElection) removeDelegate(delegate string) { delete(f.freshAt, delegate) }

// delegatesFreshUntil returns the time until which this instance relies on its delegates
// to follow the store, or the zero time if it follows the store itself.
func (f *followerElection) delegatesFreshUntil() time.Time {
	if f.isFirstDelegate || len(f.freshAt) == 0 {
		return time.Time{}
	}
	last := slices.MaxFunc(slices.Collect(maps.Values(f.freshAt)), time.Time.Compare)
	return last.Add(delegateReplyLifetime)
}

// publishFollowerElection publishes the decision for the goroutine that follows the
// store.
func (s *state) publishFollowerElection(now time.Time) {
	s.followerElection.isFirstDelegate = s.fleet.IsFirstDelegate(now)
	until := int64(0)
	if at := s.followerElection.delegatesFreshUntil(); !at.IsZero() {
		until = at.UnixNano()
	}
	s.edge.delegatesFreshUntil.Store(until)
}

// reliesOnDelegates reports whether this instance relies on its delegates to follow the
// store.
func (e *Edge) reliesOnDelegates(now time.Time) bool {
	return now.UnixNano() < e.delegatesFreshUntil.Load()
}

// storeAgeForPeers returns the time since the store's last answer, for replies to peers.
// If this instance relies on its delegates, that includes answers to other instances.
func (s *state) storeAgeForPeers(now time.Time) time.Duration {
	ownAge := s.edge.storeAge(now)
	if !s.edge.reliesOnDelegates(now) || s.latestStoreAnswerAt.IsZero() {
		return ownAge
	}
	return min(ownAge, now.Sub(s.latestStoreAnswerAt))
}
