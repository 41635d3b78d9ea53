package link

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/listener"
	"lovagescale/internal/wire"
)

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
