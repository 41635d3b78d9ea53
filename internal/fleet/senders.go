package fleet

import "time"

// Which instances may send requests to an endpoint that takes only some from all of them
// together: one that names a limit, or a cold one.

// LimitSharing is who may share the limits of endpoints at one time.
type LimitSharing struct {
	// all are the instances that accept callers and reach endpoints, or those that accept
	// callers if none reaches any; byRegion are the same by region.
	all      []Member
	byRegion map[string][]Member
	// known is the number of instances that may be running, by region.
	known map[string]int
}

// LimitSharing returns who may share the limits of endpoints now.
func (v *View) LimitSharing(now time.Time) *LimitSharing {
	sharing := &LimitSharing{byRegion: make(map[string][]Member), known: map[string]int{v.self.Member.Region: 1}}
	for _, status := range preferReaching(v.acceptingStatuses(now)) {
		sharing.all = append(sharing.all, status.Member)
		sharing.byRegion[status.Member.Region] = append(sharing.byRegion[status.Member.Region], status.Member)
	}
	for _, p := range v.peers {
		sharing.known[p.status.Member.Region]++
	}
	return sharing
}

// Senders returns the instances that share the limit of an endpoint in a region, at most n,
// and the number of shares. They are of that region, or of any if the region has none.
// Shares of instances that are only silent stay unused: they may be alive behind a
// partition.
func (l *LimitSharing) Senders(region, endpoint string, n int) (senders []Member, shares int) {
	members := l.byRegion[region]
	if len(members) == 0 {
		members = l.all
	}
	senders = Preferred(members, endpoint, n)
	return senders, max(len(senders), min(n, l.known[region]))
}

// Counts returns how many instances of a region may share limits now, and how many may be
// running.
func (l *LimitSharing) Counts(region string) (sharing, known int) {
	return len(l.byRegion[region]), l.known[region]
}

// ColdSenders returns the instances that share the rate of a cold endpoint in a region, at
// most n. They are of that region; silent ones count too.
func (v *View) ColdSenders(region, endpoint string, n int) []Member {
	var members []Member
	if v.self.Member.Region == region {
		members = append(members, v.self.Member)
	}
	for _, p := range v.peers {
		if p.status.Member.Region == region {
			members = append(members, p.status.Member)
		}
	}
	return Preferred(members, endpoint, n)
}
