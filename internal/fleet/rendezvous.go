package fleet

import (
	"cmp"
	"slices"

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
