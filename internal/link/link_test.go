package link

import (
	"context"
	"encoding/binary"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/wire"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

type textBody struct{ Text string }

// watched holds the channel of the handler "watch".
var watched = make(chan chan string, 1)

// serveTestHandlers runs a server until ctx ends. Its handlers return the request
// ("echo"), return a reply that is too large for a frame ("grow") or wait until
// release is closed ("wait"). "watch" waits as well and tells its begin and end on the
// channel that watched holds. The channel ended gets the result of Serve.
func serveTestHandlers(ctx context.Context, release <-chan struct{}) (address string, malformedFrames metrics.Counter, ended <-chan error) {
	registry := metrics.NewRegistry()
	server := NewServer(zerolog.Nop(), registry)
	server.Handle("echo", func(_ context.Context, request wire.Envelope) (any, error) {
		var t textBody
		if err := request.Decode(&t); err != nil {
			return nil, err
		}
		return t, nil
	})
	server.Handle("grow", func(context.Context, wire.Envelope) (any, error) {
		return textBody{strings.Repeat("x", wire.DefaultMaxFrameBytes)}, nil
	})
	server.Handle("wait", func(ctx context.Context, _ wire.Envelope) (any, error) {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return textBody{}, nil
	})
	server.Handle("watch", func(ctx context.Context, request wire.Envelope) (any, error) {
		var t textBody
		if err := request.Decode(&t); err != nil {
			return nil, err
		}
		events := <-watched
		watched <- events
		events <- "begin " + t.Text
		select {
		case <-release:
		case <-ctx.Done():
			events <- "end " + t.Text
		}
		return textBody{}, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	return listener.Addr().String(), metrics.GetOrRegisterCounter("link.malformed_frames", registry), done
}

// acceptWithoutReply accepts connections and reads requests without answering them.
// It reports each connection on accepted and each request on received.
func acceptWithoutReply(listener net.Listener, accepted chan<- net.Conn, received chan<- struct{}) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		accepted <- conn
		go func() {
			for {
				envelope, err := wire.ReadEnvelope(conn, wire.DefaultMaxFrameBytes)
				if err != nil {
					return
				}
				if envelope.Type != typeCancel {
					received <- struct{}{}
				}
			}
		}()
	}
}

var _ = Describe("link", func() {
	var (
		ctx             context.Context
		cancel          context.CancelFunc
		release         chan struct{}
		address         string
		malformedFrames metrics.Counter
		serveResult     <-chan error
	)

	BeforeEach(func() {
		ctx, cancel = context.WithCancel(context.Background())
		release = make(chan struct{})
		address, malformedFrames, serveResult = serveTestHandlers(ctx, release)
	})
	AfterEach(func() {
		cancel()
		Eventually(serveResult, "10s").Should(Receive(BeNil()))
	})

	It("matches replies to requests while another request waits", func() {
		client := NewClient(address)
		defer client.Close()
		waitingCall := make(chan error, 1)
		go func() { waitingCall <- client.Call(ctx, "wait", textBody{}, &textBody{}) }()
		var reply textBody
		Expect(client.Call(ctx, "echo", textBody{"a"}, &reply)).To(Succeed())
		Expect(reply.Text).To(Equal("a"))
		close(release)
		Eventually(waitingCall, "10s").Should(Receive(BeNil()))
	})

	It("reports an unknown message type as a remote error and keeps the connection usable", func() {
		client := NewClient(address)
		defer client.Close()
		err := client.Call(ctx, "none", textBody{}, &textBody{})
		Expect(err).To(BeAssignableToTypeOf(&RemoteError{}))
		Expect(client.Call(ctx, "echo", textBody{"b"}, &textBody{})).To(Succeed())
	})

	It("keeps other requests waiting when a request or reply on the same link is too large or its context has ended", func() {
		client := NewClient(address)
		defer client.Close()
		waitingCall := make(chan error, 1)
		go func() { waitingCall <- client.Call(ctx, "wait", textBody{}, &textBody{}) }()
		err := client.Call(ctx, "echo", textBody{strings.Repeat("x", wire.DefaultMaxFrameBytes)}, &textBody{})
		Expect(err).To(BeAssignableToTypeOf(&UnreachableError{}))
		Expect(err.(*UnreachableError).Sent).To(BeFalse())
		Expect(client.Call(ctx, "grow", textBody{}, &textBody{})).To(BeAssignableToTypeOf(&RemoteError{}))
		canceledCtx, stop := context.WithCancel(ctx)
		stop()
		Expect(client.Call(canceledCtx, "echo", textBody{}, &textBody{})).To(BeAssignableToTypeOf(&UnreachableError{}))
		close(release)
		Eventually(waitingCall, "10s").Should(Receive(BeNil()))
	})

	It("reports that a request was not sent when nothing listens at the address", func() {
		client := NewClient("127.0.0.1:1")
		defer client.Close()
		err := client.Call(ctx, "echo", textBody{}, &textBody{})
		Expect(err).To(BeAssignableToTypeOf(&UnreachableError{}))
		Expect(err.(*UnreachableError).Sent).To(BeFalse())
	})

	It("ends the handler of a request whose caller no longer waits, and no other", func() {
		client := NewClient(address)
		defer client.Close()
		handled := make(chan string, 2)
		call := func(ctx context.Context, text string) <-chan error {
			result := make(chan error, 1)
			go func() { result <- client.Call(ctx, "watch", textBody{text}, &textBody{}) }()
			Eventually(handled, "10s").Should(Receive(Equal("begin " + text)))
			return result
		}
		watched <- handled
		other := call(ctx, "other")
		leavingCtx, leave := context.WithCancel(ctx)
		leaving := call(leavingCtx, "leaving")
		leave()
		Eventually(leaving, "10s").Should(Receive(BeAssignableToTypeOf(&UnreachableError{})))
		Eventually(handled, "10s").Should(Receive(Equal("end leaving")))
		Consistently(handled, "100ms").ShouldNot(Receive())
		close(release)
		Eventually(other, "10s").Should(Receive(BeNil()))
	})

	It("reports that a request may have been sent when its deadline passes", func() {
		client := NewClient(address)
		defer client.Close()
		Expect(client.Call(ctx, "echo", textBody{}, &textBody{})).To(Succeed())
		shortCtx, stop := context.WithTimeout(ctx, time.Millisecond)
		defer stop()
		err := client.Call(shortCtx, "wait", textBody{}, &textBody{})
		Expect(err).To(BeAssignableToTypeOf(&UnreachableError{}))
		Expect(err.(*UnreachableError).Sent).To(BeTrue())
	})

	DescribeTable("replaces a connection that has delivered no reply for the stall timeout",
		func(stallTimeout time.Duration, connections int) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			defer listener.Close()
			accepted := make(chan net.Conn, 8)
			received := make(chan struct{}, 8)
			go acceptWithoutReply(listener, accepted, received)
			client := NewClient(listener.Addr().String())
			client.stallTimeout = stallTimeout
			defer client.Close()
			for range 3 {
				callCtx, stop := context.WithCancel(ctx)
				callResult := make(chan error, 1)
				go func() { callResult <- client.Call(callCtx, "echo", textBody{}, &textBody{}) }()
				Eventually(received, "10s").Should(Receive())
				stop()
				Eventually(callResult, "10s").Should(Receive(BeAssignableToTypeOf(&UnreachableError{})))
			}
			Expect(accepted).To(HaveLen(connections))
		},
		Entry("timeout reached by each request", time.Duration(0), 3),
		Entry("timeout not reached", time.Hour, 1),
	)

	It("keeps requests waiting on a connection that is replaced", func() {
		client := NewClient(address)
		client.stallTimeout = 0
		defer client.Close()
		waitingCall := make(chan error, 1)
		go func() { waitingCall <- client.Call(ctx, "wait", textBody{}, &textBody{}) }()
		pending := func() int {
			client.mu.Lock()
			defer client.mu.Unlock()
			if client.session == nil {
				return 0
			}
			client.session.mu.Lock()
			defer client.session.mu.Unlock()
			return len(client.session.pending)
		}
		Eventually(pending, "10s").Should(Equal(1))
		callCtx, stop := context.WithCancel(ctx)
		canceledCall := make(chan error, 1)
		go func() { canceledCall <- client.Call(callCtx, "wait", textBody{}, &textBody{}) }()
		Eventually(pending, "10s").Should(Equal(2))
		stop()
		Eventually(canceledCall, "10s").Should(Receive(HaveOccurred()))
		Expect(client.Call(ctx, "echo", textBody{"d"}, &textBody{})).To(Succeed())
		close(release)
		Eventually(waitingCall, "10s").Should(Receive(BeNil()))
	})

	DescribeTable("closes a connection that sends a malformed frame and serves others",
		func(frame []byte) {
			before := malformedFrames.Count()
			conn, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = conn.Write(frame)
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			_, err = conn.Read(make([]byte, 1))
			Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
			Expect(err).To(HaveOccurred())
			Eventually(func() int64 { return malformedFrames.Count() - before }, "10s").Should(BeEquivalentTo(1))
			client := NewClient(address)
			defer client.Close()
			Expect(client.Call(ctx, "echo", textBody{"c"}, &textBody{})).To(Succeed())
		},
		Entry("frame too large", append(binary.BigEndian.AppendUint32(nil, 1<<31), wire.Version)),
		Entry("unknown protocol version", []byte{0, 0, 0, 1, 99, 0}),
		Entry("invalid msgpack", []byte{0, 0, 0, 1, wire.Version, 0xc1}),
	)
})
