package lookup

import "lovagescale/internal/membership"

// Message types of the stream from an entry to a look-up process.
const (
	// TypeFollow asks an entry for the stream.
	TypeFollow = "lookup.follow"
	// TypeState carries a State.
	TypeState = "lookup.state"
	// TypeCatalogue carries a Catalogue.
	TypeCatalogue = "lookup.catalogue"
	// TypeBlocks carries a ZoneBlocks.
	TypeBlocks = "lookup.blocks"
)

// Follow asks for the stream of an entry's state.
type Follow struct {
	// HaveBlocks maps zones to the digest of the client blocks that the
	// follower has.
	HaveBlocks map[string]string `msgpack:"b"`
}

// State is what an entry says of itself and the members that it knows. The
// first state of a stream gives all members, later ones what changed.
type State struct {
	Revision uint64            `msgpack:"r"`
	Self     membership.Member `msgpack:"s"`
	// Whole is true when Members replaces what earlier states gave.
	Whole   bool                `msgpack:"w"`
	Members []membership.Member `msgpack:"m"`
	// Gone names instances that are no members any more.
	Gone []string `msgpack:"g"`
}

// Catalogue is what look-ups need of a configuration revision besides client
// blocks. It is sent when the revision changes.
type Catalogue struct {
	Revision uint64   `msgpack:"r"`
	Services []string `msgpack:"v"`
	// Regions maps every zone to its region.
	Regions map[string]string `msgpack:"g"`
}

// ZoneBlocks is the client blocks of one zone. It is sent when they changed.
type ZoneBlocks struct {
	Revision uint64 `msgpack:"r"`
	Zone     string `msgpack:"z"`
	Digest   string `msgpack:"d"`
	// Content is decoded by configuration.DecodeBlocks.
	Content []byte `msgpack:"c"`
}
