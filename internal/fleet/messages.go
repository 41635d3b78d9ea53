package fleet

import "lovagescale/internal/quarantine"

// Types of the messages between instances.
const (
	TypeHeartbeat = "fleet.heartbeat"
	TypePull      = "fleet.pull"
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

// Use is the requests that an instance has under way at an endpoint.
type Use struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Endpoint string
	InFlight int
}

// Demand is the arrival of requests at an instance, per second.
type Demand struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Rate     float64
}

// UpstreamDemand is the arrival of requests to an upstream, per second.
type UpstreamDemand struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Upstream string
	// Region is where the requests must run; empty is anywhere.
	Region string
	Rate   float64
}

// Heartbeat tells a peer that its sender lives and what it does.
type Heartbeat struct {
	Member Member `msgpack:"m"`
	State  State  `msgpack:"s"`
	// Revision is that of the sender's mirror.
	Revision uint64 `msgpack:"v"`
	// Uses are those at endpoints of the receiver's region.
	Uses []Use `msgpack:"u,omitempty"`
	// Upstreams and Workspaces are the demand by upstream and by workspace.
	Upstreams  []UpstreamDemand `msgpack:"d,omitempty"`
	Workspaces []Demand         `msgpack:"w,omitempty"`
	// Strikes are the requests that cost endpoints their connection.
	Strikes []quarantine.Strike `msgpack:"k,omitempty"`
}

// Acknowledgement answers a heartbeat.
type Acknowledgement struct {
	// Revision is that of the receiver's mirror.
	Revision uint64 `msgpack:"v"`
}

// Pull asks a peer for what its mirror has after a revision; the reply is a
// mirror.Delta.
type Pull struct {
	After uint64 `msgpack:"a"`
}
