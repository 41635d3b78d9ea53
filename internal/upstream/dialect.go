package upstream

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Dialect is what endpoints are told and what they say besides their answers,
// by header name.
type Dialect struct {
	// RequestID carries a request's identifier and its echo in the answer.
	RequestID string
	// Timeout carries the time left, in whole milliseconds.
	Timeout string
	// Instance names the endpoint that is expected at the address; an endpoint
	// that is another one refuses. Empty where endpoints know no such header.
	Instance string
	// EchoRequired says that a success without the echo is no answer.
	EchoRequired bool
	// SkipForeign says that an answer to another request may come before the
	// request's own one on a connection.
	SkipForeign bool
	// Undelimited says that an answer may end with its connection.
	Undelimited bool
	// NotRun reports whether the endpoint states that it did not run the request.
	NotRun func(status int, header http.Header) bool
}

// ownDialect is that of the product's own deployment.
var ownDialect = &Dialect{
	RequestID: HeaderRequestID,
	Timeout:   HeaderTimeout,
	NotRun: func(_ int, header http.Header) bool {
		return header.Get(HeaderOutcome) == OutcomeNotRun
	},
}

// mustEcho reports whether the answer to the request needs its identifier.
func (d *Dialect) mustEcho(status int, request *Request) bool {
	return d.EchoRequired && request.ID != "" && status >= 200 && status < 300
}

// encode returns the request's bytes. The target and the header fields go out as
// they are; the body always has a length.
func (r *Request) encode(ctx context.Context, address string, dialect *Dialect) []byte {
	const typicalHeaderBytes = 768
	out := make([]byte, 0, typicalHeaderBytes+len(r.Body))
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
		if dialect.owns(name) {
			continue
		}
		for _, value := range values {
			out = appendField(out, name, value)
		}
	}
	if r.ID != "" {
		out = appendField(out, dialect.RequestID, r.ID)
	}
	if r.Instance != "" && dialect.Instance != "" {
		out = appendField(out, dialect.Instance, r.Instance)
	}
	if deadline, set := ctx.Deadline(); set {
		left := max(time.Until(deadline).Milliseconds(), 1)
		out = appendField(out, dialect.Timeout, strconv.FormatInt(left, 10))
	}
	if len(r.Body) > 0 || methodHasBody(r.Method) {
		out = appendField(out, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	out = append(out, "\r\n"...)
	return append(out, r.Body...)
}

// owns reports whether the exchange sets the header by itself.
func (d *Dialect) owns(name string) bool {
	return strings.EqualFold(name, d.RequestID) || strings.EqualFold(name, d.Timeout) ||
		strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Host") ||
		(d.Instance != "" && strings.EqualFold(name, d.Instance))
}

func appendField(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// methodHasBody reports whether a request of the method says so when its body is
// empty.
func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// keepAliveMargin is left between the endpoint's idle timeout and the last use
// of a connection.
const keepAliveMargin = time.Second

// keptFor returns how long a connection may be idle: the endpoint's own timeout
// less a margin, at most limit.
func keptFor(header http.Header, limit time.Duration) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err == nil {
			return min(limit, max(time.Duration(seconds)*time.Second-keepAliveMargin, 0))
		}
	}
	return limit
}
