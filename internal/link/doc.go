// Package link carries messages between the system's own processes over the
// framing of package wire: requests with replies, and streams.
//
// A Client keeps one connection to a peer, opens it on demand and pairs
// replies with requests by identifier. At most MaxPending requests wait at
// once; one more fails at once, which is the link's back-pressure. A lost
// connection fails all waiting requests with *UnreachableError, whose Sent
// field tells whether the peer can have received the request.
//
// A Server limits connections, closes one that sends a malformed frame or is
// silent for too long, and counts both. A handler's error travels as its type
// name and text and arrives as *RemoteError.
package link
