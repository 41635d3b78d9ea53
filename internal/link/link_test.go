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

type text struct{ Text string }

// serve runs a server with an echo and a handler that waits for release.
func serve(ctx context.Context, release <-chan struct{}) (address string, malformed metrics.Counter, ended <-chan error) {
	registry := metrics.NewRegistry()
	server := NewServer(zerolog.Nop(), registry)
	server.Handle("echo", func(_ context.Context, request wire.Envelope) (any, error) {
		var t text
		if err := request.Decode(&t); err != nil {
			return nil, err
		}
		return t, nil
	})
	server.Handle("grow", func(context.Context, wire.Envelope) (any, error) {
		return text{strings.Repeat("x", wire.DefaultMaxFrame)}, nil
	})
	server.Handle("wait", func(ctx context.Context, _ wire.Envelope) (any, error) {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return text{}, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	return listener.Addr().String(), metrics.GetOrRegisterCounter("link.malformed_frames", registry), done
}

// acceptSilently reads requests and answers none.
func acceptSilently(listener net.Listener, accepted chan<- net.Conn, arrived chan<- struct{}) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		accepted <- conn
		go func() {
			for {
				if _, err := wire.ReadEnvelope(conn, wire.DefaultMaxFrame); err != nil {
					return
				}
				arrived <- struct{}{}
			}
		}()
	}
}

var _ = Describe("link", func() {
	var (
		ctx     context.Context
		cancel  context.CancelFunc
		release chan struct{}
		address string
		counted metrics.Counter
		ended   <-chan error
	)

	BeforeEach(func() {
		ctx, cancel = context.WithCancel(context.Background())
		release = make(chan struct{})
		address, counted, ended = serve(ctx, release)
	})
	AfterEach(func() {
		cancel()
		Eventually(ended, "10s").Should(Receive(BeNil()))
	})

	It("pairs replies with requests while another request waits", func() {
		client := NewClient(address)
		defer client.Close()
		waited := make(chan error, 1)
		go func() { waited <- client.Call(ctx, "wait", text{}, &text{}) }()
		var reply text
		Expect(client.Call(ctx, "echo", text{"a"}, &reply)).To(Succeed())
		Expect(reply.Text).To(Equal("a"))
		close(release)
		Eventually(waited, "10s").Should(Receive(BeNil()))
	})

	It("reports an unknown type as a remote error and goes on", func() {
		client := NewClient(address)
		defer client.Close()
		err := client.Call(ctx, "none", text{}, &text{})
		Expect(err).To(BeAssignableToTypeOf(&RemoteError{}))
		Expect(client.Call(ctx, "echo", text{"b"}, &text{})).To(Succeed())
	})

	It("keeps the requests that share a link with one that is too large for it", func() {
		client := NewClient(address)
		defer client.Close()
		waited := make(chan error, 1)
		go func() { waited <- client.Call(ctx, "wait", text{}, &text{}) }()
		err := client.Call(ctx, "echo", text{strings.Repeat("x", wire.DefaultMaxFrame)}, &text{})
		Expect(err).To(BeAssignableToTypeOf(&UnreachableError{}))
		Expect(err.(*UnreachableError).Sent).To(BeFalse())
		Expect(client.Call(ctx, "grow", text{}, &text{})).To(BeAssignableToTypeOf(&RemoteError{}))
		ended, stop := context.WithCancel(ctx)
		stop()
		Expect(client.Call(ended, "echo", text{}, &text{})).To(BeAssignableToTypeOf(&UnreachableError{}))
		close(release)
		Eventually(waited, "10s").Should(Receive(BeNil()))
	})

	It("says that a request was not sent when nobody listens", func() {
		client := NewClient("127.0.0.1:1")
		defer client.Close()
		err := client.Call(ctx, "echo", text{}, &text{})
		Expect(err).To(BeAssignableToTypeOf(&UnreachableError{}))
		Expect(err.(*UnreachableError).Sent).To(BeFalse())
	})

	It("says that a request may have arrived when the deadline passes", func() {
		client := NewClient(address)
		defer client.Close()
		Expect(client.Call(ctx, "echo", text{}, &text{})).To(Succeed())
		short, stop := context.WithTimeout(ctx, time.Millisecond)
		defer stop()
		err := client.Call(short, "wait", text{}, &text{})
		Expect(err).To(BeAssignableToTypeOf(&UnreachableError{}))
		Expect(err.(*UnreachableError).Sent).To(BeTrue())
	})

	DescribeTable("replaces a connection that has answered nothing for the stall limit",
		func(limit time.Duration, connections int) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			defer listener.Close()
			accepted := make(chan net.Conn, 8)
			arrived := make(chan struct{}, 8)
			go acceptSilently(listener, accepted, arrived)
			client := NewClient(listener.Addr().String())
			client.stall = limit
			defer client.Close()
			for range 3 {
				waiting, stop := context.WithCancel(ctx)
				called := make(chan error, 1)
				go func() { called <- client.Call(waiting, "echo", text{}, &text{}) }()
				Eventually(arrived, "10s").Should(Receive())
				stop()
				Eventually(called, "10s").Should(Receive(BeAssignableToTypeOf(&UnreachableError{})))
			}
			Expect(accepted).To(HaveLen(connections))
		},
		Entry("limit reached by each request", time.Duration(0), 3),
		Entry("limit not reached", time.Hour, 1),
	)

	It("keeps the requests that wait on a connection that is replaced", func() {
		client := NewClient(address)
		client.stall = 0
		defer client.Close()
		waited := make(chan error, 1)
		go func() { waited <- client.Call(ctx, "wait", text{}, &text{}) }()
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
		short, stop := context.WithCancel(ctx)
		gaveUp := make(chan error, 1)
		go func() { gaveUp <- client.Call(short, "wait", text{}, &text{}) }()
		Eventually(pending, "10s").Should(Equal(2))
		stop()
		Eventually(gaveUp, "10s").Should(Receive(HaveOccurred()))
		Expect(client.Call(ctx, "echo", text{"d"}, &text{})).To(Succeed())
		close(release)
		Eventually(waited, "10s").Should(Receive(BeNil()))
	})

	DescribeTable("drops the connection of a malformed frame and serves others",
		func(frame []byte) {
			before := counted.Count()
			conn, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = conn.Write(frame)
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			_, err = conn.Read(make([]byte, 1))
			Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
			Expect(err).To(HaveOccurred())
			Eventually(func() int64 { return counted.Count() - before }, "10s").Should(BeEquivalentTo(1))
			client := NewClient(address)
			defer client.Close()
			Expect(client.Call(ctx, "echo", text{"c"}, &text{})).To(Succeed())
		},
		Entry("too large", append(binary.BigEndian.AppendUint32(nil, 1<<31), wire.Version)),
		Entry("another version", []byte{0, 0, 0, 1, 99, 0}),
		Entry("no msgpack", []byte{0, 0, 0, 1, wire.Version, 0xc1}),
	)
})
