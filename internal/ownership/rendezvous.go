package ownership

import "github.com/cespare/xxhash/v2"

// keySeparator separates names that are joined into one key.
const keySeparator = "\x00"

// weight returns the weight of an instance for an endpoint in rendezvous hashing.
func weight(endpoint, instance string) uint64 {
	return xxhash.Sum64String(endpoint + keySeparator + instance)
}

// outranks reports whether instance a is preferred to instance b as the owner of the
// endpoint.
func outranks(endpoint, a, b string) bool {
	weightA, weightB := weight(endpoint, a), weight(endpoint, b)
	if weightA != weightB {
		return weightA > weightB
	}
	return a < b
}

// Preferred returns the instance that rendezvous hashing selects as the owner of the
// endpoint, or "" if there are no instances.
func Preferred(endpoint string, instances []string) string {
	best := ""
	for _, instance := range instances {
		if best == "" || outranks(endpoint, instance, best) {
			best = instance
		}
	}
	return best
}
