package link

import "fmt"

// Message types that the link itself uses.
const (
	typeReply = "reply"
	typeError = "error"
	// typeCancel tells that the client no longer waits for the reply to the request with
	// the envelope's identifier. It has no reply.
	typeCancel = "cancel"
)

// cancelBody is the body of a cancellation.
type cancelBody struct{}

// errorBody is the body of an error reply.
type errorBody struct {
	Code   string `msgpack:"c"`
	Detail string `msgpack:"d"`
}

// UnreachableError reports a request that got no reply from its peer.
type UnreachableError struct {
	Peer string
	// Sent is true if the peer may have received the request.
	Sent  bool
	Cause error
}

// Error implements the error interface.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %q is unreachable: %v", e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Peer   string
	Code   string
	Detail string
}

// Error implements the error interface.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %q answered with %s: %s", e.Peer, e.Code, e.Detail)
}

// BusyError reports a request that was not sent because MaxPending requests wait
// on the link.
type BusyError struct{ Peer string }

// Error implements the error interface.
func (e *BusyError) Error() string {
	return fmt.Sprintf("link to peer %q has %d requests waiting", e.Peer, MaxPending)
}

// ClosedError reports a call on a client that was closed.
type ClosedError struct{ Peer string }

// Error implements the error interface.
func (e *ClosedError) Error() string { return fmt.Sprintf("link to peer %q is closed", e.Peer) }

// UnknownTypeError reports a request whose message type has no handler.
type UnknownTypeError struct{ Type string }

// Error implements the error interface.
func (e *UnknownTypeError) Error() string { return fmt.Sprintf("message type %q is unknown", e.Type) }
