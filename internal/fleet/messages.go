package fleet

import (
	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/quarantine"
)

// Types of the messages between instances.
const (
	TypeReport   = "fleet.report"
	TypeExchange = "fleet.exchange"
	TypePull     = "fleet.pull"
	TypeBorrow   = "fleet.borrow"
)

// State says whether callers are to be sent to an instance.
type State uint8

// The states of an instance.
const (
	// Starting instances have no configuration yet.
	Starting State = iota
	// Ready instances take callers.
	Ready
	// Leaving instances were asked to stop.
	Leaving
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	default:
		return "leaving"
	}
}

// Member is one run of an instance.
type Member struct {
	Instance string `msgpack:"i"`
	// Incarnation is the start of the run, in Unix milliseconds.
	Incarnation int64  `msgpack:"n"`
	Zone        string `msgpack:"z"`
	Region      string `msgpack:"r"`
	// Callers and Link are the addresses for callers and for other instances.
	Callers string `msgpack:"c"`
	Link    string `msgpack:"l"`
}

// Status is a member with its state.
type Status struct {
	Member Member `msgpack:"m"`
	State  State  `msgpack:"s"`
}

// EndpointKey stands for an endpoint in messages: a hash of its identifier, which is
// half as long as its text. Two endpoints of one key each seem to have the requests of
// both.
type EndpointKey uint32

// KeyOf returns the key of the endpoint with the identifier.
func KeyOf(endpoint string) EndpointKey { return EndpointKey(xxhash.Sum64String(endpoint)) }

// Use is the requests under way at an endpoint.
type Use struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Endpoint EndpointKey
	InFlight int
}

// UpstreamDemand is the arrival of requests to an upstream, per second.
type UpstreamDemand struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Upstream string
	// Region is where the requests must run; empty is anywhere.
	Region string
	Rate   float32
}

// Service is the answers of an upstream's endpoints to instances of their region,
// per second, and the time that they took together.
type Service struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Upstream string
	Answers  float32
	// Busy is in seconds per second.
	Busy float32
}

// Activity is what one or several instances do.
type Activity struct {
	Uses      []Use               `msgpack:"u,omitempty"`
	Upstreams []UpstreamDemand    `msgpack:"d,omitempty"`
	Services  []Service           `msgpack:"b,omitempty"`
	Strikes   []quarantine.Strike `msgpack:"k,omitempty"`
	// Demand is that of the workspaces; digests for members leave it out.
	Demand []Demand `msgpack:"w,omitempty"`
}

// Report tells a delegate of the region that its sender lives and what it does.
type Report struct {
	Status   Status   `msgpack:"s"`
	Activity Activity `msgpack:"a"`
	// Known are the hashes of the members that the sender knows, by region.
	Known map[string]uint64 `msgpack:"h,omitempty"`
	// Regions are those in which the sender uses endpoints, beside its own.
	Regions []string `msgpack:"u,omitempty"`
	// Brief asks for no digests: another delegate gives them.
	Brief bool `msgpack:"b,omitempty"`
}

// Digest is a region's members and what they do together.
type Digest struct {
	Region string `msgpack:"r"`
	// AgeMillis is how old the digest is at its sender.
	AgeMillis int64 `msgpack:"a"`
	// Hash is that of the members, which are left out where they are known.
	Hash    uint64   `msgpack:"h"`
	Members []Status `msgpack:"m,omitempty"`
	// OverdueMillis is how long ago members reported last that should have since.
	OverdueMillis map[string]int64 `msgpack:"l,omitempty"`
	Activity      Activity         `msgpack:"t"`
	// Stale says that the demand of a member is from before it fell silent.
	Stale bool `msgpack:"o,omitempty"`
}

// Reply answers a report with the digests of all regions and the totals, unless it
// was brief, and an exchange with digests.
type Reply struct {
	// Revision is that of the delegate's mirror.
	Revision uint64 `msgpack:"v"`
	// StoreAgeMillis is how long ago the store answered the delegate.
	StoreAgeMillis int64    `msgpack:"s"`
	Digests        []Digest `msgpack:"d"`
	Totals         *Totals  `msgpack:"t,omitempty"`
}

// Exchange carries a delegate's digest of its region to one of another region,
// which answers with a Reply that holds its own and those of other regions that the
// sender lacks.
type Exchange struct {
	Digest Digest            `msgpack:"d"`
	Known  map[string]uint64 `msgpack:"h,omitempty"`
	// AgeMillis is how old the demand is that the sender knows of the other regions.
	AgeMillis map[string]int64 `msgpack:"a,omitempty"`
}

// Borrow asks the holder of the zone's pool of a workspace for one request; without
// a workspace it asks for a sign of life.
type Borrow struct {
	Workspace string `msgpack:"w"`
	// Silent are the instances that were asked before and did not answer.
	Silent []string `msgpack:"s,omitempty"`
}

// Loan answers a Borrow.
type Loan struct {
	Granted bool `msgpack:"g"`
	// WaitMillis is when there may be something again, if it is not granted.
	WaitMillis int64 `msgpack:"t"`
}

// Pull asks a peer for what its mirror has after a revision; the reply is a
// mirror.Delta.
type Pull struct {
	After uint64 `msgpack:"a"`
}
