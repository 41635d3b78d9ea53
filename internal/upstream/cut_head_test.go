package upstream_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/upstream"
)

// Guards against an answer that its endpoint cut in the head and that counts as whole: callers
// would get a success with an empty or short body. Each answer is cut before each byte of its head
// and, if it states its length, of its body; the endpoint then closes the connection.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	dialect := &upstream.Dialect{RequestIDHeader: "Id", TimeoutHeader: "Timeout", EchoRequired: true, SkipMismatched: true, AllowUndelimited: true}
	const id = "Id: r1\r\n"
	for name, test := range map[string]struct {
		answer, method string
		// undelimited is set if the body ends with the connection.
		undelimited bool
	}{
		"with a length":         {"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 5\r\n\r\nwhole", "GET", false},
		"length after stamp":    {"HTTP/1.1 200 OK\r\n" + id + "Stamp: s\r\nContent-Length: 12\r\n\r\nwhole answer", "POST", false},
		"chunked":               {"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "GET", false},
		"chunked with trailer":  {"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nStamp: s\r\n\r\n", "GET", false},
		"ended by close":        {"HTTP/1.1 200 OK\r\n" + id + "Connection: close\r\n\r\nwhole", "GET", true},
		"after interim answers": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 0\r\n\r\n", "POST", false},
		"bare line feeds":       {"HTTP/1.1 200 OK\nId: r1\nContent-Length: 5\n\nwhole", "GET", false},
		"folded field":          {"HTTP/1.1 200 OK\r\n" + id + "X: a\r\n b\r\nContent-Length: 5\r\n\r\nwhole", "GET", false},
		"to HEAD":               {"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 5\r\n\r\n", "HEAD", false},
	} {
		t.Run(name, func(t *testing.T) {
			end := len(test.answer)
			if test.undelimited {
				end = strings.Index(test.answer, "\r\n\r\n") + len("\r\n\r\n")
			}
			for cut := range end {
				if err := exchangeCut(dialect, test.method, test.answer[:cut]); err != nil {
					t.Errorf("cut after %q: %v", test.answer[:cut], err)
				}
			}
			if err := exchangeCut(dialect, test.method, test.answer); err == nil {
				t.Error("the whole answer is no answer")
			}
		})
	}
}

// exchangeCut returns an error unless an exchange in which the endpoint writes the given bytes and
// closes the connection fails, and its request may have run.
func exchangeCut(dialect *upstream.Dialect, method, answer string) error {
	client, server, err := tcpPair()
	if err != nil {
		return err
	}
	go writeAnswers(server, true, []string{answer})
	pool := upstream.NewDialectPool("endpoint", dialect, time.Minute, 1, 0).WithDialer(client)
	got, err := pool.Exchange(context.Background(), &upstream.Request{ID: "r1", Method: method, Target: "/"})
	var exchangeErr *upstream.ExchangeError
	switch {
	case err == nil:
		return fmt.Errorf("answer with status %d and body %q", got.Status, got.Body)
	case !errors.As(err, &exchangeErr) || !exchangeErr.MayHaveRun():
		return fmt.Errorf("failed with %w", err)
	}
	return nil
}

// tcpPair returns the server's end of a connection and a dialer that returns the client's end.
func tcpPair() (upstream.DialFunc, net.Conn, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	server, err := listener.Accept()
	return func(context.Context, string) (net.Conn, error) { return client, nil }, server, err
}
