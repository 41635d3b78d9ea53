// Package link carries messages between the system's own processes over the
// framing of package wire: requests with replies, and streams of messages.
//
// A Client keeps one connection to a peer, opens it on demand and matches
// replies to requests by identifier. At most MaxPending requests wait for a
// reply at once; any further request fails immediately, which is the link's
// backpressure. When the context of a request ends, the client tells the server, which ends
// the context of its handler. A lost connection fails all waiting requests with
// *UnreachableError, whose Sent field tells whether the peer may have received
// the request.
//
// A Server limits its connections and closes one that sends a malformed frame or
// on which nothing arrives for idleTimeout. It counts the connections that it
// refused and the malformed frames. A handler's error is sent as its type name
// and text, and the client returns it as *RemoteError.
package link
