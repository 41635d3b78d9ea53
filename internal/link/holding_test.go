package link

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/listener"
	"lovagescale/internal/wire"
)

// boundedMemory grants a number of bytes in total.
type boundedMemory struct {
	mu         sync.Mutex
	limit, now int64
}

func (m *boundedMemory) Reserve(n int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.now+n > m.limit {
		return errors.New("no memory")
	}
	m.now += n
	return nil
}

func (m *boundedMemory) Release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now -= n
}

func (m *boundedMemory) held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// serveWithin runs a server with limits until the test ends.
func serveWithin(t *testing.T, limits Limits) (server *Server, address string) {
	server = NewServer(zerolog.Nop(), metrics.NewRegistry())
	server.Limit(limits)
	server.Handle("echo", func(_ context.Context, request wire.Envelope) (any, error) {
		var text string
		return text, request.Decode(&text)
	})
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, opened) }()
	t.Cleanup(func() { cancel(); <-done })
	return server, opened.Addr().String()
}

// startFrame opens a connection and sends the first bytes of a frame.
func startFrame(t *testing.T, address string, size, sent int) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	frame := make([]byte, 5+sent)
	binary.BigEndian.PutUint32(frame, uint32(size))
	frame[4] = wire.Version
	if _, err := conn.Write(frame); err != nil {
		t.Fatal(err)
	}
	return conn
}

func call(address, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	client := NewClient(address)
	defer client.Close()
	var reply string
	return client.Call(ctx, "echo", text, &reply)
}

// Guards against strangers whose large messages stop short of their end and who keep the memory from
// the other processes, and against memory that stays held after a message.
func TestMessagesThatStopGiveWayToOthers(t *testing.T) {
	g := NewWithT(t)
	memory := &boundedMemory{limit: 1 << 20}
	_, address := serveWithin(t, Limits{Messages: memory})
	stranger := startFrame(t, address, 8<<20, 300<<10)
	g.Eventually(memory.held).Should(BeNumerically(">", 300<<10))
	g.Expect(call(address, strings.Repeat("x", 100<<10))).To(Succeed())
	g.Expect(call(address, strings.Repeat("x", 200<<10))).To(Succeed())
	g.Expect(stranger.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err := stranger.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred(), "it held most")
	g.Eventually(memory.held).Should(BeZero())
	g.Expect(call(address, strings.Repeat("x", 2<<20))).NotTo(Succeed(), "one message above all memory")
	g.Expect(call(address, "x")).To(Succeed())
	g.Eventually(memory.held).Should(BeZero())
}

// Guards against strangers who take all connections of a link from the other processes.
func TestStrangersLeaveConnectionsToOthers(t *testing.T) {
	g := NewWithT(t)
	server, address := serveWithin(t, Limits{Listener: listener.Options{Limits: listener.Limits{MaxConns: 3}}})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	peer := NewClient(address)
	defer peer.Close()
	var reply string
	g.Expect(peer.Call(ctx, "echo", "x", &reply)).To(Succeed())
	for range 10 {
		startFrame(t, address, 1<<20, 1)
	}
	g.Expect(call(address, "x")).To(Succeed())
	session := peer.session
	g.Expect(peer.Call(ctx, "echo", "x", &reply)).To(Succeed())
	g.Expect(peer.session).To(BeIdenticalTo(session), "a connection that has carried a request stays")
	server.mu.Lock()
	defer server.mu.Unlock()
	g.Expect(len(server.connections)).To(BeNumerically("<=", 3))
}
