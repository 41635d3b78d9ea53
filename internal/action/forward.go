package action

import (
	"context"
	"fmt"
	"time"

	"lovagescale/internal/call"
	"lovagescale/internal/link"
	"lovagescale/internal/wire"
)

// TypeForward is the message type of a call that is forwarded to its owner.
const TypeForward = "action.forward"

// maxForwardBytes limits the body and headers of a forwarded call, and those of
// its answer. It is below the frame limit of a link.
const maxForwardBytes = 1 << 20

// Message is a call that is forwarded to the owner of its key.
type Message struct {
	Call              *call.Call `msgpack:"c"`
	Owner             string     `msgpack:"o"`
	TombstoneSequence uint64     `msgpack:"n"`
	TimeLeftMillis    int64      `msgpack:"t"`
}

// Forwarder sends a message to the entry at a link address and returns its reply.
type Forwarder func(ctx context.Context, link string, message Message) (*Reply, error)

// OversizeError reports a call that is too large to be forwarded over a link.
type OversizeError struct{ Bytes int }

// Error implements the error interface.
func (e *OversizeError) Error() string {
	return fmt.Sprintf("call of %d bytes is above the limit of %d bytes for forwarding over a link", e.Bytes, maxForwardBytes)
}

// OwnerGoneError reports an owner that has left the membership view.
type OwnerGoneError struct{ Owner string }

// Error implements the error interface.
func (e *OwnerGoneError) Error() string {
	return fmt.Sprintf("owner %q is not in the membership view", e.Owner)
}

// NewLinkForwarder returns a Forwarder that uses the links to peers.
func NewLinkForwarder(peers *link.Peers) Forwarder {
	return func(ctx context.Context, address string, message Message) (*Reply, error) {
		var reply Reply
		if err := peers.Client(address).Call(ctx, TypeForward, message, &reply); err != nil {
			return nil, err
		}
		return &reply, nil
	}
}

// forward carries out StepForward.
func (s *Stage) forward(ctx context.Context, c *call.Call, attempt *Attempt, step Step) Step {
	s.counters.forwarded.Inc(1)
	reply, err := s.sendToOwner(ctx, c, step)
	next := s.advance(func(time.Time) Step { return attempt.ForwardDone(reply, err) })
	if next.Kind == StepForward {
		s.counters.resent.Inc(1)
	}
	return next
}

func (s *Stage) sendToOwner(ctx context.Context, c *call.Call, step Step) (*Reply, error) {
	if err := ctx.Err(); err != nil {
		return nil, err // an abandoned attempt must not start the action later
	}
	address, found := s.env.Locate(step.Owner)
	if !found {
		return nil, &OwnerGoneError{Owner: step.Owner}
	}
	if size := len(c.Request.Body) + headerBytes(c.Request.Header); size > maxForwardBytes {
		return nil, &OversizeError{Bytes: size}
	}
	outgoing := *c
	outgoing.Hops++
	return s.env.Forward(ctx, address, Message{
		Call:              &outgoing,
		Owner:             step.Owner,
		TombstoneSequence: step.TombstoneSequence,
		TimeLeftMillis:    c.Deadline.Sub(s.env.Now()).Milliseconds(),
	})
}

// Handler returns the link handler for calls that other entries forward here.
func (s *Stage) Handler() link.Handler {
	return func(ctx context.Context, request wire.Envelope) (any, error) {
		var m Message
		if err := request.Decode(&m); err != nil {
			return nil, err
		}
		if m.Call == nil {
			return nil, &wire.MalformedError{Type: TypeForward}
		}
		return s.Receive(ctx, m), nil
	}
}

// Receive serves a call that another entry forwarded to this one. An answer that
// is too large for the link is reported as not kept.
func (s *Stage) Receive(ctx context.Context, m Message) *Reply {
	m.Call.Deadline = s.env.Now().Add(time.Duration(m.TimeLeftMillis) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, m.Call.Deadline)
	defer cancel()
	step := s.execute(ctx, m.Call, &ForwardInfo{Owner: m.Owner, TombstoneSequence: m.TombstoneSequence})
	reply := &Reply{Result: step.Result, Refused: step.Refused, Stale: step.Stale, TombstoneSequence: s.tombstoneSequence()}
	if step.Stale {
		reply.TombstoneSequence = step.TombstoneSequence
	}
	if step.Result != nil && resultSize(step.Result) > maxForwardBytes {
		reply.Result = nil
		reply.Refused = refuseAnswerNotKept(step.Result.Answer.Status)
	}
	return reply
}

func (s *Stage) tombstoneSequence() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.TombstoneSequence()
}
