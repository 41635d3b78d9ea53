// Package listener opens the listeners of a process and bounds what strangers can make them hold:
// connections, and the bytes that the kernel has received or not yet sent for them.
//
// A Plan divides a process's descriptors and memory among its listeners, so that a crowd at one of
// them takes nothing of the others, of the connections to endpoints or of those to the store. A
// Limited listener that is full closes the connection that makes least progress in favor of a new
// one; the users of the listener know which one that is.
//
// Failure modes: if no connection can be closed, the new one is closed unread, which tells its
// caller that nothing has run. Buffer sizes that the kernel does not accept stay as they were.
package listener

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ListenError reports that the process cannot listen on an address.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements the error interface.
func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %q: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Listen opens a TCP listener. On failure it returns a *ListenError.
func Listen(address string) (net.Listener, error) { return ListenWithin(address, Limits{}) }

// ListenWithin opens a TCP listener whose connections have the buffers of the limits. On failure it
// returns a *ListenError.
func ListenWithin(address string, limits Limits) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) { setBuffers(int(descriptor), limits) })
	}}
	opened, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	shortenQueue(opened, limits.QueueLength)
	return opened, nil
}

// setBuffers sets the sizes that accepted connections inherit. A size that the kernel does not
// accept stays as it was.
func setBuffers(descriptor int, limits Limits) {
	if limits.ReceiveBytes > 0 {
		_ = unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, limits.ReceiveBytes)
	}
	if limits.SendBytes > 0 {
		_ = unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_SNDBUF, limits.SendBytes)
	}
}

// shortenQueue limits the connections that wait to be accepted, whose bytes the kernel holds too.
func shortenQueue(opened net.Listener, length int) {
	if conn, ok := opened.(syscall.Conn); ok && length > 0 {
		if raw, err := conn.SyscallConn(); err == nil {
			_ = raw.Control(func(descriptor uintptr) { _ = unix.Listen(int(descriptor), length) }) // the queue stays longer if it fails
		}
	}
}
