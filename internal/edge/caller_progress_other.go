//go:build !linux

package edge

import "syscall"

// acknowledgedBytes is known only on Linux.
func acknowledgedBytes(syscall.Conn) (acknowledged int64, ok bool) { return 0, false }
