package operator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lovagescale/internal/listener"
)

// serveText serves a text and what it gets as the body of a PUT.
func serveText(t *testing.T, limits Limits) (address string) {
	opened, err := listener.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			_, _ = io.Copy(w, r.Body)
			return
		}
		_, _ = io.WriteString(w, "text")
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, opened, handler, limits, time.Second) }()
	t.Cleanup(func() { cancel(); <-done })
	return opened.Addr().String()
}

// exchange sends a text on a new connection and returns the first answer.
func exchange(g *WithT, address, text string) (conn net.Conn, status int, body string) {
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	_, err = io.WriteString(conn, text)
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	content, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return conn, response.StatusCode, string(content)
}

// The server of the HTTP library reads up to 256 KiB of a body before it sends the answer, so that a
// client that stopped within the body got none and kept its connection for ever.
func TestRequestsWithUnfinishedBodiesAreAnsweredAndEnded(t *testing.T) {
	address := serveText(t, Limits{})
	for _, framing := range []string{"Content-Length: 1000", "Content-Length: 1000000000", "Transfer-Encoding: chunked"} {
		g := NewWithT(t)
		conn, status, body := exchange(g, address, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n5\r\nhel", framing))
		g.Expect([]any{status, body}).To(Equal([]any{http.StatusOK, "text"}))
		_, err := conn.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(io.EOF), "the connection ends, and not by a reset")
		g.Expect(conn.Close()).To(Succeed())
	}
	g := NewWithT(t)
	_, _, body := exchange(g, address, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nput")
	g.Expect(body).To(Equal("put"))
}

// Guards against clients that take all connections of a listener, whatever they do with them.
func TestCrowdLeavesConnectionsToOthers(t *testing.T) {
	limits := Limits{Listener: listener.Options{Name: "test", Limits: listener.Limits{MaxConns: 4}}}
	address := serveText(t, limits)
	for _, text := range []string{"", "GET / HT", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"} {
		g := NewWithT(t)
		for range 10 {
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, text)
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, status, _ := exchange(g, address, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		g.Expect(status).To(Equal(http.StatusOK))
	}
}
