package ownership

// MaxEndpoints bounds the endpoints of one statement.
const MaxEndpoints = 8192

// Statement says which endpoints an instance holds or claims. Endpoints that
// an earlier statement named and this one does not are released.
type Statement struct {
	Instance    string `msgpack:"i"`
	Incarnation string `msgpack:"n"`
	// Sequence grows with each statement of an incarnation.
	Sequence uint64 `msgpack:"s"`
	// Held are the endpoints that it uses, Claims those that it asks for.
	Held   []string `msgpack:"h"`
	Claims []string `msgpack:"c"`
}

// Answer grants claims of a statement, and names the endpoints of the statement
// that the answering instance holds itself.
type Answer struct {
	Instance    string   `msgpack:"i"`
	Incarnation string   `msgpack:"n"`
	Sequence    uint64   `msgpack:"s"`
	Granted     []string `msgpack:"g"`
	Held        []string `msgpack:"h"`
}

// Peer is another entry instance of the zone.
type Peer struct {
	Instance string
	// Incarnation is "" while the instance was listed but not heard of.
	Incarnation string
	Link        string
	// Live is true when the instance takes new work.
	Live bool
}

// Outgoing is a statement to send.
type Outgoing struct {
	To        Peer
	Statement Statement
}

// Proof is evidence that an incarnation has died.
type Proof int

// The proofs of death.
const (
	// Closed means that the process ended and its host closed its connections.
	Closed Proof = iota
	// Vanished means that its connections may still look open to upstreams.
	Vanished
	// Silent means that it is only not heard.
	Silent
)
