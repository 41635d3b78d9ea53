package fleet

import (
	"net/http"
	"time"

	"lovagescale/internal/refusal"
)

// TypeHandover is the type of Handover messages.
const TypeHandover = "fleet.handover"

// Handover asks another instance to run a caller's request, because the sender reaches no
// endpoint. The sender has checked the workspace key and taken a token of the quota. The
// receiver never hands the request over again.
type Handover struct {
	ID     string      `msgpack:"i,omitempty"`
	Method string      `msgpack:"m"`
	Host   string      `msgpack:"h"`
	Target string      `msgpack:"p"`
	Header http.Header `msgpack:"f,omitempty"`
	Body   []byte      `msgpack:"b,omitempty"`
	// Workspace is the name of the request's workspace, or "" if it needs no key.
	Workspace string `msgpack:"w,omitempty"`
	// ObjectName is the name of the object that the request concerns, or "".
	ObjectName string `msgpack:"o,omitempty"`
	// Version is that of the configuration that the sender applied.
	Version        uint64 `msgpack:"v"`
	TimeLeftMillis int64  `msgpack:"t"`
	// MaxAttempts is the number of endpoints to which the request may still be sent.
	MaxAttempts int `msgpack:"n"`
}

// HandoverReply is the reply to a Handover: the answer of an endpoint, a refusal, or the
// statement that the receiver did not take the request.
type HandoverReply struct {
	// NotTaken is set if the receiver cannot run the request. Another instance may.
	NotTaken bool             `msgpack:"n,omitempty"`
	Refused  *refusal.Refusal `msgpack:"r,omitempty"`
	Status   int              `msgpack:"s,omitempty"`
	Header   http.Header      `msgpack:"f,omitempty"`
	Body     []byte           `msgpack:"b,omitempty"`
}

// HandoverTargets returns the other instances that accept callers and reach endpoints:
// first those of this instance's zone, then those of its region, then all others.
func (v *View) HandoverTargets(now time.Time) [][]Member {
	targets := make([][]Member, 3)
	for _, p := range v.peers {
		if p.status.State != Ready || p.status.NoEndpoint || !p.isLive(now) || now.Before(p.suspectUntil) {
			continue
		}
		distance := 2
		switch member := p.status.Member; {
		case member.Zone == v.self.Member.Zone:
			distance = 0
		case member.Region == v.self.Member.Region:
			distance = 1
		}
		targets[distance] = append(targets[distance], p.status.Member)
	}
	return targets
}
