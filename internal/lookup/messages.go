package lookup

import "lovagescale/internal/membership"

// Message types of the stream from an entry to a look-up process.
const (
	// TypeFollow asks an entry for the stream.
	TypeFollow = "lookup.follow"
	// TypeState carries a State.
	TypeState = "lookup.state"
)

// Follow asks for the stream of states.
type Follow struct {
	// HaveRevision is the configuration revision whose blocks the follower has.
	HaveRevision uint64 `msgpack:"r"`
}

// State is what an entry tells a look-up process: itself, the members that it
// knows and, when they changed, the client blocks of the zones.
type State struct {
	Revision uint64              `msgpack:"r"`
	Self     membership.Member   `msgpack:"s"`
	Members  []membership.Member `msgpack:"m"`
	Services []string            `msgpack:"v"`
	// Blocks maps zones to their client blocks. Nil means no change.
	Blocks map[string][]string `msgpack:"b"`
	// Regions maps zones to their regions.
	Regions map[string]string `msgpack:"g"`
}
