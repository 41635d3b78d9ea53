package link

import "fmt"

// Message types that the link itself uses.
const (
	typeReply = "reply"
	typeError = "error"
)

// failure is the body of an error reply.
type failure struct {
	Code   string `msgpack:"c"`
	Detail string `msgpack:"d"`
}

// UnreachableError reports a peer that did not answer.
type UnreachableError struct {
	Peer string
	// Sent is true when the peer can have received the request.
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

// BusyError reports a link with MaxPending requests waiting.
type BusyError struct{ Peer string }

// Error implements the error interface.
func (e *BusyError) Error() string {
	return fmt.Sprintf("link to peer %q has %d requests waiting", e.Peer, MaxPending)
}

// ClosedError reports a link that was closed.
type ClosedError struct{ Peer string }

// Error implements the error interface.
func (e *ClosedError) Error() string { return fmt.Sprintf("link to peer %q is closed", e.Peer) }

// UnknownTypeError reports a message type without a handler.
type UnknownTypeError struct{ Type string }

// Error implements the error interface.
func (e *UnknownTypeError) Error() string { return fmt.Sprintf("message type %q is unknown", e.Type) }
