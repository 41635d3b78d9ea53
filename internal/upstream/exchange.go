package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Headers and paths that upstreams may use.
const (
	HeaderRequestID = "Lovage-Request-Id"
	HeaderWorkspace = "Lovage-Workspace"
	HeaderOutcome   = "Lovage-Upstream-Outcome"
	HeaderDraining  = "Lovage-Upstream-Draining"
	// HeaderTimeout carries the time left, in milliseconds.
	HeaderTimeout = "Lovage-Timeout-Ms"
	OutcomeNotRun = "not-run"
	PathHealth    = "/lovage/health"
)

// MaxAnswerBytes bounds the body of an answer.
const MaxAnswerBytes = 8 << 20

// Report is what an upstream says of its health and load. It lags or misleads
// and only ever lowers trust.
type Report struct {
	Healthy  bool `json:"healthy"`
	InFlight int  `json:"in_flight"`
	Draining bool `json:"draining"`
}

// Phase is a step of an exchange.
type Phase string

// The phases of an exchange.
const (
	PhaseDial   Phase = "dial"
	PhaseWrite  Phase = "write"
	PhaseRead   Phase = "read"
	PhaseVerify Phase = "verify"
)

// ExchangeError reports an exchange without a whole answer.
type ExchangeError struct {
	Endpoint string
	Phase    Phase
	// Reused is true when the connection had carried another request.
	Reused bool
	Cause  error
}

// Error implements the error interface.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange with endpoint %q failed at %s: %v", e.Endpoint, e.Phase, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// MayHaveRun reports whether the upstream can have begun the request.
func (e *ExchangeError) MayHaveRun() bool { return e.Phase != PhaseDial }

// ConnectionLost reports whether the upstream closed or reset the connection
// while it had the request.
func (e *ExchangeError) ConnectionLost() bool {
	if e.Phase != PhaseWrite && e.Phase != PhaseRead {
		return false
	}
	return errors.Is(e.Cause, io.EOF) || errors.Is(e.Cause, io.ErrUnexpectedEOF) ||
		errors.Is(e.Cause, syscall.ECONNRESET) || errors.Is(e.Cause, syscall.EPIPE)
}

// MismatchError reports an answer that belongs to another request.
type MismatchError struct{ Want, Found string }

// Error implements the error interface.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer belongs to request %q, not %q", e.Found, e.Want)
}

// AnswerTooLargeError reports an answer above MaxAnswerBytes.
type AnswerTooLargeError struct{ Limit int }

// Error implements the error interface.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("answer is above the limit of %d bytes", e.Limit)
}

// maxForeign bounds the answers that are read before the request's own one.
const maxForeign = 3

// maxInterim bounds the interim answers (1xx) to one request.
const maxInterim = 8

// NotFinalError reports interim answers without a final one.
type NotFinalError struct{}

// Error implements the error interface.
func (e *NotFinalError) Error() string { return "upstream sent interim answers and no final one" }

// UndelimitedError reports an answer that ends with its connection, so that a
// cut one would look whole.
type UndelimitedError struct{ Status int }

// Error implements the error interface.
func (e *UndelimitedError) Error() string {
	return fmt.Sprintf("answer with status %d does not say where its body ends", e.Status)
}

// Request is one request to an upstream. Its body is held whole, so that a
// lookup can be tried again.
type Request struct {
	ID     string
	Method string
	// Host is the Host header; empty is the endpoint's address.
	Host string
	// Instance is the endpoint that is expected at the address; empty is any.
	Instance string
	// Target is the path with its query.
	Target string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection.
	Fresh bool
}

// Answer is one whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// NotRun reports whether the upstream refused the request before work.
func (a *Answer) NotRun() bool { return a.Header.Get(HeaderOutcome) == OutcomeNotRun }

// Draining reports whether the upstream announced that it leaves.
func (a *Answer) Draining() bool { return a.Header.Get(HeaderDraining) == "true" }

// Exchange sends the request and returns its whole answer by the deadline of
// ctx. When ctx ends the connection is closed, which cancels the request at
// the upstream. It returns an *ExchangeError.
func (p *Pool) Exchange(ctx context.Context, request *Request) (*Answer, error) {
	c, err := p.take(ctx, request.Fresh)
	if err != nil {
		return nil, &ExchangeError{Endpoint: p.address, Phase: PhaseDial, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	answer, keep, phase, err := exchange(ctx, c, p.address, p.dialect, request)
	if !stop() {
		keep = false
	}
	if err != nil || !keep {
		p.discard(c)
	} else {
		p.put(c, time.Now().Add(keptFor(answer.Header, p.idleTime)))
	}
	if err != nil {
		return nil, &ExchangeError{Endpoint: p.address, Phase: phase, Reused: c.reused, Cause: err}
	}
	return answer, nil
}

func exchange(ctx context.Context, c *connection, address string, dialect *Dialect, request *Request) (answer *Answer, keep bool, phase Phase, err error) {
	outgoing := request.encode(ctx, address, dialect)
	written, err := c.conn.Write(outgoing)
	if err != nil && written == 0 && !c.reused {
		return nil, false, PhaseDial, err
	}
	if err != nil {
		return nil, false, PhaseWrite, err
	}
	for range maxForeign {
		answer, keep, phase, err = readAnswer(c, dialect, request)
		var mismatch *MismatchError
		if err == nil || !keep || !dialect.SkipForeign || !errors.As(err, &mismatch) {
			break
		}
	}
	return answer, keep && err == nil, phase, err
}

// readAnswer reads one answer. With a *MismatchError, keep says whether another
// answer may follow on the connection.
func readAnswer(c *connection, dialect *Dialect, request *Request) (answer *Answer, keep bool, phase Phase, err error) {
	incoming, err := readFinal(c.reader, &http.Request{Method: request.Method})
	if err != nil {
		return nil, false, PhaseRead, err
	}
	defer incoming.Body.Close()
	if !dialect.Undelimited && !delimited(incoming, request.Method) {
		return nil, false, PhaseVerify, &UndelimitedError{Status: incoming.StatusCode}
	}
	body, err := readBody(incoming)
	if err != nil {
		return nil, false, PhaseRead, err
	}
	if len(body) > MaxAnswerBytes {
		return nil, false, PhaseVerify, &AnswerTooLargeError{Limit: MaxAnswerBytes}
	}
	if found := incoming.Header.Get(dialect.RequestID); found != request.ID && (found != "" || dialect.mustEcho(incoming.StatusCode, request)) {
		return nil, !incoming.Close, PhaseVerify, &MismatchError{Want: request.ID, Found: found}
	}
	keep = !incoming.Close && c.reader.Buffered() == 0
	return &Answer{Status: incoming.StatusCode, Header: incoming.Header, Body: body}, keep, "", nil
}

// readBody reads a body of at most MaxAnswerBytes and a byte.
func readBody(incoming *http.Response) ([]byte, error) {
	if incoming.Body == http.NoBody {
		return nil, nil
	}
	if incoming.ContentLength >= 0 && incoming.ContentLength <= MaxAnswerBytes {
		body := make([]byte, incoming.ContentLength)
		_, err := io.ReadFull(incoming.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(incoming.Body, MaxAnswerBytes+1))
}

// readFinal reads the answer that ends the exchange and passes over interim
// ones.
func readFinal(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for range maxInterim {
		answer, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
		if answer.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, &NotFinalError{}
}

// delimited reports whether the answer says where its body ends. The end of
// one that does not cannot be told from a connection that was lost.
func delimited(answer *http.Response, method string) bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0 || method == http.MethodHead
}
