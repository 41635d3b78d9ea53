package bodymemory

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// enlargeBytes is the size of a body or response for which a connection gets larger buffers of the
// kernel, so that it takes few round trips.
const enlargeBytes = 16 << 10

// ReceiveLarge gives the caller's connection larger buffers if the stated length of a body, or an
// unknown one, calls for them.
func ReceiveLarge(ctx context.Context, length int64) {
	if conn, ok := ctx.Value(connKey{}).(Conn); ok && (length < 0 || length > enlargeBytes) {
		conn.Enlarge()
	}
}

// ConnContext returns a context from which Deliver finds the caller's connection, if that is
// a Conn or wraps one and returns it from a method NetConn. It can be used as the ConnContext
// of an http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	for {
		if c, ok := conn.(Conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		conn = wrapper.NetConn()
	}
}

// StopReading returns a function that stops reads from the caller's connection, or nil without one.
func StopReading(ctx context.Context) func() {
	if conn, ok := ctx.Value(connKey{}).(Conn); ok {
		return conn.StopReading
	}
	return nil
}

// ResponseHolder is implemented by an http.ResponseWriter that keeps a response until its
// caller can take it, such as that of a request that was begun early. HoldResponse takes over
// the body, which is not copied and must not be changed, and its reservation. The holder
// passes both to Deliver when the caller can take the response, or releases the reservation
// when it drops the response.
type ResponseHolder interface {
	HoldResponse(body []byte, held *Reservation)
}

// Deliver writes the body of a response and releases its memory when the caller has taken it.
// While it is written, its caller can be disconnected. If w is a ResponseHolder, it gets the
// body and the reservation instead. The status and the headers must be written before.
func Deliver(ctx context.Context, w http.ResponseWriter, body []byte, held *Reservation) {
	if holder, ok := w.(ResponseHolder); ok {
		holder.HoldResponse(body, held)
		return
	}
	defer held.Release()
	if conn, ok := ctx.Value(connKey{}).(Conn); ok {
		if len(body) > enlargeBytes {
			conn.Enlarge()
		}
		held.StartReading(conn)
	}
	_, _ = w.Write(body) // the caller may have disconnected
}
