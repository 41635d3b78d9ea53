package pipeline

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// headLimits returns limits of 1,000 bytes.
func headLimits(memory Memory) *HeadLimits {
	return &HeadLimits{MaxBytes: func() int { return 1000 }, Memory: memory, Refusal: func(tooLarge bool) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 503 refused\r\nX-Too-Large: %v\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", tooLarge)
	}}
}

// sharedMemory grants a number of bytes in total.
type sharedMemory struct {
	mu     sync.Mutex
	amount int64
}

func newSharedMemory(amount int64) *sharedMemory { return &sharedMemory{amount: amount} }

func (m *sharedMemory) Reserve(n int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.amount {
		return fmt.Errorf("%d bytes are left", m.amount)
	}
	m.amount -= n
	return nil
}

func (m *sharedMemory) Release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.amount += n
}

func (m *sharedMemory) left() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.amount
}

// Guards against heads that are bounded only once they are complete: the refusal must come while the
// caller still sends, also if it sends fields without end or one field without end.
func TestHeadAboveTheLimitIsRefusedWhileItIsRead(t *testing.T) {
	for _, endless := range []string{strings.Repeat("a:\r\n", 2000), strings.Repeat("x", 3000), strings.Repeat("ab: c\r\n", 600)} {
		serve(t, Options{Heads: headLimits(nil)}, func(g *WithT, s *testServer) {
			s.send(get("/i/1"), "GET /i/2 HTTP/1.1\r\nHost: h\r\n"+endless)
			started, received := s.after(time.Second)
			g.Expect(started).To(Equal([]string{"GET /i/1"}))
			g.Expect(received).To(HaveSuffix("HTTP/1.1 503 refused\r\nX-Too-Large: true\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
			g.Expect(s.listener.refusedHeads.Count()).To(BeEquivalentTo(1))
		})
	}
}

// Guards against a refusal of heads inside the limit, whose size counts no separators.
func TestHeadInsideTheLimitIsServed(t *testing.T) {
	serve(t, Options{Heads: headLimits(newSharedMemory(1 << 20))}, func(g *WithT, s *testServer) {
		fields := strings.Repeat("a:\r\n", 900) + strings.Repeat("b: c\r\n", 45)
		s.send("GET /i/many HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n")
		_, received := s.after(0)
		g.Expect(received).To(ContainSubstring("GET /i/many h []"))
	})
}

// Guards against heads of many short fields, which take much more memory than their text, that
// nobody counts, and against memory that is kept after the request.
func TestMemoryOfHeadsIsCountedUntilTheRequestEnds(t *testing.T) {
	memory := newSharedMemory(1 << 20)
	large := "Host: h\r\n" + strings.Repeat("a:\r\n", 800) + "\r\n"
	serve(t, Options{Heads: headLimits(memory)}, func(g *WithT, s *testServer) {
		s.send("GET /i/slow HTTP/1.1\r\n" + large)
		held := 1<<20 - memory.left()
		g.Expect(held).To(And(BeNumerically(">=", 800*fieldBytes-freeHeadBytes), BeNumerically("<", 1<<19)))
		s.after(2 * time.Second)
		s.send(get("/i/1"))
		g.Expect(memory.left()).To(BeEquivalentTo(1<<20), "a small head needs nothing")
		s.send("GET /i/2 HTTP/1.1\r\n" + strings.TrimSuffix(large, "\r\n"))
		g.Expect(memory.left()).To(BeNumerically("<", 1<<20))
		g.Expect(s.caller.Close()).To(Succeed())
		s.after(0)
		g.Expect(memory.left()).To(BeEquivalentTo(1 << 20))
	})
	memory = newSharedMemory(headStepBytes)
	serve(t, Options{Heads: headLimits(memory)}, func(g *WithT, s *testServer) {
		s.send("GET /i/2 HTTP/1.1\r\n" + large)
		started, received := s.after(time.Second)
		g.Expect(started).To(BeEmpty())
		g.Expect(received).To(ContainSubstring("X-Too-Large: false"), "the caller is told that nothing ran")
		g.Expect(memory.left()).To(BeEquivalentTo(headStepBytes))
	})
}

// Guards against a crowd of large heads that stop short of their end and keep out the next one.
func TestLargestHeadGivesWayToASmallerOne(t *testing.T) {
	memory := newSharedMemory(800 * fieldBytes)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		options := Options{Heads: headLimits(memory)}
		first := new(testServer).start(t, true, options)
		second := new(testServer).start(t, true, options)
		second.listener.heads = first.listener.heads
		first.send("GET /i/1 HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 700))
		second.send("GET /i/2 HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 300) + "\r\n")
		_, received := second.after(time.Second)
		g.Expect(received).To(ContainSubstring("GET /i/2 h []"))
		_, received = first.after(time.Second)
		g.Expect(received).To(ContainSubstring("X-Too-Large: false"))
	})
}

// Guards against heads without a bound behind a request whose end is unknown.
func TestHeadsBehindAnUnknownEndAreLimited(t *testing.T) {
	memory := newSharedMemory(64 << 10)
	serve(t, Options{Heads: headLimits(memory)}, func(g *WithT, s *testServer) {
		s.send("GET /i/1 HTTP/1.1\r\nHost: h\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n")
		s.send("GET /i/2 HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 900))
		started, received := s.after(time.Second)
		g.Expect(started).To(Equal([]string{"GET /i/1"}))
		g.Expect(received).To(ContainSubstring("X-Too-Large: false"))
		g.Expect(memory.left()).To(BeEquivalentTo(64 << 10))
	})
}

// Guards against requests that are started early without memory for them.
func TestRequestsStartEarlyOnlyWithMemory(t *testing.T) {
	memory := newSharedMemory(earlyBytes + 4000)
	serve(t, Options{Heads: headLimits(memory)}, func(g *WithT, s *testServer) {
		s.send(get("/i/slow1", "/i/slow2", "/i/slow3"))
		started, _ := s.after(0)
		g.Expect(started).To(HaveLen(2))
		_, received := s.after(4 * time.Second)
		g.Expect(bodies(received)).To(Equal([]string{"/i/slow1", "/i/slow2", "/i/slow3"}))
		g.Expect(memory.left()).To(BeEquivalentTo(earlyBytes + 4000))
	})
}

// Guards against a head that was read ahead and parsed, and whose memory is not reserved while its
// body does not arrive.
func TestParsedHeadsAreCountedWhileTheirBodiesAreMissing(t *testing.T) {
	memory := newSharedMemory(1 << 20)
	head := "GET /i/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n" + strings.Repeat("a:\r\n", 800) + "\r\n"
	serve(t, Options{Heads: headLimits(memory)}, func(g *WithT, s *testServer) {
		s.send(get("/i/slow1"), head)
		g.Expect(memory.left()).To(BeNumerically("<", 1<<20-800*fieldBytes))
		s.send("hello")
		_, received := s.after(3 * time.Second)
		g.Expect(received).To(HaveSuffix("GET /i/2 h [hello]"))
		s.send(get("/i/3"))
		g.Expect(memory.left()).To(BeEquivalentTo(1 << 20))
		s.send(get("/i/slow4"), head)
		g.Expect(s.caller.Close()).To(Succeed())
		s.after(2 * time.Second)
		g.Expect(memory.left()).To(BeEquivalentTo(1 << 20))
	})
}

// Guards against trailers of many short fields that are kept as long as their request.
func TestTrailersAreDropped(t *testing.T) {
	var request *http.Request
	next := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		request = r
	})
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: Handler(next, func(*http.Request) bool { return false }), ConnContext: ConnContext}
	go func() { _ = server.Serve(NewListener(inner, Options{})) }()
	defer server.Close()
	caller, err := net.Dial("tcp", inner.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\na: b\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	received, err := io.ReadAll(caller)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(received)).To(HavePrefix("HTTP/1.1 200 OK"))
	g.Expect(request.Trailer).To(BeEmpty())
}

// Guards against a head that must give way between two reads, and is refused within the body of its
// request instead, behind what lay in the buffer.
func TestHeadGivesWayBeforeWhatWasReadWithIt(t *testing.T) {
	g := NewWithT(t)
	serverSide, callerSide := net.Pipe()
	defer callerSide.Close()
	c := newConn(serverSide, NewListener(&pipeListener{}, Options{Heads: headLimits(newSharedMemory(1 << 20))}))
	c.buffer.append([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"))
	g.Expect(c.reserveHead(headStepBytes)).To(BeTrue())
	g.Expect(c.giveWay()).To(BeTrue())
	received := make(chan string, 1)
	go func() {
		refusal := make([]byte, 100)
		n, _ := callerSide.Read(refusal)
		received <- string(refusal[:n])
	}()
	n, err := c.Read(make([]byte, 100))
	g.Expect(n).To(BeZero())
	g.Expect(err).To(MatchError(errHeadRefused))
	g.Expect(<-received).To(HavePrefix("HTTP/1.1 503 refused"))
	g.Expect(c.giveWay()).To(BeFalse())
}
