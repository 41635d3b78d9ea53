package action

import (
	"context"
	"fmt"
	"time"

	"lovagescale/internal/call"
	"lovagescale/internal/link"
	"lovagescale/internal/wire"
)

// TypeForward is the message type of a call that is handed to its owner.
const TypeForward = "action.forward"

// maxForwardBytes bounds a call's body and headers, and those of its answer, on
// a link, below the link's frame bound.
const maxForwardBytes = 1 << 20

// Message is a call that is handed to its owner.
type Message struct {
	Call           *call.Call `msgpack:"c"`
	Owner          string     `msgpack:"o"`
	Reading        uint64     `msgpack:"n"`
	TimeLeftMillis int64      `msgpack:"t"`
}

// Hand carries a message to the entry at a link address.
type Hand func(ctx context.Context, link string, message Message) (*Reply, error)

// OversizeError reports a call that does not fit a link.
type OversizeError struct{ Bytes int }

// Error implements the error interface.
func (e *OversizeError) Error() string {
	return fmt.Sprintf("call of %d bytes is above the limit of %d bytes of a link", e.Bytes, maxForwardBytes)
}

// OwnerGoneError reports an owner that left the view.
type OwnerGoneError struct{ Owner string }

// Error implements the error interface.
func (e *OwnerGoneError) Error() string { return fmt.Sprintf("owner %q is not in the view", e.Owner) }

// HandOver returns the Hand that uses the links to peers.
func HandOver(peers *link.Peers) Hand {
	return func(ctx context.Context, address string, message Message) (*Reply, error) {
		var reply Reply
		if err := peers.Client(address).Call(ctx, TypeForward, message, &reply); err != nil {
			return nil, err
		}
		return &reply, nil
	}
}

// forward hands the call to its owner.
func (s *Stage) forward(ctx context.Context, c *call.Call, try *Try, step Step) Step {
	s.meters.forwarded.Inc(1)
	reply, err := s.hand(ctx, c, step)
	next := s.next(func(time.Time) Step { return try.Forwarded(reply, err) })
	if next.Kind == Forward {
		s.meters.resent.Inc(1)
	}
	return next
}

func (s *Stage) hand(ctx context.Context, c *call.Call, step Step) (*Reply, error) {
	if err := ctx.Err(); err != nil {
		return nil, err // a try that was given up must not start later
	}
	address, found := s.env.Locate(step.Owner)
	if !found {
		return nil, &OwnerGoneError{Owner: step.Owner}
	}
	if size := len(c.Request.Body) + headerBytes(c.Request.Header); size > maxForwardBytes {
		return nil, &OversizeError{Bytes: size}
	}
	handed := *c
	handed.Hops++
	return s.env.Hand(ctx, address, Message{
		Call:           &handed,
		Owner:          step.Owner,
		Reading:        step.Reading,
		TimeLeftMillis: c.Deadline.Sub(s.env.Now()).Milliseconds(),
	})
}

// Handler returns the owner's side of a hand-over.
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

// Receive serves a call that another entry handed to this one.
func (s *Stage) Receive(ctx context.Context, m Message) *Reply {
	m.Call.Deadline = s.env.Now().Add(time.Duration(m.TimeLeftMillis) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, m.Call.Deadline)
	defer cancel()
	step := s.drive(ctx, m.Call, &Handed{Owner: m.Owner, Reading: m.Reading})
	reply := &Reply{Result: step.Result, Refused: step.Refused, Stale: step.Stale, Reading: s.reading()}
	if step.Stale {
		reply.Reading = step.Reading
	}
	if step.Result != nil && sizeOf(step.Result) > maxForwardBytes {
		reply.Result = nil
		reply.Refused = refuseNotKept(step.Result.Answer.Status)
	}
	return reply
}

func (s *Stage) reading() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Reading()
}
