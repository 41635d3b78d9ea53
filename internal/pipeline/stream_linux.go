package pipeline

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// TCP states after the peer has closed its side, from the kernel's tcp_states.h.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// streamEnded reports whether the peer of a TCP connection has closed its side, also if
// unread bytes precede the end. It is false for other connections.
func streamEnded(c net.Conn) bool {
	inner, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
	})
	return err == nil && ended
}
