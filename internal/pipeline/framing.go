package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxEarlyHeadBytes is the size of a head above which a request is left to the server,
// which may reject it.
const maxEarlyHeadBytes = 16 << 10

// headScanner finds the end of a request's head in the bytes of a connection. Like
// net/textproto it accepts lines that end with LF instead of CRLF. Empty lines before the
// head do not end it.
type headScanner struct {
	// lineLength is the number of bytes of the current line so far.
	lineLength int
	// startsWithCR is set if the first byte of the current line is a CR.
	startsWithCR bool
	// begun is set after the first line that is not empty.
	begun bool
	// measured is the size of all complete lines.
	measured measured
}

// scan consumes bytes until the end of the head. It returns their number and whether the
// end was reached.
func (s *headScanner) scan(data []byte) (n int, ended bool) {
	for n < len(data) {
		length := bytes.IndexByte(data[n:], '\n')
		if length < 0 {
			s.extendLine(data[n:])
			return len(data), false
		}
		s.extendLine(data[n : n+length])
		n += length + 1
		isEmpty := s.lineLength == 0 || s.lineLength == 1 && s.startsWithCR
		s.measured.addLine(s.lineLength)
		s.lineLength, s.startsWithCR = 0, false
		if isEmpty && s.begun {
			return n, true
		}
		s.begun = s.begun || !isEmpty
	}
	return n, false
}

func (s *headScanner) extendLine(part []byte) {
	if s.lineLength == 0 && len(part) > 0 {
		s.startsWithCR = part[0] == '\r'
	}
	s.lineLength += len(part)
}

// verdict is whether a request that was read ahead may be started.
type verdict int

const (
	// incomplete means that more bytes are needed.
	incomplete verdict = iota
	// startable means that the request is complete and may be started.
	startable
	// unsuitable means that the request, or what is there instead, is left to the server.
	unsuitable
)

// parser parses one request that was read ahead. It keeps its progress, so that a request
// that arrives in many pieces is parsed once.
type parser struct {
	scanner headScanner
	scanned int
	request *http.Request
	// headBytes and totalBytes are the sizes of the head and of the whole request, once
	// request is set.
	headBytes, totalBytes int
	// reserved is the memory reserved for the parsed request.
	reserved int64
}

// parse parses the request at the start of data, which must begin with the data of earlier
// calls. maxBytes is the size above which a request is unsuitable. reserve reserves memory before
// the request is parsed, and before its body is copied; without it the request is unsuitable.
func (p *parser) parse(data []byte, maxBytes int, reserve func(int64) bool) verdict {
	if p.request == nil {
		n, ended := p.scanner.scan(data[p.scanned:])
		p.scanned += n
		if p.scanned > maxEarlyHeadBytes {
			return unsuitable
		}
		if !ended {
			return incomplete
		}
		if !p.reserve(earlyBytes+headMemory(p.scanned, p.scanner.measured.lines), reserve) {
			return unsuitable
		}
		request, ok := parseHead(data[:p.scanned])
		if !ok || request.ContentLength > int64(maxBytes) {
			return unsuitable
		}
		p.request, p.headBytes, p.totalBytes = request, p.scanned, p.scanned+int(request.ContentLength)
	}
	if p.totalBytes > maxBytes {
		return unsuitable
	}
	if len(data) < p.totalBytes {
		return incomplete
	}
	if p.totalBytes > p.headBytes {
		if !p.reserve(int64(p.totalBytes-p.headBytes), reserve) {
			return unsuitable
		}
		p.request.Body = io.NopCloser(bytes.NewReader(bytes.Clone(data[p.headBytes:p.totalBytes])))
	}
	return startable
}

// reserve reserves more memory for the request.
func (p *parser) reserve(bytes int64, reserve func(int64) bool) bool {
	if !reserve(bytes) {
		return false
	}
	p.reserved += bytes
	return true
}

// parseHead parses a complete head. ok is false if the server could reject the request, or
// if its framing or its handling is more than a head and a body of stated length.
func parseHead(head []byte) (request *http.Request, ok bool) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, false
	}
	switch {
	case request.ProtoMajor != 1 || request.ProtoMinor != 1,
		len(request.TransferEncoding) > 0 || request.ContentLength < 0,
		request.Header.Get("Expect") != "" || request.Header.Get("Upgrade") != "",
		request.Method == http.MethodConnect || !strings.HasPrefix(request.RequestURI, "/"),
		!hasOneHost(head) || !httpguts.ValidHostHeader(request.Host):
		return nil, false
	}
	for name, values := range request.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, false
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return nil, false
			}
		}
	}
	return request, true
}

// hasOneHost reports whether a head has exactly one Host header.
func hasOneHost(head []byte) bool {
	const name = "host:"
	count := 0
	for line := range bytes.Lines(head) {
		if len(line) >= len(name) && bytes.EqualFold(line[:len(name)], []byte(name)) {
			count++
		}
	}
	return count == 1
}

// isComplete reports whether data begins with a complete request of any kind.
func isComplete(data []byte) bool {
	_, ok := requestBytes(data)
	return ok
}

// chunkedBodyBytes returns the size of the chunked body at the start of data. ok is false
// if the body is not complete.
func chunkedBodyBytes(data []byte) (size int64, ok bool) {
	const head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	total, ok := requestBytes(append([]byte(head), data...))
	return int64(total - len(head)), ok
}

// requestBytes returns the size of the request at the start of data. ok is false if it is
// not complete or does not parse.
func requestBytes(data []byte) (size int, ok bool) {
	unread := bytes.NewReader(data)
	buffered := bufio.NewReader(unread)
	request, err := http.ReadRequest(buffered)
	if err != nil {
		return 0, false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return 0, false
	}
	return len(data) - unread.Len() - buffered.Buffered(), true
}
