package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

// serveAnswers answers the requests on each connection with the given answers in
// order, then waits until the client closes the connection. With closeAfterAnswer
// it closes each connection after its first answer. The channel connections gets
// the number of each accepted connection.
func serveAnswers(closeAfterAnswer bool, answers ...string) (address string, connections chan int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	connections = make(chan int, 16)
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections <- n
			go writeAnswers(conn, closeAfterAnswer, answers)
		}
	}()
	return listener.Addr().String(), connections
}

func writeAnswers(conn net.Conn, closeAfterAnswer bool, answers []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, answer)
		if closeAfterAnswer {
			return
		}
	}
	_, _ = io.Copy(io.Discard, reader)
}

const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nLovage-Request-Id: r1\r\n\r\nwhole"

var _ = Describe("Exchange", func() {
	request := func(method string) *upstream.Request {
		return &upstream.Request{ID: "r1", Method: method, Target: "/", Body: []byte("body")}
	}

	DescribeTable("returns complete answers",
		func(rawAnswer, method, body string) {
			address, _ := serveAnswers(false, rawAnswer)
			answer, err := upstream.NewPool(address, 1, 0).Exchange(context.Background(), request(method))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(answer.Body)).To(Equal(body))
			Expect(answer.Status).To(BeNumerically(">=", 200))
		},
		Entry("with a length", completeAnswer, "GET", "whole"),
		Entry("chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "GET", "whole"),
		Entry("after interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+completeAnswer, "POST", "whole"),
		Entry("without content", "HTTP/1.1 204 No Content\r\n\r\n", "GET", ""),
		Entry("to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD", ""),
	)

	DescribeTable("rejects anything but a complete, matching answer and closes the connection",
		func(rawAnswer string, phase upstream.Phase) {
			address, connections := serveAnswers(true, rawAnswer, rawAnswer)
			pool := upstream.NewPool(address, 1, 0)
			_, err := pool.Exchange(context.Background(), request("GET"))
			Expect(err).To(BeAssignableToTypeOf(&upstream.ExchangeError{}))
			Expect(err.(*upstream.ExchangeError).Phase).To(Equal(phase))
			Expect(err.(*upstream.ExchangeError).MayHaveRun()).To(BeTrue())
			_, _ = pool.Exchange(context.Background(), request("GET"))
			Expect(connections).To(HaveLen(2)) // the first connection was not reused
		},
		Entry("truncated in its body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole", upstream.PhaseRead),
		Entry("truncated in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nwhole", upstream.PhaseRead),
		Entry("with a body that ends with its connection", "HTTP/1.1 200 OK\r\n\r\nwhole", upstream.PhaseVerify),
		Entry("to another request", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nLovage-Request-Id: r0\r\n\r\n", upstream.PhaseVerify),
		Entry("not HTTP", "gibberish\r\n\r\n", upstream.PhaseRead),
		Entry("switching to another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", upstream.PhaseRead),
		Entry("empty", "", upstream.PhaseRead),
		Entry("with status 000", "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n", upstream.PhaseRead),
		Entry("with status 000 and a body that looks like an answer",
			"HTTP/1.1 000 \r\nLovage-Request-Id: r1\r\nContent-Length: 77\r\n\r\n"+completeAnswer, upstream.PhaseRead),
		Entry("with a status of fewer than three digits", "HTTP/1.1 099 Unknown\r\n\r\n"+completeAnswer, upstream.PhaseRead),
	)

	It("reuses a connection after a complete answer, but not for a request that asks for a new one", func() {
		address, connections := serveAnswers(false, completeAnswer, completeAnswer)
		pool := upstream.NewPool(address, 1, 0)
		for range 2 {
			_, err := pool.Exchange(context.Background(), request("GET"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(connections).To(HaveLen(1))
		fresh := request("POST")
		fresh.Fresh = true
		_, err := pool.Exchange(context.Background(), fresh)
		Expect(err).NotTo(HaveOccurred())
		Expect(connections).To(HaveLen(2))
	})

	// An endpoint sends an answer twice; the second copy arrives when the connection already
	// carries the next request.
	It("passes over a late second copy of an answer on a connection that is in use again", func() {
		answerTo := func(id, body string) string {
			return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nId: " + id + "\r\n\r\n" + body
		}
		address, connections := serveAnswers(false, answerTo("r1", "first"), answerTo("r1", "first")+answerTo("r2", "other"))
		dialect := &upstream.Dialect{RequestIDHeader: "Id", TimeoutHeader: "Timeout", EchoRequired: true, SkipMismatched: true}
		pool := upstream.NewDialectPool(address, dialect, time.Minute, 1, 0)
		for _, want := range []struct{ id, body string }{{"r1", "first"}, {"r2", "other"}} {
			answer, err := pool.Exchange(context.Background(), &upstream.Request{ID: want.id, Method: "GET", Target: "/"})
			Expect(err).NotTo(HaveOccurred())
			Expect(string(answer.Body)).To(Equal(want.body))
		}
		Expect(connections).To(HaveLen(1), "the connection is in use again")
	})

	It("does not use a connection again on which a second copy of an answer has arrived", func() {
		copySent := make(chan struct{}, 2)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, completeAnswer)
			time.Sleep(20 * time.Millisecond) // so that the copy comes in a segment of its own
			_, _ = io.WriteString(conn, completeAnswer)
			copySent <- struct{}{}
		}))
		DeferCleanup(server.Close)
		pool := upstream.NewPool(server.Listener.Addr().String(), 1, 0)
		for range 2 { // the copy is an answer to the second request too, as far as its identifier tells
			_, err := pool.Exchange(context.Background(), request("GET"))
			Expect(err).NotTo(HaveOccurred())
			Eventually(copySent, "10s").Should(Receive())
			time.Sleep(20 * time.Millisecond)
		}
	})

	It("ends the exchange with an error when its context is canceled", func() {
		address, connections := serveAnswers(false)
		pool := upstream.NewPool(address, 1, 0)
		ctx, cancel := context.WithCancel(context.Background())
		exchangeErr := make(chan error, 1)
		go func() {
			_, err := pool.Exchange(ctx, request("GET"))
			exchangeErr <- err
		}()
		Eventually(connections, "10s").Should(Receive())
		cancel()
		Eventually(exchangeErr, "10s").Should(Receive(BeAssignableToTypeOf(&upstream.ExchangeError{})))
	})

	It("reports that a request cannot have run when nothing listens at the address", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := upstream.NewPool("127.0.0.1:1", 1, 0).Exchange(ctx, request("GET"))
		Expect(err.(*upstream.ExchangeError).MayHaveRun()).To(BeFalse())
	})
})
