//go:build !faults

package dialer

import (
	"context"
	"net"
	"net/http"
)

// FaultHandler returns nil because this build has no fault injection.
func FaultHandler() http.Handler { return nil }

func waitIfBlocked(context.Context, string) error { return nil }

func wrapConn(conn net.Conn, _ string) net.Conn { return conn }
