// Package handover passes a call from one entry to another over a link.
//
// An entry whose own endpoints have no free slot asks siblings that own endpoints
// of the service, then other zones of its region, then other regions. Siblings are
// the other entries of its zone. It asks at most two entries at each of these
// distances. A call that was handed over once goes only to a sibling of the
// receiver, and after MaxHops it is not handed over any more. A call is handed over
// only after a refusal that certainly has the outcome "not-run"; a lookup is also
// handed over after an entry did not answer. Calls from other regions count against
// the region's quotas, see package shift. An entry that refused or did not answer is
// not asked again for a short time, so that a shortage everywhere causes few
// messages.
//
// The receiving entry serves the call or refuses it at once, and the sender
// returns its refusal unchanged. The call carries the name of its workspace, never
// a workspace key. The deadline is sent as the time left. When a receiver cannot be
// reached, the outcome is "not-run" only if the request was certainly not sent;
// otherwise it is "unknown".
package handover

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/call"
	"lovagescale/internal/link"
	"lovagescale/internal/refusal"
	"lovagescale/internal/wire"
)

// MaxHops is the maximum number of times that a call is handed over. The forward of an
// action to its owner counts too.
const MaxHops = 2

// TypeCall is the message type of a call that is handed over.
const TypeCall = "handover.call"

// retryAfter is the Retry-After value of the refusals of this package.
const retryAfter = time.Second

// message is a call that is handed over.
type message struct {
	Call           *call.Call `msgpack:"c"`
	TimeLeftMillis int64      `msgpack:"t"`
	// Zone is the sender's availability zone.
	Zone string `msgpack:"z"`
}

// reply is what the receiver returns: a result or a refusal.
type reply struct {
	Result  *call.Result     `msgpack:"r"`
	Refused *refusal.Refusal `msgpack:"f"`
}

// Send hands the call over to the entry with the link address peer. Zone is that of
// the sender. Its error is a *refusal.Refusal.
func Send(ctx context.Context, peers *link.Peers, peer, zone string, c *call.Call) (*call.Result, error) {
	if c.Hops >= MaxHops {
		return nil, refuseTooManyHops(c)
	}
	outgoing := *c
	outgoing.Hops++
	request := message{Call: &outgoing, TimeLeftMillis: time.Until(c.Deadline).Milliseconds(), Zone: zone}
	var received reply
	if err := peers.Client(peer).Call(ctx, TypeCall, request, &received); err != nil {
		return nil, refusePeerFailed(peer, err)
	}
	if received.Refused != nil {
		return nil, received.Refused
	}
	if received.Result == nil {
		return nil, refusal.New(http.StatusBadGateway, refusal.PeerFailed, refusal.Unknown,
			fmt.Sprintf("entry %q gave no result", peer))
	}
	return received.Result, nil
}

func refuseTooManyHops(c *call.Call) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun,
		fmt.Sprintf("request was handed over %d times", c.Hops)).WithRetryAfter(retryAfter)
}

// refusePeerFailed returns the refusal of a call whose receiver did not answer. It
// is "not-run" only if the call was not sent.
func refusePeerFailed(peer string, err error) *refusal.Refusal {
	outcome := refusal.Unknown
	var unreachable *link.UnreachableError
	var busy *link.BusyError
	if errors.As(err, &busy) || (errors.As(err, &unreachable) && !unreachable.Sent) {
		outcome = refusal.NotRun
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.PeerFailed, outcome,
		fmt.Sprintf("entry %q did not answer", peer)).WithRetryAfter(retryAfter)
}

// Handler returns the link handler for calls that other entries hand over to stage.
func Handler(stage *Stage) link.Handler {
	return func(ctx context.Context, request wire.Envelope) (any, error) {
		var m message
		if err := request.Decode(&m); err != nil {
			return nil, err
		}
		if m.Call == nil {
			return nil, &wire.MalformedError{Type: TypeCall}
		}
		if m.Call.Hops > MaxHops {
			return reply{Refused: refuseTooManyHops(m.Call)}, nil
		}
		timeLeft := time.Duration(m.TimeLeftMillis) * time.Millisecond
		m.Call.Deadline = time.Now().Add(timeLeft)
		ctx, cancel := context.WithDeadline(ctx, m.Call.Deadline)
		defer cancel()
		result, err := stage.Receive(ctx, m.Zone, m.Call)
		if err == nil {
			return reply{Result: result}, nil
		}
		var refused *refusal.Refusal
		if !errors.As(err, &refused) {
			refused = refusal.New(http.StatusBadGateway, refusal.PeerFailed, refusal.Unknown, "request failed")
		}
		return reply{Refused: refused}, nil
	}
}
