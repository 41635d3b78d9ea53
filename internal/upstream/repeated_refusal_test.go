package upstream_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/upstream"
)

// Guards against an endpoint that writes an earlier refusal once more on a kept connection: the
// request that it then runs would count as not run, so that the caller is told so or it runs at a
// second endpoint.
var _ = Describe("an earlier refusal that is written once more", func() {
	const (
		refusalWithoutID = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		refusalOfFirst   = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: r1\r\nContent-Length: 0\r\n\r\n"
		answerToSecond   = "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 5\r\n\r\nwhole"
	)
	notRun := func(_ int, header http.Header) bool { return header.Get("Not-Run") != "" }
	strict := &upstream.Dialect{RequestIDHeader: "Id", TimeoutHeader: "Timeout", EchoRequired: true, SkipMismatched: true, NotRun: notRun}
	lenient := &upstream.Dialect{RequestIDHeader: "Id", TimeoutHeader: "Timeout", NotRun: notRun}
	exchange := func(pool *upstream.Pool, id string) (*upstream.Answer, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return pool.Exchange(ctx, &upstream.Request{ID: id, Method: "POST", Target: "/"})
	}

	DescribeTable("is passed over where endpoints echo identifiers",
		func(repeated string) {
			address, connections := serveAnswers(false, refusalOfFirst, repeated+answerToSecond)
			pool := upstream.NewDialectPool(address, strict, time.Minute, 1, 0)
			answer, err := exchange(pool, "r1")
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Status).To(Equal(http.StatusServiceUnavailable))
			answer, err = exchange(pool, "r2")
			Expect(err).NotTo(HaveOccurred())
			Expect(string(answer.Body)).To(Equal("whole"))
			Expect(connections).To(HaveLen(1), "the connection is in use again")
		},
		Entry("with its identifier", refusalOfFirst),
		Entry("without an identifier", refusalWithoutID),
		Entry("twice", refusalOfFirst+refusalWithoutID),
	)

	DescribeTable("leaves the outcome unknown if no answer follows",
		func(dialect *upstream.Dialect, repeated string) {
			address, _ := serveAnswers(false, refusalOfFirst, repeated)
			pool := upstream.NewDialectPool(address, dialect, time.Minute, 1, 0)
			_, err := exchange(pool, "r1")
			Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err = pool.Exchange(ctx, &upstream.Request{ID: "r2", Method: "POST", Target: "/"})
			var exchangeErr *upstream.ExchangeError
			Expect(err).To(BeAssignableToTypeOf(exchangeErr))
			Expect(err.(*upstream.ExchangeError).MayHaveRun()).To(BeTrue())
		},
		Entry("identifiers echoed: with the earlier one", strict, refusalOfFirst),
		Entry("identifiers echoed: without one", strict, refusalWithoutID),
		Entry("identifiers not always echoed: with the earlier one", lenient, refusalOfFirst),
		Entry("identifiers not always echoed: without one", lenient, refusalWithoutID),
	)

	It("is believed without an identifier on a new connection where identifiers are not always echoed", func() {
		address, _ := serveAnswers(false, refusalWithoutID)
		answer, err := exchange(upstream.NewDialectPool(address, lenient, time.Minute, 1, 0), "r1")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Status).To(Equal(http.StatusServiceUnavailable))
	})
})
