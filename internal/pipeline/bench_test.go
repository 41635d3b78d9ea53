package pipeline

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// BenchmarkConnection measures requests on one connection to a server with an empty
// handler: net/http alone, wrapped with a caller that does not pipeline, and wrapped with
// four requests at once. The processor time includes that of the caller.
func BenchmarkConnection(b *testing.B) {
	b.Run("net-http", func(b *testing.B) { measure(b, false, 1) })
	b.Run("wrapped", func(b *testing.B) { measure(b, true, 1) })
	b.Run("pipelined", func(b *testing.B) { measure(b, true, 4) })
}

func measure(b *testing.B, wrapped bool, depth int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	if wrapped {
		server.Handler = Handler(server.Handler, func(*http.Request) bool { return true })
		server.ConnContext = ConnContext
		listener = NewListener(listener, Options{})
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	caller, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer caller.Close()
	reader := bufio.NewReader(caller)
	requests := get("/i/1", "/i/2", "/i/3", "/i/4")
	requests = requests[:len(requests)*depth/4]
	b.ReportAllocs()
	before := processorTime(b)
	n := 0
	for b.Loop() {
		n++
		if n%depth != 0 { // an operation is one request
			continue
		}
		if _, err := io.WriteString(caller, requests); err != nil {
			b.Fatal(err)
		}
		for range depth {
			response, err := http.ReadResponse(reader, nil)
			if err != nil || response.StatusCode != http.StatusOK {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(n), "cpu-ns/op")
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
