//go:build !linux

package callerconn

import "syscall"

// acknowledgedBytes is known only on Linux.
func acknowledgedBytes(syscall.Conn) (acknowledged int64, ok bool) { return 0, false }
