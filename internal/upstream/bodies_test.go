package upstream_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/upstream"
)

var _ = Describe("memory of an exchange", func() {
	send := func(pool *upstream.Pool, ctx context.Context, bytes int) chan error {
		result := make(chan error, 1)
		go func() {
			_, err := pool.Exchange(ctx, &upstream.Request{ID: "r1", Method: "POST", Target: "/", Body: make([]byte, bytes)})
			result <- err
		}()
		return result
	}

	// An endpoint crashes if the requests that it holds exceed its memory.
	It("bounds the bodies in flight to one endpoint", func() {
		address, connections := serveAnswers(false)
		pool := upstream.NewPool(address, 1, 0)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		first := send(pool, ctx, upstream.MaxBodyBytesInFlight-1000)
		Eventually(connections, "10s").Should(Receive())
		var err error
		Eventually(send(pool, ctx, 1001), "10s").Should(Receive(&err))
		var limit *upstream.BodyLimitError
		Expect(errors.As(err, &limit)).To(BeTrue())
		var failed *upstream.ExchangeError
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.MayHaveRun()).To(BeFalse())
		small := send(pool, ctx, 1000)
		Eventually(connections, "10s").Should(Receive())
		larger := send(pool, ctx, upstream.MaxBodyBytesInFlight+1)
		Eventually(connections, "10s").Should(Receive(), "one larger body is sent at a time")
		Eventually(send(pool, ctx, upstream.MaxBodyBytesInFlight+1), "10s").Should(Receive(&err))
		Expect(errors.As(err, &limit)).To(BeTrue())
		cancel()
		for _, result := range []chan error{first, small, larger} {
			Eventually(result, "10s").Should(Receive())
		}
		again, stop := context.WithCancel(context.Background())
		defer stop()
		send(pool, again, upstream.MaxBodyBytesInFlight)
		Eventually(connections, "10s").Should(Receive(), "bodies whose exchange has ended do not count")
	})

	// A copy of each body for its write doubled the memory of large bodies.
	It("sends a large body without a copy of it", func() {
		sent := bytes.Repeat([]byte("0123456789"), 400_000)
		received := make(chan bool, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			match := true
			for at, part := 0, make([]byte, 4096); ; {
				n, err := r.Body.Read(part)
				match = match && bytes.Equal(part[:n], sent[at:at+n])
				at += n
				if err != nil {
					received <- match && at == len(sent)
					return
				}
			}
		}))
		DeferCleanup(server.Close)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := upstream.NewPool(server.Listener.Addr().String(), 1, 0).Exchange(context.Background(), &upstream.Request{ID: "r1", Method: "POST", Target: "/", Body: sent})
		runtime.ReadMemStats(&after)
		Expect(err).NotTo(HaveOccurred())
		Expect(received).To(Receive(BeTrue()))
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", len(sent)))
	})

	It("accounts for the body of the answer, whether its length is stated or not", func() {
		chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
		for _, raw := range []string{completeAnswer, chunked} {
			memory := bodymemory.New(10_000)
			held, err := memory.Reserve(bodymemory.Response, 6000)
			Expect(err).NotTo(HaveOccurred())
			address, _ := serveAnswers(false, raw)
			request := &upstream.Request{ID: "r1", Method: "GET", Target: "/", ResponseMemory: held}
			answer, err := upstream.NewPool(address, 1, 0).Exchange(context.Background(), request)
			Expect(err).NotTo(HaveOccurred())
			Expect(memory.Used()).To(BeEquivalentTo(cap(answer.Body)))
		}
	})

	// An answer that does not fit was read without a limit.
	It("ends the exchange if the answer does not fit", func() {
		memory := bodymemory.New(10_000)
		held, err := memory.Reserve(bodymemory.Response, 100)
		Expect(err).NotTo(HaveOccurred())
		address, _ := serveAnswers(false, "HTTP/1.1 200 OK\r\nContent-Length: 10001\r\nLovage-Request-Id: r1\r\n\r\n")
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err = upstream.NewPool(address, 1, 0).Exchange(ctx, &upstream.Request{ID: "r1", Method: "GET", Target: "/", ResponseMemory: held})
		var noMemory *bodymemory.NoMemoryError
		Expect(errors.As(err, &noMemory)).To(BeTrue())
		Expect(memory.Used()).To(BeEquivalentTo(100))
	})
})

var _ = Describe("an exchange whose context has ended", func() {
	// The write on an idle connection won against the deadline that the end of the context
	// sets, so that the request ran for a caller that had disconnected.
	It("sends nothing on an idle connection", func() {
		var requests atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
		}))
		DeferCleanup(server.Close)
		pool := upstream.NewPool(strings.TrimPrefix(server.URL, "http://"), 1, 0)
		request := &upstream.Request{ID: "r1", Method: "POST", Target: "/"}
		_, err := pool.Exchange(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = pool.Exchange(ctx, request)
		var failed *upstream.ExchangeError
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.MayHaveRun()).To(BeFalse())
		Consistently(requests.Load, "100ms").Should(BeEquivalentTo(1))
	})
})
