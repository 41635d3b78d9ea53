package pipeline

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"testing"
	"time"
)

// While the process is stopping nothing is read ahead, so that a further request stays in the
// kernel. Closing the connection then reset it, and the caller lost the rest of a response
// that it was still reading.
func TestResponseSurvivesAnUnreadRequestWhileStopping(t *testing.T) {
	const bodyBytes = 3 << 20
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := NewListener(inner, Options{Draining: func() bool { return true }})
	started := make(chan struct{}, 1)
	server := &http.Server{
		ErrorLog: log.New(io.Discard, "", 0), ConnContext: ConnContext,
		Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Content-Length", fmt.Sprint(bodyBytes))
			started <- struct{}{}
			_, _ = w.Write(make([]byte, bodyBytes))
		}), func(*http.Request) bool { return true }),
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	caller, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	request := []byte("GET /i/ HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := caller.Write(request); err != nil {
		t.Fatal(err)
	}
	<-started
	if _, err := caller.Write(request); err != nil { // stays unread
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // the caller reads slowly, the server fills the kernel's buffers
	received, err := io.ReadAll(caller)
	if _, body, found := bytes.Cut(received, []byte("\r\n\r\n")); err != nil || !found || len(body) != bodyBytes {
		t.Fatalf("caller received %d of %d bytes: %v", len(body), bodyBytes, err)
	}
}
