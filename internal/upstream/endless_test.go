package upstream_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/upstream"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// serveEndlessly answers each connection with the beginning and then repeats a text until
// the caller closes the connection.
func serveEndlessly(beginning, repeated string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	block := []byte(strings.Repeat(repeated, max(64<<10/len(repeated), 1)))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.WriteString(conn, beginning)
				for err == nil {
					_, err = io.Copy(conn, bytes.NewReader(block))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against an endpoint whose answer has no end taking the memory of the process: each
// part of an answer is bounded, and the exchange ends when the bound is reached.
var _ = DescribeTable("an answer without end",
	func(beginning, repeated string, maxBytes int64) {
		const deadline = 5 * time.Second
		address := serveEndlessly(beginning, repeated)
		var read atomic.Int64
		pool := upstream.NewPool(address, 1, 0).WithDialer(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := upstream.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{conn.(*net.TCPConn), &read}, nil
		})
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		_, err := pool.Exchange(ctx, &upstream.Request{ID: "r1", Method: "GET", Target: "/"})
		Expect(err).To(BeAssignableToTypeOf(&upstream.ExchangeError{}))
		Expect(err.(*upstream.ExchangeError).MayHaveRun()).To(BeTrue())
		Expect(ctx.Err()).NotTo(HaveOccurred(), "ended by the bound, not by the deadline")
		Expect(read.Load()).To(BeNumerically("<=", maxBytes))
		Expect(pool.OpenConnections()).To(BeZero())
	},
	Entry("in its status line", "HTTP/1.1 200 ", "x", int64(1<<20)),
	Entry("in a header line", "HTTP/1.1 200 OK\r\nName: ", "x", int64(1<<20)),
	Entry("in its headers", "HTTP/1.1 200 OK\r\n", "Name: value\r\n", int64(1<<20)),
	Entry("in the header of an interim answer", "HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n", int64(1<<20)),
	Entry("of interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", int64(1<<20)),
	Entry("in a chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1024)+"\r\n", int64(2*upstream.MaxAnswerBytes)),
	Entry("in a chunk's length", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", int64(1<<20)),
	Entry("in its trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n", int64(1<<20)),
	Entry("in its trailer's only line", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "x", int64(1<<20)),
)
