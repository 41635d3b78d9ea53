package ownership

// MaxEndpoints is the maximum number of endpoints in a statement. A statement with
// more is not processed.
const MaxEndpoints = 8192

// Statement lists the endpoints that an instance holds or claims. It releases the
// endpoints that an earlier statement named and this one omits.
type Statement struct {
	Instance    string `msgpack:"i"`
	Incarnation string `msgpack:"n"`
	// Sequence increases with each statement of an incarnation.
	Sequence uint64 `msgpack:"s"`
	// Held are the endpoints that the instance uses or yields, Claims those that it
	// claims.
	Held   []string `msgpack:"h"`
	Claims []string `msgpack:"c"`
}

// Reply is the reply to a statement. Granted are the claims that the replying instance
// grants, Held the endpoints of the statement that it may be using itself.
type Reply struct {
	Instance    string   `msgpack:"i"`
	Incarnation string   `msgpack:"n"`
	Sequence    uint64   `msgpack:"s"`
	Granted     []string `msgpack:"g"`
	Held        []string `msgpack:"h"`
}

// Sibling is an entry instance of the same availability zone.
type Sibling struct {
	Instance string
	// Incarnation is empty while the instance is only known from the platform's list.
	Incarnation string
	Link        string
	// Live is set if the instance accepts new work.
	Live bool
}

// Outgoing is a statement to send to a sibling.
type Outgoing struct {
	To        Sibling
	Statement Statement
}

// DeathEvidence is the reason for declaring an incarnation dead. It determines how
// long the endpoints that the incarnation may have used stay blocked.
type DeathEvidence int

// The kinds of evidence.
const (
	// ProcessEnded means that the process has ended and its host has closed its
	// connections.
	ProcessEnded DeathEvidence = iota
	// HostLost means that the platform no longer lists the silent instance. Its
	// connections may still look open to upstreams.
	HostLost
	// Unresponsive means that the instance is listed but silent. It may be running.
	Unresponsive
)
