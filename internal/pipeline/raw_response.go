package pipeline

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// RawResponse returns the complete response that write writes, as bytes for a connection that is
// closed after it.
func RawResponse(write func(http.ResponseWriter)) []byte {
	w := &rawResponse{header: make(http.Header), status: http.StatusOK}
	write(w)
	w.header.Set("Connection", "close")
	w.header.Set("Content-Length", strconv.Itoa(w.body.Len()))
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "HTTP/1.1 %d %s\r\n", w.status, http.StatusText(w.status))
	_ = w.header.Write(&raw) // a bytes.Buffer takes everything
	raw.WriteString("\r\n")
	raw.Write(w.body.Bytes())
	return raw.Bytes()
}

// rawResponse is an http.ResponseWriter that keeps a response.
type rawResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *rawResponse) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *rawResponse) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *rawResponse) Write(data []byte) (int, error) { return w.body.Write(data) }
