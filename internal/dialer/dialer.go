// Package dialer opens TCP connections to the system's own processes and to the
// platform.
//
// Tests can cut off programs built with the tag "faults" from some addresses:
// PUT /faults/network on the operator port with a body such as
// {"blocked": ["127.0.2."]} black-holes existing and new connections to addresses
// with these prefixes. Other builds have no such fault injection.
package dialer

import (
	"context"
	"net"
	"net/http"
)

// DialContext opens a TCP connection to address ("IP:port") by the deadline of
// ctx.
func DialContext(ctx context.Context, address string) (net.Conn, error) {
	if err := waitIfBlocked(ctx, address); err != nil {
		return nil, err
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return wrapConn(conn, address), nil
}

// NewTransport returns an http.Transport that dials with DialContext.
func NewTransport(maxIdleConnsPerHost int) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return DialContext(ctx, address)
		},
	}
}
