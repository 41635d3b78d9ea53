package link

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lovagescale/internal/wire"
)

// TestSilentConnectionIsReplaced gives up requests to a peer that reads and
// never answers: the connection is closed after maxUnanswered of them and the
// next request dials anew.
func TestSilentConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	received := make(chan int)
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				framed := wire.NewConn(conn)
				for {
					if _, err := framed.Receive(time.Time{}); err != nil {
						return
					}
					received <- number
				}
			}()
		}
	}()
	client := NewClient(listener.Addr().String())
	defer client.Close()
	giveUp := func() int {
		ctx, cancel := context.WithCancel(context.Background())
		var number int
		go func() {
			number = <-received
			cancel()
		}()
		var unreachable *UnreachableError
		g.Expect(client.Call(ctx, "ask", struct{}{}, &struct{}{})).To(BeAssignableToTypeOf(unreachable))
		return number
	}
	for range maxUnanswered {
		g.Expect(giveUp()).To(Equal(1))
	}
	g.Expect(giveUp()).To(Equal(2))
}
