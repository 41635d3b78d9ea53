//go:build !faults

package upstream

import (
	"context"
	"net"
)

// Dial opens a TCP connection to an endpoint within the time that a Pool allows for it.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}
