package upstream

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Dialect describes how the requests to an upstream's endpoints and their answers
// carry metadata, by header name, and which answers are accepted.
type Dialect struct {
	// RequestIDHeader names the header that carries a request's identifier and
	// its echo in the answer.
	RequestIDHeader string
	// TimeoutHeader names the header that carries the remaining time of a
	// request, in whole milliseconds.
	TimeoutHeader string
	// InstanceHeader names the header that carries the instance expected at the
	// address; an endpoint that is another instance refuses the request. It is
	// empty if the endpoints have no such header.
	InstanceHeader string
	// EchoRequired rejects an answer that does not echo the request's identifier. Without
	// it, only the statement that a request was not run needs the echo, and only on a
	// connection that carried another request: it may be that one's.
	EchoRequired bool
	// SkipMismatched skips answers to other requests that arrive on a connection
	// before the answer to the current one.
	SkipMismatched bool
	// AllowUndelimited accepts an answer whose body ends where its connection ends.
	AllowUndelimited bool
	// NotRun reports whether an answer states that the endpoint did not run the
	// request.
	NotRun func(status int, header http.Header) bool
	// Leaving reports whether an answer states that the endpoint is leaving and gets no
	// new requests.
	Leaving func(header http.Header) bool
	// Pause returns for how long the endpoint wants no requests according to an answer,
	// or 0. With a value that cannot be used it also returns an error that names the
	// value; the pause is then the one to keep instead.
	Pause func(status int, header http.Header) (time.Duration, error)
	// Limit returns the requests per second that the endpoint takes from all instances
	// together according to an answer, and whether the answer names such a limit. With a
	// value that cannot be used it returns no limit and an error that names the value.
	Limit func(header http.Header) (perSecond float64, named bool, err error)
}

// defaultDialect uses the Lovage-* headers that the package comment describes.
var defaultDialect = &Dialect{
	RequestIDHeader: HeaderRequestID,
	TimeoutHeader:   HeaderTimeout,
	NotRun: func(_ int, header http.Header) bool {
		return header.Get(HeaderOutcome) == OutcomeNotRun
	},
	Leaving: func(header http.Header) bool { return header.Get(HeaderDraining) == "true" },
	Pause:   func(int, http.Header) (time.Duration, error) { return 0, nil },
	Limit:   func(http.Header) (float64, bool, error) { return 0, false, nil },
}

// requiresEcho reports whether an answer must echo the request's identifier. reused is set on a
// connection that carried another request before.
func (d *Dialect) requiresEcho(response *http.Response, request *Request, reused bool) bool {
	if request.ID == "" {
		return false
	}
	return d.EchoRequired || (reused && d.NotRun(response.StatusCode, response.Header))
}

// maxCopiedBodyBytes is the size above which a body is not copied behind its head: the copies
// would double the memory of large bodies.
const maxCopiedBodyBytes = 16 << 10

// encode returns the request's bytes on the wire: the head, with the body behind it if that
// is small, and the body to write after it otherwise. The target and the header fields are
// written unchanged; the length of a body is always stated.
func (r *Request) encode(ctx context.Context, address string, dialect *Dialect) (head, body []byte) {
	const typicalHeaderBytes = 768
	copied := len(r.Body)
	if copied > maxCopiedBodyBytes {
		copied = 0
	}
	out := make([]byte, 0, typicalHeaderBytes+copied)
	out = append(out, r.Method...)
	out = append(out, ' ')
	out = append(out, r.Target...)
	out = append(out, " HTTP/1.1\r\n"...)
	host := r.Host
	if host == "" {
		host = address
	}
	out = appendField(out, "Host", host)
	for name, values := range r.Header {
		if dialect.setsHeader(name) {
			continue
		}
		for _, value := range values {
			out = appendField(out, name, value)
		}
	}
	if r.ID != "" {
		out = appendField(out, dialect.RequestIDHeader, r.ID)
	}
	if r.Instance != "" && dialect.InstanceHeader != "" {
		out = appendField(out, dialect.InstanceHeader, r.Instance)
	}
	deadline, set := ctx.Deadline()
	if !r.Deadline.IsZero() {
		deadline, set = r.Deadline, true
	}
	if set {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		out = appendField(out, dialect.TimeoutHeader, strconv.FormatInt(remaining, 10))
	}
	if len(r.Body) > 0 || methodHasBody(r.Method) {
		out = appendField(out, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	out = append(out, "\r\n"...)
	return append(out, r.Body[:copied]...), r.Body[copied:]
}

// setsHeader reports whether encode sets the header itself, so that the
// request's own fields of that name are left out.
func (d *Dialect) setsHeader(name string) bool {
	return strings.EqualFold(name, d.RequestIDHeader) || strings.EqualFold(name, d.TimeoutHeader) ||
		strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Host") ||
		(d.InstanceHeader != "" && strings.EqualFold(name, d.InstanceHeader))
}

func appendField(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// methodHasBody reports whether requests of the method usually have a body and so
// state a length of 0 when it is empty.
func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// keepAliveMargin is subtracted from the endpoint's idle timeout, so that a
// connection is not reused just as the endpoint closes it.
const keepAliveMargin = time.Second

// connectionIdleTime returns how long a connection may stay idle and still be
// reused: the timeout of the answer's Keep-Alive header minus keepAliveMargin, at
// most limit. Without that header it is limit.
func connectionIdleTime(header http.Header, limit time.Duration) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil {
			return min(limit, max(time.Duration(seconds)*time.Second-keepAliveMargin, 0))
		}
	}
	return limit
}
