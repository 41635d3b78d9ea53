// Package fleet tracks the other instances: which ones are registered in the store, which
// ones were heard from lately, and their activity.
//
// The registration gives an instance's identity and addresses, its reports show that it
// is alive. Each instance reports to the delegates of its region, which are the first
// instances by name that reply. A delegate aggregates the activity of its region in a
// digest, exchanges digests with the delegates of the other regions and replies to reports
// with the digests of all regions. The traffic therefore grows with the number of
// instances and the number of regions, but not with the product of the two.
//
// Failure modes: a delegate that does not reply is skipped for SuspectFor, longer each
// time it fails again, and the next instance by name takes over. An instance that reaches
// no other one of its region is its own delegate. Callers are not sent to an instance
// that has been silent for SilentAfter. Its demand counts until the instance is
// forgotten, so that no share of a quota is given out twice in a partition. An instance
// that is neither registered nor heard from for ForgottenAfter is forgotten.
package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Failure detection times.
const (
	// SilentAfter is the time without a sign of life after which an instance counts as
	// silent and gets no more callers.
	SilentAfter = 2500 * time.Millisecond
	// ForgottenAfter is the time without a sign of life after which an instance that is
	// not registered is forgotten.
	ForgottenAfter = 10 * time.Second
	// SuspectFor is how long an instance is skipped after its first failure to reply.
	// Each further failure in a row adds as much, up to maxSuspect.
	SuspectFor = 2 * time.Second
	maxSuspect = 6 * time.Second
)

const delegatesPerRegion = 2

// peer is what is known of another instance.
type peer struct {
	status      Status
	registered  bool
	firstSeenAt time.Time
	// lastSeenAt is the time of the last sign of life, which is a report or a digest that
	// includes the instance.
	lastSeenAt time.Time
	// reportedAt is the time of the last report to this instance.
	reportedAt   time.Time
	activity     Activity
	suspectUntil time.Time
	// consecutiveFailures counts how often the instance became suspect since its last
	// reply or report; failingSince is the time of the first failure.
	consecutiveFailures int
	failingSince        time.Time
	// packing is how the instance accepts exchanges, according to its last reply to one.
	// membersHash is the hash of this region's members in that exchange.
	packing     Packing
	membersHash uint64
	// acceptsPackedReports is set if it stated so in its last reply to a report.
	acceptsPackedReports bool
}

func (p *peer) isLive(now time.Time) bool {
	return !p.lastSeenAt.IsZero() && now.Sub(p.lastSeenAt) <= SilentAfter
}

func (p *peer) reportedWithin(now time.Time, within time.Duration) bool {
	return !p.reportedAt.IsZero() && now.Sub(p.reportedAt) <= within
}

// demandStale reports whether the demand of the instance is out of date because a report
// is missing. An instance that is leaving sends no further demand.
func (p *peer) demandStale(now time.Time) bool {
	return !p.reportedWithin(now, SilentAfter) && now.Sub(p.firstSeenAt) > SilentAfter && p.status.State != Leaving
}

// View is the fleet as one of its instances sees it. It is not safe for concurrent use.
type View struct {
	self Status
	// acknowledged is set once other instances may know of this one.
	acknowledged bool
	peers        map[string]*peer
	// digests are the last digests by region. That of this instance's own region comes
	// from a delegate.
	digests map[string]*receivedDigest
	// regionDemands is the demand on the other regions as sent by their delegates.
	regionDemands map[string]regionDemand
	// delegateDemand is the demand on all other instances according to the totals of a
	// delegate of this region; nil before the first totals.
	delegateDemand *peerDemand
	// delegateSlots is the demand on slots of all other instances according to the totals of a
	// delegate; nil before the first ones.
	delegateSlots *peerSlots
	// slotCache is the last sum that a delegate made.
	slotCache  *peerSlots
	slotTotals *slotTotals
	// endpointLists are the lists of endpoints that this instance knew lately, the present
	// one first.
	endpointLists []endpointList
	// localEndpoints are the endpoints of this region.
	localEndpoints map[EndpointKey]struct{}
}

// New returns a view that contains only its own instance.
func New(self Member) *View {
	return &View{self: Status{Member: self}, peers: make(map[string]*peer), digests: make(map[string]*receivedDigest),
		regionDemands: make(map[string]regionDemand)}
}

// Self returns this instance's own record.
func (v *View) Self() Member { return v.self.Member }

// SetState changes this instance's own state.
func (v *View) SetState(state State) { v.self.State = state }

// SetNoEndpoint sets whether this instance reaches no endpoint.
func (v *View) SetNoEndpoint(unreachable bool) { v.self.NoEndpoint = unreachable }

// Status returns this instance's own status.
func (v *View) Status() Status { return v.self }

// State returns this instance's own state.
func (v *View) State() State { return v.self.State }

// Acknowledged reports whether other instances may know of this run of the instance: its
// registration is in the store, or one of them replied to a message.
func (v *View) Acknowledged() bool { return v.acknowledged }

// ApplyRegistration adds an instance that is registered in the store.
func (v *View) ApplyRegistration(now time.Time, member Member) {
	v.acknowledged = v.acknowledged || member == v.self.Member
	if p := v.upsertPeer(now, Status{Member: member}); p != nil {
		p.registered = true
	}
}

// RemoveRegistration records that the instance is not registered any more.
func (v *View) RemoveRegistration(instance string) {
	if p, found := v.peers[instance]; found {
		p.registered = false
	}
}

// upsertPeer returns the peer of the given status. It adds the peer if it is unknown and
// resets it if the status is of a later run. It returns nil for this instance itself and
// for an earlier run.
func (v *View) upsertPeer(now time.Time, status Status) *peer {
	member := status.Member
	if member.Instance == v.self.Member.Instance {
		return nil
	}
	p, found := v.peers[member.Instance]
	switch {
	case !found:
		p = &peer{status: status, firstSeenAt: now}
		v.peers[member.Instance] = p
	case member.Incarnation > p.status.Member.Incarnation:
		// Its callers reconnect to it, so its previous demand counts until it reports.
		previous := Activity{WorkspaceDemand: p.activity.WorkspaceDemand}
		*p = peer{status: status, firstSeenAt: now, registered: p.registered, activity: previous}
	case member.Incarnation < p.status.Member.Incarnation:
		return nil
	}
	return p
}

// ApplyReport stores a report. It returns false if the report is of an earlier run.
func (v *View) ApplyReport(now time.Time, report Report) bool {
	p := v.upsertPeer(now, report.Status)
	if p == nil {
		return false
	}
	p.lastSeenAt = now
	p.reportedAt = now
	p.consecutiveFailures = 0
	p.status = report.Status
	p.activity = report.Activity
	return true
}

// RecordFailure records that an instance did not reply and makes it suspect, unless it is
// already.
func (v *View) RecordFailure(now time.Time, instance string) {
	p, found := v.peers[instance]
	if !found || now.Before(p.suspectUntil) {
		return
	}
	if p.consecutiveFailures == 0 {
		p.failingSince = now
	}
	p.consecutiveFailures++
	p.suspectUntil = now.Add(min(time.Duration(p.consecutiveFailures)*SuspectFor, maxSuspect))
}

// RecordReply records that an instance replied.
func (v *View) RecordReply(instance string) {
	v.acknowledged = true
	if p, found := v.peers[instance]; found {
		p.consecutiveFailures = 0
	}
}

// Expire forgets instances that are neither registered nor were heard from lately.
func (v *View) Expire(now time.Time) {
	for name, p := range v.peers {
		lastSeen := p.lastSeenAt
		if lastSeen.IsZero() {
			lastSeen = p.firstSeenAt
		}
		if !p.registered && now.Sub(lastSeen) > ForgottenAfter {
			delete(v.peers, name)
		}
	}
}

// Delegates returns the delegates of a region, which may include this instance.
func (v *View) Delegates(now time.Time, region string) []Member {
	candidates := v.available(now, func(m Member) bool { return m.Region == region })
	return candidates[:min(len(candidates), delegatesPerRegion)]
}

// available returns the members that match, are not leaving and are not suspect, ordered
// by name.
func (v *View) available(now time.Time, matches func(Member) bool) []Member {
	var members []Member
	if matches(v.self.Member) && v.self.State != Leaving {
		members = append(members, v.self.Member)
	}
	for _, p := range v.peers {
		if matches(p.status.Member) && p.status.State != Leaving && !now.Before(p.suspectUntil) {
			members = append(members, p.status.Member)
		}
	}
	sortMembers(members)
	return members
}

// isolated reports whether other instances are known but none of them was heard from
// lately.
func (v *View) isolated(now time.Time) bool {
	for _, p := range v.peers {
		if p.isLive(now) {
			return false
		}
	}
	return len(v.peers) > 0
}

// IsDelegate reports whether this instance is a delegate of its region.
func (v *View) IsDelegate(now time.Time) bool {
	return slices.Contains(v.Delegates(now, v.self.Member.Region), v.self.Member)
}

// IsFirstDelegate reports whether this instance is the first delegate of its region.
func (v *View) IsFirstDelegate(now time.Time) bool {
	delegates := v.Delegates(now, v.self.Member.Region)
	return len(delegates) > 0 && delegates[0] == v.self.Member
}

// Peers returns the other instances, ordered by name.
func (v *View) Peers() []Member {
	var members []Member
	for _, p := range v.peers {
		members = append(members, p.status.Member)
	}
	sortMembers(members)
	return members
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
}

// Size returns the number of instances that may be running: this one and those that are
// registered or were heard from lately.
func (v *View) Size() int { return len(v.peers) + 1 }

// RegionSize returns the number of instances of the region that may be running, this one
// included.
func (v *View) RegionSize(region string) int {
	return v.countMembers(func(m Member) bool { return m.Region == region })
}

// ZoneSize returns the number of instances of this instance's zone that may be running,
// this one included.
func (v *View) ZoneSize() int {
	return v.countMembers(func(m Member) bool { return m.Zone == v.self.Member.Zone })
}

func (v *View) countMembers(matches func(Member) bool) int {
	n := 0
	if matches(v.self.Member) {
		n++
	}
	for _, p := range v.peers {
		if matches(p.status.Member) {
			n++
		}
	}
	return n
}
