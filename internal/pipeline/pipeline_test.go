package pipeline

import (
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// serve runs a test with a pipelined server in a bubble, whose clock stands still while
// the server computes.
func serve(t *testing.T, options Options, test func(g *WithT, s *testServer)) {
	synctest.Test(t, func(t *testing.T) {
		test(NewWithT(t), new(testServer).start(t, true, options))
	})
}

var echo = regexp.MustCompile(`GET (/[^ ]*) h \[`)

// bodies returns the paths in the received responses, in order.
func bodies(received string) (paths []string) {
	for _, match := range echo.FindAllStringSubmatch(received, -1) {
		paths = append(paths, match[1])
	}
	return paths
}

// Guards against requests that wait for those before them, and against responses that
// overtake earlier ones.
func TestIdempotentRequestsRunTogetherAndAreAnsweredInOrder(t *testing.T) {
	serve(t, Options{}, func(g *WithT, s *testServer) {
		s.send(get("/i/slow1", "/i/2", "/i/slow3", "/i/4"))
		started, received := s.after(0)
		g.Expect(started).To(ConsistOf("GET /i/slow1", "GET /i/2", "GET /i/slow3", "GET /i/4"))
		g.Expect(received).To(BeEmpty())
		descriptions := s.listener.Describe(time.Now())
		g.Expect(descriptions).To(HaveLen(1))
		g.Expect(descriptions[0].Requests).To(Equal([]string{"/i/2", "/i/slow3", "/i/4"}))
		g.Expect(descriptions[0].Ready).To(Equal(2))
		_, received = s.after(time.Second)
		g.Expect(bodies(received)).To(Equal([]string{"/i/slow1", "/i/2", "/i/slow3", "/i/4"}))
		g.Expect(s.listener.used.Count()).To(BeEquivalentTo(3))
		g.Expect(s.listener.Describe(time.Now())).To(BeEmpty())
	})
}

// Guards against requests that run although the connection may be closed by the response
// to an at-most-once request before them, and at-most-once requests that run early.
func TestRequestsBehindAnAtMostOnceRequestWaitForItsResponse(t *testing.T) {
	serve(t, Options{}, func(g *WithT, s *testServer) {
		s.send(get("/i/slow1", "/i/2", "/a/slow3", "/i/slow4", "/i/5"))
		started, _ := s.after(0)
		g.Expect(started).To(ConsistOf("GET /i/slow1", "GET /i/2"))
		started, _ = s.after(time.Second)
		g.Expect(started).To(HaveLen(3))
		started, received := s.after(time.Second)
		g.Expect(started).To(HaveLen(5))
		g.Expect(bodies(received)).To(Equal([]string{"/i/slow1", "/i/2", "/a/slow3"}))
	})
}

// Guards against requests and bytes that are read without limit.
func TestReadingAheadIsLimited(t *testing.T) {
	serve(t, Options{}, func(g *WithT, s *testServer) {
		paths := strings.Fields(strings.Repeat("/i/slow ", 30))
		s.send(get(paths...))
		started, _ := s.after(0)
		g.Expect(started).To(HaveLen(1 + DefaultMaxRequests))
		g.Expect(s.listener.stalls.Count()).To(BeEquivalentTo(1))
		_, received := s.after(4 * time.Second)
		g.Expect(bodies(received)).To(HaveLen(30))
	})
	serve(t, Options{}, func(g *WithT, s *testServer) {
		s.send(get("/i/slow"), "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n", strings.Repeat("x", 200_000))
		s.after(0)
		s.conn.mu.Lock()
		g.Expect(s.conn.buffer.len()).To(Equal(DefaultMaxBytes))
		s.conn.mu.Unlock()
		_, received := s.after(time.Second)
		g.Expect(received).To(ContainSubstring(strings.Repeat("x", 200_000)))
	})
}

// Guards against requests that keep running for a caller that has disconnected.
func TestDisconnectCancelsAllRequestsOfTheConnection(t *testing.T) {
	serve(t, Options{}, func(g *WithT, s *testServer) {
		s.send(get("/i/slow1", "/i/slow2", "/a/slow3", "/i/slow4"))
		g.Expect(s.caller.Close()).To(Succeed())
		started, _ := s.after(0)
		g.Expect(s.canceled).To(ConsistOf("/i/slow1", "/i/slow2"))
		g.Expect(s.listener.Depth()).To(BeZero())
		g.Expect(started).To(HaveLen(2), "nothing runs after the disconnect")
	})
}

// Guards against requests that keep running behind a response that closes the connection.
func TestClosingResponseCancelsTheRequestsBehindIt(t *testing.T) {
	for _, path := range []string{"/i/close", "/i/panic"} {
		serve(t, Options{}, func(g *WithT, s *testServer) {
			s.send(get("/i/slow1", path, "/i/slow-3", "/i/slow-4"))
			_, received := s.after(999 * time.Millisecond)
			g.Expect(received).To(BeEmpty())
			s.send(get("/i/slow5"))
			_, received = s.after(time.Millisecond)
			g.Expect(bodies(received)).To(HaveLen(strings.Count(path, "close") + 1))
			g.Expect(s.canceled).To(ContainElement("/i/slow5"))
			g.Expect(s.listener.Depth()).To(BeZero())
		})
	}
}

// Guards against requests of a stopping process that were read completely and are cut off,
// and against reading on behind the last one.
func TestDrainAnswersWhatWasReadAndClosesWithTheLastResponse(t *testing.T) {
	serve(t, Options{}, func(g *WithT, s *testServer) {
		s.send(get("/i/slow1", "/i/slow2", "/a/3", "/i/4"), "GET /i/incomplete")
		s.draining.Store(true)
		s.send(get("/i/later"))
		started, received := s.after(3 * time.Second)
		g.Expect(bodies(received)).To(Equal([]string{"/i/slow1", "/i/slow2", "/a/3", "/i/4"}))
		g.Expect(started).To(HaveLen(4))
		g.Expect(strings.Count(received, "Connection: close")).To(Equal(1))
		g.Expect(strings.LastIndex(received, "HTTP/1.1 200")).To(BeNumerically("<", strings.Index(received, "Connection: close")))
	})
	serve(t, Options{}, func(g *WithT, s *testServer) {
		s.send(get("/i/slow1", "/i/slow2"))
		s.draining.Store(true)
		_, received := s.after(3 * time.Second)
		g.Expect(bodies(received)).To(HaveLen(2))
		g.Expect(strings.Count(received, "Connection: close")).To(Equal(1))
	})
}

// Guards against responses that are lost or held when no memory is left.
func TestEarlyResponseWaitsForItsTurnWithoutMemory(t *testing.T) {
	serve(t, Options{Memory: &testMemory{limit: minBufferBytes}}, func(g *WithT, s *testServer) {
		s.send(get("/i/slow1", "/i/large2", "/i/3"))
		_, received := s.after(2 * time.Second)
		g.Expect(received).To(ContainSubstring("[" + strings.Repeat("x", 9000) + "]"))
		g.Expect(bodies(received)).To(Equal([]string{"/i/slow1", "/i/large2", "/i/3"}))
		g.Expect(received).To(HaveSuffix("GET /i/3 h []"))
	})
	serve(t, Options{Memory: &testMemory{limit: minBufferBytes}}, func(g *WithT, s *testServer) {
		s.send(get("/i/slow1", "/i/large2"))
		g.Expect(s.caller.Close()).To(Succeed())
		s.after(0) // the bubble fails if a goroutine is left that waits
	})
	serve(t, Options{Memory: &testMemory{}}, func(g *WithT, s *testServer) {
		s.send(get("/i/slow1", "/i/2"), get("/i/3"))
		started, _ := s.after(time.Second / 2)
		g.Expect(len(started)).To(BeNumerically("<=", 2), "nothing more is read")
		_, received := s.after(time.Second)
		g.Expect(bodies(received)).To(Equal([]string{"/i/slow1", "/i/2", "/i/3"}))
	})
}

// Guards against a disconnect that goes unnoticed because the limits allow no more reads,
// and against responses that a reset destroys. It needs a TCP connection.
func TestDisconnectIsNoticedWhileNothingIsRead(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	listener := NewListener(inner, Options{})
	canceled := make(chan string, 10)
	next := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.RequestURI, "close") {
			w.Header().Set("Connection", "close")
			return
		}
		<-r.Context().Done()
		canceled <- r.RequestURI
	})
	server := &http.Server{Handler: Handler(next, func(*http.Request) bool { return true }), ConnContext: ConnContext}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()

	caller, err := net.Dial("tcp", inner.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(caller, get(strings.Fields(strings.Repeat("/i/wait ", 30))...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(listener.Depth).Should(BeEquivalentTo(DefaultMaxRequests))
	g.Expect(caller.Close()).To(Succeed())
	for range 1 + DefaultMaxRequests {
		g.Eventually(canceled).Should(Receive())
	}

	caller, err = net.Dial("tcp", inner.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(caller, get("/i/close", "/i/close")+strings.Repeat("x", 200_000))
	g.Expect(err).NotTo(HaveOccurred())
	received, err := io.ReadAll(caller)
	g.Expect(err).NotTo(HaveOccurred(), "the connection is not reset")
	g.Expect(string(received)).To(HavePrefix("HTTP/1.1 200 OK"))
}
