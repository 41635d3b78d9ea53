// Package header handles the headers of callers' requests in the same way for both
// kinds of entry.
package header

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that apply to one connection only and are not
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHopByHop removes the headers that apply to one connection only, including those
// that the Connection header names.
func RemoveHopByHop(header http.Header) {
	for _, named := range header["Connection"] {
		for _, name := range strings.Split(named, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}

// RequestHeadBytes returns the size of the request line and the headers in bytes, without
// separators and the protocol version.
func RequestHeadBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
