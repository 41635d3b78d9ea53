package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Preferred returns the first n of the members in the order of rendezvous hashing for a
// key. If a member is lost or added, the order of the others does not change.
func Preferred(members []Member, key string, n int) []Member {
	var preferred []Member
	var scores []uint64
	for _, member := range members {
		score := xxhash.Sum64String(member.Instance + "\x00" + key)
		position, _ := slices.BinarySearchFunc(scores, score, func(a, b uint64) int { return cmp.Compare(b, a) })
		if position == n {
			continue
		}
		preferred = slices.Insert(preferred, position, member)
		scores = slices.Insert(scores, position, score)
		preferred, scores = preferred[:min(len(preferred), n)], scores[:min(len(scores), n)]
	}
	return preferred
}

// LimitSenders returns the instances that share the limit of an endpoint in a region, at
// most n, and the number of shares. They accept callers, reach endpoints if any does, and
// are of that region, or of any if the region has none. Shares of instances that are only
// silent stay unused: they may be alive behind a partition.
func (v *View) LimitSenders(now time.Time, region, endpoint string, n int) (senders []Member, shares int) {
	accepting := preferReaching(v.acceptingStatuses(now))
	var local, all []Member
	for _, status := range accepting {
		all = append(all, status.Member)
		if status.Member.Region == region {
			local = append(local, status.Member)
		}
	}
	if len(local) == 0 {
		local = all
	}
	senders = Preferred(local, endpoint, n)
	return senders, max(len(senders), min(n, v.RegionSize(region)))
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
