// Package dialer opens the TCP connections to the system's own processes and
// to the platform.
//
// Programs built with the tag "faults" can be cut off from addresses for
// tests: PUT /faults/network on the operators' port with a body such as
// {"blocked": ["127.0.2."]} black-holes connections to addresses with these
// prefixes, old ones and new ones. Other builds have no such switch.
package dialer

import (
	"context"
	"net"
	"net/http"
)

// DialContext opens a TCP connection to address ("IP:port") by the deadline of
// ctx.
func DialContext(ctx context.Context, address string) (net.Conn, error) {
	if err := awaitPermitted(ctx, address); err != nil {
		return nil, err
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return wrap(conn, address), nil
}

// NewTransport returns an http.Transport that dials through this package.
func NewTransport(maxIdlePerHost int) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerHost,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return DialContext(ctx, address)
		},
	}
}
