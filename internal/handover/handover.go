// Package handover passes a call from one entry to another over a link.
//
// An entry whose own endpoints have no free slot asks siblings that own
// endpoints of the service, then other zones of the region, then other regions,
// at most two entries at each distance. A call that was handed over once goes
// only to a sibling of the receiver, and after MaxHops it goes nowhere. Only a
// refusal that is certainly "not-run" is handed on. Calls from other regions
// spend the region's quotas of package shift. An entry that refused or did not
// answer is not asked again for a short time, so that a shortage everywhere
// costs few messages.
//
// The receiving entry serves the call or refuses it at once, and its refusal
// arrives as the refusal that it gave. The call carries its workspace's name
// and never a workspace key. The deadline travels as time left. A receiver
// that cannot be reached gives an outcome of "not-run" only when the request
// was never sent; otherwise the outcome is "unknown".
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

// MaxHops bounds how often a call is handed over.
const MaxHops = 2

// TypeCall is the message type of a handed call.
const TypeCall = "handover.call"

// retryUnreachable tells callers when to try again.
const retryUnreachable = time.Second

// message is a handed call.
type message struct {
	Call           *call.Call `msgpack:"c"`
	TimeLeftMillis int64      `msgpack:"t"`
	// Zone is the sender's availability zone.
	Zone string `msgpack:"z"`
}

// reply is the receiver's answer: a result or a refusal.
type reply struct {
	Result  *call.Result     `msgpack:"r"`
	Refused *refusal.Refusal `msgpack:"f"`
}

// Send hands the call from an entry of zone to the entry with the given link
// address. Its error is a *refusal.Refusal.
func Send(ctx context.Context, peers *link.Peers, peer, zone string, c *call.Call) (*call.Result, error) {
	if c.Hops >= MaxHops {
		return nil, tooFar(c)
	}
	handed := *c
	handed.Hops++
	request := message{Call: &handed, TimeLeftMillis: time.Until(c.Deadline).Milliseconds(), Zone: zone}
	var answer reply
	if err := peers.Client(peer).Call(ctx, TypeCall, request, &answer); err != nil {
		return nil, unreachable(peer, err)
	}
	if answer.Refused != nil {
		return nil, answer.Refused
	}
	if answer.Result == nil {
		return nil, refusal.New(http.StatusBadGateway, refusal.PeerFailed, refusal.Unknown,
			fmt.Sprintf("entry %q gave no result", peer))
	}
	return answer.Result, nil
}

func tooFar(c *call.Call) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun,
		fmt.Sprintf("request was handed over %d times", c.Hops)).After(retryUnreachable)
}

// unreachable says what is known of a call whose receiver did not answer.
func unreachable(peer string, err error) *refusal.Refusal {
	outcome := refusal.Unknown
	var lost *link.UnreachableError
	var busy *link.BusyError
	if errors.As(err, &busy) || (errors.As(err, &lost) && !lost.Sent) {
		outcome = refusal.NotRun
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.PeerFailed, outcome,
		fmt.Sprintf("entry %q did not answer", peer)).After(retryUnreachable)
}

// Handler returns the receiving side.
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
			return reply{Refused: tooFar(m.Call)}, nil
		}
		left := time.Duration(m.TimeLeftMillis) * time.Millisecond
		m.Call.Deadline = time.Now().Add(left)
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
