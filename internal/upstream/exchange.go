package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/bodymemory"
)

// Headers, header values and paths of the default dialect.
const (
	HeaderRequestID = "Lovage-Request-Id"
	HeaderWorkspace = "Lovage-Workspace"
	HeaderOutcome   = "Lovage-Upstream-Outcome"
	HeaderDraining  = "Lovage-Upstream-Draining"
	// HeaderTimeout carries the remaining time of the request, in milliseconds.
	HeaderTimeout = "Lovage-Timeout-Ms"
	OutcomeNotRun = "not-run"
	PathHealth    = "/lovage/health"
)

// MaxAnswerBytes bounds the body of an answer.
const MaxAnswerBytes = 8 << 20

// Report is an upstream's own statement of its health and load. It may be outdated
// or wrong, so it is only ever used to trust an endpoint less, never more.
type Report struct {
	Healthy  bool `json:"healthy"`
	InFlight int  `json:"in_flight"`
	Draining bool `json:"draining"`
}

// Phase is a stage of an exchange.
type Phase string

// The phases of an exchange.
const (
	PhaseDial   Phase = "dial"
	PhaseWrite  Phase = "write"
	PhaseRead   Phase = "read"
	PhaseVerify Phase = "verify"
)

// ExchangeError reports an exchange that did not produce a complete answer.
type ExchangeError struct {
	Endpoint string
	Phase    Phase
	// Reused is true if the connection had carried an earlier request.
	Reused bool
	Cause  error
}

// Error implements the error interface.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange with endpoint %q failed at %s: %v", e.Endpoint, e.Phase, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// MayHaveRun reports whether the upstream may have begun to run the request.
func (e *ExchangeError) MayHaveRun() bool { return e.Phase != PhaseDial }

// ConnectionLost reports whether the upstream closed or reset the connection
// while the request was being written or its answer was awaited.
func (e *ExchangeError) ConnectionLost() bool {
	if e.Phase != PhaseWrite && e.Phase != PhaseRead {
		return false
	}
	return errors.Is(e.Cause, io.EOF) || errors.Is(e.Cause, io.ErrUnexpectedEOF) ||
		errors.Is(e.Cause, syscall.ECONNRESET) || errors.Is(e.Cause, syscall.EPIPE)
}

// MismatchError reports an answer that belongs to another request, or that lacks
// an identifier which the dialect requires.
type MismatchError struct{ Want, Found string }

// Error implements the error interface.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer belongs to request %q, not %q", e.Found, e.Want)
}

// AnswerTooLargeError reports an answer whose body is larger than MaxAnswerBytes.
type AnswerTooLargeError struct{ Limit int }

// Error implements the error interface.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("answer is above the limit of %d bytes", e.Limit)
}

// maxAnswersPerRequest bounds the answers that are read for one request: answers
// to other requests, which are skipped, and the request's own.
const maxAnswersPerRequest = 3

// maxInterimAnswers is the number of interim answers (1xx) after which an exchange
// without a final one fails.
const maxInterimAnswers = 8

// NotFinalError reports a request that got only interim answers or a switch to
// another protocol, and no final answer.
type NotFinalError struct{}

// Error implements the error interface.
func (e *NotFinalError) Error() string { return "upstream sent interim answers and no final one" }

// InvalidStatusError reports an answer whose status is none of the protocol, such as 000.
type InvalidStatusError struct{ Status string }

// Error implements the error interface.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("answer has the status %q, which the protocol does not have", e.Status)
}

// UndelimitedError reports an answer whose body ends where its connection ends, so
// that a truncated body would look complete.
type UndelimitedError struct{ Status int }

// Error implements the error interface.
func (e *UndelimitedError) Error() string {
	return fmt.Sprintf("answer with status %d does not say where its body ends", e.Status)
}

// Request is one request to an upstream. Its body is buffered completely, so that
// a lookup can be retried.
type Request struct {
	ID     string
	Method string
	// Host is the Host header. If it is empty, the endpoint's address is sent.
	Host string
	// Instance is the instance expected at the address. If it is empty, any is
	// accepted.
	Instance string
	// Target is the path and query.
	Target string
	Header http.Header
	Body   []byte
	// Deadline is until when the endpoint may work on the request. If it is zero, the
	// deadline of the exchange counts.
	Deadline time.Time
	// Fresh asks for a new connection instead of an idle one.
	Fresh bool
	// ResponseMemory accounts for the body of the answer. It may be nil.
	ResponseMemory *bodymemory.Reservation `msgpack:"-"`
}

// Answer is one complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// NotRun reports whether HeaderOutcome states that the upstream refused the request
// before it began any work.
func (a *Answer) NotRun() bool { return a.Header.Get(HeaderOutcome) == OutcomeNotRun }

// Draining reports whether HeaderDraining states that the upstream is draining.
func (a *Answer) Draining() bool { return a.Header.Get(HeaderDraining) == "true" }

// Exchange sends the request and returns its complete answer by the deadline of
// ctx. When ctx ends, the connection is closed, which cancels the request at
// the upstream. On failure it returns an *ExchangeError.
func (p *Pool) Exchange(ctx context.Context, request *Request) (*Answer, error) {
	if err := ctx.Err(); err != nil { // the write could win against the end of ctx
		return nil, &ExchangeError{Endpoint: p.address, Phase: PhaseDial, Cause: err}
	}
	if err := p.bodies.add(len(request.Body)); err != nil {
		return nil, &ExchangeError{Endpoint: p.address, Phase: PhaseDial, Cause: err}
	}
	defer p.bodies.remove(len(request.Body))
	c, err := p.acquire(ctx, request.Fresh)
	if err != nil {
		return nil, &ExchangeError{Endpoint: p.address, Phase: PhaseDial, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	answer, reusable, phase, err := exchange(ctx, c, p.address, p.dialect, request)
	if !stop() {
		reusable = false
	}
	if err != nil || !reusable {
		p.discard(c)
	} else {
		p.release(c, time.Now().Add(connectionIdleTime(answer.Header, p.idleTime)))
	}
	if err != nil {
		return nil, &ExchangeError{Endpoint: p.address, Phase: phase, Reused: c.reused, Cause: err}
	}
	return answer, nil
}

// exchange writes the request and reads its answer on one connection. If the write
// on a new connection fails before its first byte, the request was not sent, so
// the failure counts as one of PhaseDial.
func exchange(ctx context.Context, c *connection, address string, dialect *Dialect, request *Request) (answer *Answer, reusable bool, phase Phase, err error) {
	head, body := request.encode(ctx, address, dialect)
	written, err := writeRequest(c.conn, head, body)
	if err != nil && written == 0 && !c.reused {
		return nil, false, PhaseDial, err
	}
	if err != nil {
		return nil, false, PhaseWrite, err
	}
	for range maxAnswersPerRequest {
		answer, reusable, phase, err = readAnswer(c, dialect, request)
		var mismatch *MismatchError
		if err == nil || !reusable || !dialect.SkipMismatched || !errors.As(err, &mismatch) {
			break
		}
	}
	return answer, reusable && err == nil, phase, err
}

// writeRequest writes the head and the body of a request without copying them.
func writeRequest(conn net.Conn, head, body []byte) (written int64, err error) {
	if len(body) == 0 {
		n, err := conn.Write(head)
		return int64(n), err
	}
	buffers := net.Buffers{head, body}
	return buffers.WriteTo(conn)
}

// readAnswer reads one final answer. With a *MismatchError, reusable tells whether
// another answer may follow on the connection.
func readAnswer(c *connection, dialect *Dialect, request *Request) (answer *Answer, reusable bool, phase Phase, err error) {
	c.head.beginHead()
	response, err := readFinalAnswer(c.reader, &http.Request{Method: request.Method})
	c.head.endHead()
	if err != nil {
		return nil, false, PhaseRead, err
	}
	// The body is not closed: Close would read what is left of it, which may have no end. On
	// failure the connection is closed.
	if !dialect.AllowUndelimited && !isDelimited(response, request.Method) {
		return nil, false, PhaseVerify, &UndelimitedError{Status: response.StatusCode}
	}
	body, err := readBody(response, request.ResponseMemory)
	if err != nil {
		return nil, false, PhaseRead, err
	}
	if len(body) > MaxAnswerBytes {
		return nil, false, PhaseVerify, &AnswerTooLargeError{Limit: MaxAnswerBytes}
	}
	if found := response.Header.Get(dialect.RequestIDHeader); found != request.ID && (found != "" || dialect.requiresEcho(response, request, c.reused)) {
		return nil, !response.Close, PhaseVerify, &MismatchError{Want: request.ID, Found: found}
	}
	reusable = !response.Close && c.reader.Buffered() == 0
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, reusable, "", nil
}

// readBody reads at most MaxAnswerBytes + 1 bytes of the body: the extra byte shows
// that the body is too large. A body for which memory has no room is not read and gives a
// *bodymemory.NoMemoryError.
func readBody(response *http.Response, memory *bodymemory.Reservation) ([]byte, error) {
	if response.Body == http.NoBody {
		return nil, nil
	}
	if response.ContentLength >= 0 && response.ContentLength <= MaxAnswerBytes {
		return memory.ReadBody(response.Body, response.ContentLength)
	}
	return memory.ReadBody(io.LimitReader(response.Body, MaxAnswerBytes+1), -1)
}

// readFinalAnswer reads the final answer of an exchange and skips interim ones. A
// switch to another protocol (101) is not a final answer.
func readFinalAnswer(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for range maxInterimAnswers {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode < http.StatusContinue {
			return nil, &InvalidStatusError{Status: response.Status}
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, &NotFinalError{}
}

// isDelimited reports whether the answer states where its body ends. If it does
// not, the end of its body cannot be told from a lost connection.
func isDelimited(response *http.Response, method string) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || method == http.MethodHead
}
