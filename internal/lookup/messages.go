package lookup

import "lovagescale/internal/membership"

// Message types of the stream from an entry instance to a lookup server.
const (
	// TypeFollow carries a FollowRequest, which opens the stream.
	TypeFollow = "lookup.follow"
	// TypeState carries a State.
	TypeState = "lookup.state"
	// TypeCatalogue carries a Catalogue.
	TypeCatalogue = "lookup.catalogue"
	// TypeBlocks carries a ZoneBlocks.
	TypeBlocks = "lookup.blocks"
)

// FollowRequest requests the stream of an entry instance's state.
type FollowRequest struct {
	// BlockDigests maps zones to the digests of the client blocks that the lookup server
	// already has.
	BlockDigests map[string]string `msgpack:"b"`
}

// State holds what an entry instance reports of itself and of the members that it knows. The
// first state of a stream holds all members, later ones only the changes.
type State struct {
	Revision uint64            `msgpack:"r"`
	Self     membership.Member `msgpack:"s"`
	// Full is true if Members replaces the members of earlier states.
	Full    bool                `msgpack:"w"`
	Members []membership.Member `msgpack:"m"`
	// Removed names the instances that are no longer members.
	Removed []string `msgpack:"g"`
}

// Catalogue holds the parts of a configuration revision that lookups need, except for the
// client blocks. It is sent when the revision changes.
type Catalogue struct {
	Revision uint64   `msgpack:"r"`
	Services []string `msgpack:"v"`
	// Regions maps every zone to its region.
	Regions map[string]string `msgpack:"g"`
}

// ZoneBlocks holds the client blocks of one zone. It is sent when they have changed.
type ZoneBlocks struct {
	Revision uint64 `msgpack:"r"`
	Zone     string `msgpack:"z"`
	Digest   string `msgpack:"d"`
	// Content holds the blocks in the encoding of configuration.DecodeBlocks.
	Content []byte `msgpack:"c"`
}
