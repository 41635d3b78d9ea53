package membership

import (
	"time"
)

// TypeExchange is the link message type of requests and replies between cores.
const TypeExchange = "membership.exchange"

// Status says whether an incarnation is considered alive.
type Status uint8

// The statuses in ascending precedence: at the same counter the higher status
// overrides the lower one.
const (
	Alive Status = iota
	Suspect
	Dead
)

// Record is a member with its status.
type Record struct {
	Member Member `msgpack:"m"`
	Status Status `msgpack:"t,omitempty"`
}

// Summary holds a zone's records as its delegates publish them, or a delta
// between two states of them.
type Summary struct {
	Zone    string   `msgpack:"z"`
	Version uint64   `msgpack:"v"`
	Records []Record `msgpack:"r"`
	// BaseHash is the hash of the content to which a delta applies, and Hash that of
	// the resulting content. If BaseHash is 0, Records are the complete records of
	// the zone and not a delta.
	BaseHash uint32 `msgpack:"b,omitempty"`
	Hash     uint32 `msgpack:"h,omitempty"`
}

// Digest identifies the version and the content of a zone's summary.
type Digest struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Zone     string
	Version  uint64
	Hash     uint32
}

// Message is a request or a reply between two cores. It is encoded as an array, so
// an empty field takes one byte.
type Message struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	// From is the sender's incarnation. Zone is the sender's zone in a gossip
	// message and empty in a heartbeat.
	From string
	Zone string
	// Sequence increases with each message of the sender.
	Sequence uint64
	// TableHash and OtherZonesHash are hashes of the sender's table of its own zone
	// and of its state of the other zones. Heartbeats carry them.
	TableHash      uint32
	OtherZonesHash uint32
	// Records is the sender's table of its own zone.
	Records []Record
	// Digests are digests of zone summaries. AllZones is set in a comparison of all
	// zones: the reply then includes the summaries of zones that Digests omits.
	Digests  []Digest
	AllZones bool
	// Summaries holds summaries or deltas that are later than what the receiver has.
	// A death notice is a summary with only the disputed record.
	Summaries []Summary
	// WantedZones names the zones of which the receiver of a reply has a later
	// summary, which it then sends.
	WantedZones []string
	// SilentZones names the zones that the sender of a reply considers silent.
	SilentZones []string
}

// Outgoing is a request to send. The caller passes its reply to Core.HandleReply.
type Outgoing struct {
	// Peer is the receiver's link address.
	Peer    string
	SentAt  time.Time
	Message Message
}
