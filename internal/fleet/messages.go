package fleet

import (
	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/mirror"
	"lovagescale/internal/namedlimit"
	"lovagescale/internal/quarantine"
	"lovagescale/internal/steering"
	"lovagescale/internal/store"
)

// Types of the messages between instances.
const (
	TypeReport     = "fleet.report"
	TypeExchange   = "fleet.exchange"
	TypePull       = "fleet.pull"
	TypeBorrow     = "fleet.borrow"
	TypeReturn     = "fleet.return"
	TypeStateQuery = "fleet.state_query"
)

// State says whether callers may be sent to an instance.
type State uint8

// The states of an instance.
const (
	// Starting instances have no configuration yet.
	Starting State = iota
	// Ready instances accept callers.
	Ready
	// Leaving instances are shutting down.
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

// Member is one run of an instance. It is stored in the store as JSON under the names of
// its fields.
type Member struct {
	Instance string `msgpack:"i"`
	// Incarnation is the start time of the run in Unix milliseconds.
	Incarnation int64  `msgpack:"n"`
	Zone        string `msgpack:"z"`
	Region      string `msgpack:"r"`
	// Callers is the address for callers, Link the address for other instances.
	Callers string `msgpack:"c"`
	Link    string `msgpack:"l"`
}

// Status is a member with its state.
type Status struct {
	Member Member `msgpack:"m"`
	State  State  `msgpack:"s"`
	// NoEndpoint is set if the member reaches no endpoint.
	NoEndpoint bool `msgpack:"e,omitempty"`
	// Capacity is what the member has for callers. It is nil for members that do not state
	// it.
	Capacity *steering.Capacity `msgpack:"c,omitempty"`
}

// instance returns what the choice for lookups depends on.
func (s Status) instance() steering.Instance {
	return steering.Instance{Zone: s.Member.Zone, Capacity: s.capacity()}
}

// capacity returns what the member has for callers, the zero value if it is unknown.
func (s Status) capacity() steering.Capacity {
	if s.Capacity == nil {
		return steering.Capacity{}
	}
	return *s.Capacity
}

// EndpointKey identifies an endpoint in messages. It is a hash of the endpoint's
// identifier and half as long as its text. If the keys of two endpoints collide, each of
// them appears to have the in-flight requests of both.
type EndpointKey uint32

// KeyOf returns the key of the endpoint with the identifier.
func KeyOf(endpoint string) EndpointKey { return EndpointKey(xxhash.Sum64String(endpoint)) }

// EndpointLoad is the number of in-flight requests at an endpoint.
type EndpointLoad struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Endpoint EndpointKey
	InFlight int
}

// MinReportedRate is the rate, in events per second, below which rates are not reported to
// other instances.
const MinReportedRate = 0.02

// UpstreamDemand is the arrival rate of requests to an upstream, in requests per second.
type UpstreamDemand struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Upstream string
	// Region is the region in which the requests must run, or empty if any will do.
	Region string
	Rate   float32
}

// UpstreamAnswers describes the answers that the endpoints of an upstream gave to
// instances of their own region.
type UpstreamAnswers struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Upstream string
	// Rate is in answers per second.
	Rate float32
	// Busy is the total time that the answers took, in seconds per second.
	Busy float32
}

// Activity is what one or several instances are doing.
type Activity struct {
	EndpointLoads   []EndpointLoad      `msgpack:"u,omitempty"`
	UpstreamDemand  []UpstreamDemand    `msgpack:"d,omitempty"`
	UpstreamAnswers []UpstreamAnswers   `msgpack:"b,omitempty"`
	Strikes         []quarantine.Strike `msgpack:"k,omitempty"`
	// WorkspaceDemand is the demand of workspaces. Digests for members omit it.
	WorkspaceDemand []WorkspaceDemand `msgpack:"w,omitempty"`
	// Leaving are the endpoints that stated in an answer that they are leaving.
	Leaving []LeavingEndpoint `msgpack:"l,omitempty"`
	// LimitNews is what is known of the limits that endpoints name in their answers. Limits are
	// those that stand, for builds that know no LimitNews.
	LimitNews []EndpointLimitNews `msgpack:"n,omitempty"`
	Limits    []EndpointLimit     `msgpack:"m,omitempty"`
	// RemoteAnswers are the answers of endpoints in other regions. Instances of earlier builds
	// omit them.
	RemoteAnswers []RemoteAnswers `msgpack:"r,omitempty"`
	// SlotDemand is the demand on slots. Its rows refer to WorkspaceDemand. Digests for members
	// omit it.
	SlotDemand []SlotDemand `msgpack:"o,omitempty"`
	// Objects are the estimated numbers of objects of upstreams.
	Objects []UpstreamObjects `msgpack:"j,omitempty"`
	// Speeds are the recent speeds of endpoints that are not as usual. Digests for members
	// omit those of regions that the member does not use.
	Speeds []EndpointSpeed `msgpack:"v,omitempty"`
}

// EndpointLimit is the limit that a run of an endpoint names for all instances together.
type EndpointLimit struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Endpoint string
	// StartMillis is the start of the run in Unix milliseconds.
	StartMillis int64
	// PerSecond is the limit in requests per second.
	PerSecond float32
}

// EndpointLimitNews is what is known of the limit that a run of an endpoint names.
type EndpointLimitNews struct {
	Endpoint string `msgpack:"e"`
	// StartMillis is the start of the run in Unix milliseconds.
	StartMillis int64 `msgpack:"s"`
	// PerSecond is the limit in requests per second.
	PerSecond float32 `msgpack:"r"`
	// Named and Ended are the stamps of the last statements that are known.
	Named namedlimit.Stamp `msgpack:"n,omitempty"`
	Ended namedlimit.Stamp `msgpack:"x,omitempty"`
}

// LeavingEndpoint is a run of an endpoint that is leaving.
type LeavingEndpoint struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Endpoint string
	// StartMillis is the start of the run in Unix milliseconds.
	StartMillis int64
}

// Report tells a delegate of the region that its sender is alive, and the sender's
// activity.
type Report struct {
	Status   Status   `msgpack:"s"`
	Activity Activity `msgpack:"a"`
	// MemberHashes are the hashes of the members that the sender knows, by region.
	MemberHashes map[string]uint64 `msgpack:"h,omitempty"`
	// UsedRegions are the other regions in which the sender uses endpoints.
	UsedRegions []string `msgpack:"u,omitempty"`
	// OmitDigests asks for a reply without digests and totals, because another delegate
	// sends them.
	OmitDigests bool `msgpack:"b,omitempty"`
	// Packing is how the sender accepts the reply.
	Packing Packing `msgpack:"p"`
	// Packed holds the activity in place of Activity, see View.PackReport.
	Packed []byte `msgpack:"k,omitempty"`
}

// Digest lists the members of a region and their combined activity.
type Digest struct {
	Region string `msgpack:"r"`
	// AgeMillis is the age of the digest when it is sent.
	AgeMillis int64 `msgpack:"a"`
	// MembersHash is the hash of the members. Members is empty if the receiver has those
	// of this hash.
	MembersHash uint64   `msgpack:"h"`
	Members     []Status `msgpack:"m,omitempty"`
	// OverdueMillis is the time since the last report, by instance, for members whose
	// next report is overdue.
	OverdueMillis map[string]int64 `msgpack:"l,omitempty"`
	Activity      Activity         `msgpack:"t"`
	// DemandStale is set if the demand of a member was reported before the member became
	// silent.
	DemandStale bool `msgpack:"o,omitempty"`
}

// Reply is the reply to a Report and to an Exchange. To a Report it holds the digests of
// all regions and the totals, unless the report asks to omit them; to an Exchange it
// holds the digests that the sender lacks.
type Reply struct {
	// Era and Revision are the position of the replying instance's mirror of the store.
	Era      uint64 `msgpack:"e,omitempty"`
	Revision uint64 `msgpack:"v"`
	// StoreAgeMillis is the time since the store last answered, as far as the replying
	// instance knows.
	StoreAgeMillis int64    `msgpack:"s"`
	Digests        []Digest `msgpack:"d"`
	Totals         *Totals  `msgpack:"t,omitempty"`
	// Packed holds the digests and totals in place of Digests and Totals, see
	// View.PackReply.
	Packed []byte `msgpack:"k,omitempty"`
	// Packing is how the replying instance accepts further messages.
	Packing Packing `msgpack:"p"`
}

// Exchange carries the digest of a delegate's region to a delegate of another region. The
// reply holds the digest of that region and those of further regions that the sender
// lacks.
type Exchange struct {
	Digest       Digest            `msgpack:"d"`
	MemberHashes map[string]uint64 `msgpack:"h,omitempty"`
	// DemandAgeMillis is the age of the demand that the sender has of each other region.
	DemandAgeMillis map[string]int64 `msgpack:"a,omitempty"`
	// Packed holds the digest in place of Digest, see View.PackExchange.
	Packed []byte `msgpack:"k,omitempty"`
	// Packing is how the sender accepts the reply.
	Packing Packing `msgpack:"p"`
}

// Borrow asks the holder of a workspace's quota pool in a zone to admit requests. Without a
// workspace it only checks that the holder replies.
type Borrow struct {
	Workspace string `msgpack:"w"`
	// Count is the number of tokens asked for; 0 stands for 1.
	Count int `msgpack:"n,omitempty"`
	// Unresponsive are the instances that were asked before and did not reply.
	Unresponsive []string `msgpack:"s,omitempty"`
}

// BorrowReply is the reply to a Borrow.
type BorrowReply struct {
	Granted bool `msgpack:"g"`
	// Count is the number of tokens lent. It is 0 in replies of builds that lend one at a
	// time.
	Count int `msgpack:"c,omitempty"`
	// RetryAfterMillis is the time after which a request that was not granted may be
	// admitted.
	RetryAfterMillis int64 `msgpack:"t"`
	// Token identifies the tokens that were lent. It is empty in replies of builds that do
	// not take tokens back.
	Token Token `msgpack:"k,omitempty"`
}

// Token identifies the tokens that an instance lent in one period.
type Token struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	// Incarnation is the lender's run.
	Incarnation int64
	// Period is the period of the lender's quotas in which it was lent, or 0 for a token
	// that cannot be returned.
	Period uint64
	// Fallback is set if it was lent from the lender's fallback share.
	Fallback bool
}

// Return gives back tokens that no request has spent. It is sent at most once: a token that
// is returned twice would let the workspace exceed its quota.
type Return struct {
	Workspace string `msgpack:"w"`
	Token     Token  `msgpack:"k"`
	// Count is the number of tokens.
	Count int `msgpack:"n"`
}

// ReturnReply is the reply to a Return.
type ReturnReply struct {
	// Credited is the number of tokens taken back: none if their period has left the window
	// or was that of another run.
	Credited int `msgpack:"c"`
}

// Position returns the position of the replying instance's mirror of the store.
func (r *Reply) Position() store.Position {
	return store.Position{Era: r.Era, Revision: r.Revision}
}

// Pull asks another instance for the changes in its mirror of the store after a position.
// The reply is a PullReply.
type Pull struct {
	Era   uint64 `msgpack:"e,omitempty"`
	After uint64 `msgpack:"a"`
	// AcceptsPacked asks for a packed reply.
	AcceptsPacked bool `msgpack:"p,omitempty"`
}

// PullReply is the reply to a Pull: the delta, or the packed one in its place.
type PullReply struct {
	mirror.Delta
	Packed []byte `msgpack:"k,omitempty"`
}

// StateQuery asks another instance what it knows beyond a copy from which the store came back.
// Endpoints are those of the copy.
type StateQuery struct {
	Endpoints []EndpointRecord `msgpack:"u,omitempty"`
}

// EndpointRecord identifies a record that an endpoint wrote of itself.
type EndpointRecord struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Endpoint string
	// StartMillis is the start of the endpoint's lifetime in Unix milliseconds.
	StartMillis int64
	// Sequence increases with each record of one lifetime.
	Sequence uint64
}

// StateReply is the reply to a StateQuery.
type StateReply struct {
	// Configuration is the entry of the configuration in force; it has no key if there is
	// none.
	Configuration store.Entry `msgpack:"c"`
	// EvacuatedZones are the zones that get no requests.
	EvacuatedZones []string `msgpack:"z,omitempty"`
	// Departed are the last records of those endpoints that are draining or gone.
	Departed []EndpointRecord `msgpack:"d,omitempty"`
}
