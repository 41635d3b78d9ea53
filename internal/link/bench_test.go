package link

import (
	"context"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/wire"
)

// serveEcho runs a server until ctx ends and returns its address.
func serveEcho(ctx context.Context, b *testing.B) string {
	server := NewServer(zerolog.Nop(), metrics.NewRegistry())
	server.Handle("echo", func(context.Context, wire.Envelope) (any, error) { return textBody{"reply"}, nil })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(ctx, listener) }()
	return listener.Addr().String()
}

// BenchmarkLinkCall measures one small request with its reply over loopback. The
// processor time includes both ends.
func BenchmarkLinkCall(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := serveEcho(ctx, b)
	client := NewClient(address)
	defer client.Close()
	started := processorTime()
	for b.Loop() {
		if err := client.Call(ctx, "echo", textBody{"request"}, &textBody{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processorTime()-started).Microseconds())/float64(b.N), "cpu-us/op")
}

// BenchmarkLinkMemory reports the memory of one open link, heap and stacks of both
// ends.
func BenchmarkLinkMemory(b *testing.B) {
	const links = 500
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := serveEcho(ctx, b)
	for b.Loop() {
		before := liveMemory()
		clients := make([]*Client, links)
		for i := range clients {
			clients[i] = NewClient(address)
			if err := clients[i].Call(ctx, "echo", textBody{}, &textBody{}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(liveMemory()-before)/links/1024, "KiB/link")
		for _, client := range clients {
			client.Close()
		}
	}
}

// liveMemory returns the bytes of live heap and of stacks after a garbage collection.
func liveMemory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// processorTime returns the user and system processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
