// Package header has what both kinds of entry do with the headers of callers'
// requests.
package header

import (
	"net/http"
	"strings"
)

// hop are the headers that concern one connection and are not passed on.
var hop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHop takes off the headers that concern one connection only, those that the
// Connection header names among them.
func RemoveHop(header http.Header) {
	for _, named := range header["Connection"] {
		for _, name := range strings.Split(named, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hop {
		delete(header, name)
	}
}

// Bytes returns the size of the request line and the headers, without separators.
func Bytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
