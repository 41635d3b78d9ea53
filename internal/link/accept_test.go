package link

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/wire"
)

// exhaustedListener fails to accept while the process has no file descriptor left.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a link that serves nobody any more after its first failed accept.
func TestServerGoesOnAfterFailedAccepts(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	exhausted := &exhaustedListener{Listener: listener}
	exhausted.failures.Store(4)
	server := NewServer(zerolog.Nop(), metrics.NewRegistry())
	server.Handle("ping", func(context.Context, wire.Envelope) (any, error) { return "pong", nil })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, exhausted) }()
	client := NewPeers().Client(listener.Addr().String())
	callCtx, cancelCall := context.WithTimeout(ctx, 10*time.Second)
	defer cancelCall()
	var reply string
	g.Expect(client.Call(callCtx, "ping", "", &reply)).To(Succeed())
	g.Expect(reply).To(Equal("pong"))
	g.Expect(server.acceptFailures.Count()).To(BeEquivalentTo(4))
	cancel()
	g.Eventually(ended, 10*time.Second).Should(Receive(BeNil()))
}

// Guards against a server that goes on without a listener.
func TestServerEndsWithItsListener(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listener.Close()).To(Succeed())
	server := NewServer(zerolog.Nop(), metrics.NewRegistry())
	g.Expect(server.Serve(context.Background(), listener)).To(MatchError(net.ErrClosed))
}
