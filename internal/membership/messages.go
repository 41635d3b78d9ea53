package membership

import (
	"time"
)

// TypeExchange is the message type of requests and replies between cores.
const TypeExchange = "membership.exchange"

// Status is what siblings know of an incarnation's life.
type Status uint8

// The statuses, in the order in which they override each other at the same
// counter.
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

// Summary is one zone's records as its delegates see them.
type Summary struct {
	Zone    string   `msgpack:"z"`
	Version uint64   `msgpack:"v"`
	Records []Record `msgpack:"r"`
	// Base is the hash of the content that Records change and Hash that of the
	// outcome. Base 0 means that Records are the whole.
	Base uint32 `msgpack:"b,omitempty"`
	Hash uint32 `msgpack:"h,omitempty"`
}

// Digest names the version of a zone's summary.
type Digest struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Zone     string
	Version  uint64
	Hash     uint32
}

// Message is a request or a reply between two cores. Empty parts cost one byte.
type Message struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	// From is the sender's incarnation and Zone its zone, empty between
	// siblings.
	From string
	Zone string
	// Sequence rises with each message of the sender.
	Sequence uint64
	// Table and World are hashes of the sender's records of its own zone and of
	// the other zones.
	Table uint32
	World uint32
	// Records is the sender's table of its own zone.
	Records []Record
	// Digests are the versions of the zones; AllZones is set when none is left
	// out.
	Digests  []Digest
	AllZones bool
	// Summaries are zones of which the sender has a later version.
	Summaries []Summary
	// Want names zones of which the receiver has a later version.
	Want []string
	// Silent names the zones that the sender does not hear.
	Silent []string
}

// Outgoing is a request to send. Its reply is passed to Core.Answered.
type Outgoing struct {
	// Peer is the receiver's link address.
	Peer    string
	SentAt  time.Time
	Message Message
}
