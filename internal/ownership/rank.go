package ownership

import "github.com/cespare/xxhash/v2"

// rankSeparator stands between the parts of a rank's input.
const rankSeparator = "\x00"

// rank is the weight of an instance for an endpoint in rendezvous hashing.
func rank(endpoint, instance string) uint64 {
	return xxhash.Sum64String(endpoint + rankSeparator + instance)
}

// outranks reports whether instance a comes before instance b for the endpoint.
func outranks(endpoint, a, b string) bool {
	weightA, weightB := rank(endpoint, a), rank(endpoint, b)
	if weightA != weightB {
		return weightA > weightB
	}
	return a < b
}

// Preferred returns the instance that rendezvous hashing picks for the
// endpoint, or "" when there are no instances.
func Preferred(endpoint string, instances []string) string {
	best := ""
	for _, instance := range instances {
		if best == "" || outranks(endpoint, instance, best) {
			best = instance
		}
	}
	return best
}
