package fleet

import (
	"time"

	"lovagescale/internal/steering"
)

// Which instances may send requests to an endpoint that takes only some from all of them
// together: one that names a limit, or a cold one.

// sharerSilence is the time without a sign of life after which an instance no longer shares
// limits. It is longer than the time in which new delegates take the place of lost ones, during
// which each instance hears only of few others.
const sharerSilence = 6 * time.Second

// minHeardFraction is the fraction of a region's instances of which this one must have heard
// lately to take the silent ones for dead. Below it the reason is more likely lost reports.
const minHeardFraction = 1.0 / 3

// LimitSharing is who may share the limits of endpoints at one time.
type LimitSharing struct {
	// all are the instances that may share, byRegion the same by region: those that lookups
	// name, since the others have few callers.
	all      []Member
	byRegion map[string][]Member
	// known is the number of instances that lookups would name if all that may be running
	// accepted callers, by region.
	known map[string]int
}

// LimitSharing returns who may share the limits of endpoints now. Instances must agree on it as
// far as possible: one that takes itself for a sender beside the others' choice sends the
// endpoint requests beyond its limit.
func (v *View) LimitSharing(now time.Time) *LimitSharing {
	known, heard := make(map[string][]Status), make(map[string]int)
	v.eachStatus(now, func(status Status, silence time.Duration) {
		region := status.Member.Region
		known[region] = append(known[region], status)
		if silence <= SilentAfter {
			heard[region]++
		}
	})
	var candidates []Status
	v.eachStatus(now, func(status Status, silence time.Duration) {
		region := status.Member.Region
		dead := silence > sharerSilence && float64(heard[region]) >= minHeardFraction*float64(len(known[region]))
		if status.State != Leaving && !dead {
			candidates = append(candidates, status)
		}
	})
	return newLimitSharing(preferReaching(candidates), known)
}

// newLimitSharing returns the sharing among the candidates that lookups name. knownByRegion are all
// instances that may be running.
func newLimitSharing(candidates []Status, knownByRegion map[string][]Status) *LimitSharing {
	byRegion := make(map[string][]Status)
	for _, status := range candidates {
		byRegion[status.Member.Region] = append(byRegion[status.Member.Region], status)
	}
	l := &LimitSharing{all: membersOf(namedByLookups(candidates)), byRegion: make(map[string][]Member), known: make(map[string]int)}
	for region, statuses := range byRegion {
		l.byRegion[region] = membersOf(namedByLookups(statuses))
	}
	for region, statuses := range knownByRegion {
		l.known[region] = len(namedByLookups(statuses))
	}
	return l
}

// namedByLookups returns those of the instances that lookups name.
func namedByLookups(statuses []Status) []Status {
	return steering.Select(statuses, Status.instance)
}

func membersOf(statuses []Status) []Member {
	members := make([]Member, 0, len(statuses))
	for _, status := range statuses {
		members = append(members, status.Member)
	}
	return members
}

// eachStatus calls visit with the status of each instance that may be running and the time since
// its last sign of life.
func (v *View) eachStatus(now time.Time, visit func(status Status, silence time.Duration)) {
	visit(v.self, 0)
	for _, p := range v.peers {
		visit(p.status, now.Sub(later(p.lastSeenAt, p.firstSeenAt)))
	}
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

// Counts returns how many instances of a region may share limits now, and how many would if all
// that may be running accepted callers.
func (l *LimitSharing) Counts(region string) (candidates, known int) {
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
