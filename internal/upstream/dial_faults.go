//go:build faults

package upstream

import (
	"context"
	"net"

	"lovagescale/internal/dialer"
)

// Dial opens a TCP connection to an endpoint within the time that a Pool allows for it. Fault
// injection can cut it off.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return dialer.DialContext(ctx, address)
}
