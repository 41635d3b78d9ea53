package callerconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// acknowledgedBytes returns the bytes that the peer of a TCP connection has acknowledged
// since the connection was opened. ok is false for other connections.
func acknowledgedBytes(conn syscall.Conn) (acknowledged int64, ok bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			acknowledged, ok = int64(info.Bytes_acked), true
		}
	})
	return acknowledged, ok && err == nil
}
