//go:build !faults

package dialer

import (
	"context"
	"net"
	"net/http"
)

// FaultHandler returns nil: this build has no fault switches.
func FaultHandler() http.Handler { return nil }

func awaitPermitted(context.Context, string) error { return nil }

func wrap(conn net.Conn, _ string) net.Conn { return conn }
