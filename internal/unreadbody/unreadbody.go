// Package unreadbody answers requests whose bodies are not read to their end, so that the answer
// is delivered and no byte of the body is taken for a further request.
//
// Failure modes: a caller that neither sends the rest of its body nor reads the answer loses its
// connection after a bounded time. Closing it with unread bytes resets it, which can destroy the
// answer before a caller that keeps sending has read it.
package unreadbody

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Bounds of what is read of the body of such a request.
const (
	// maxCompletedBytes and completionTime bound the bodies that are read before the
	// answer, so that their connection can be kept.
	maxCompletedBytes = 64 << 10
	completionTime    = 20 * time.Millisecond
	// maxDiscardedBytes and discardTimeout bound what is read after the answer.
	maxDiscardedBytes = 32 << 20
	discardTimeout    = time.Second
	// writeTimeout bounds the writing of an answer that closes its connection.
	writeTimeout = 5 * time.Second
)

// Answer writes an answer with write. A connection on which part of the body may be
// unread takes no further request: the rest of the body would be read as one. It is closed
// once the caller has sent its body, or after discardTimeout, since closing it with unread
// bytes resets it, which can destroy the answer before the caller has read it.
func Answer(w http.ResponseWriter, r *http.Request, write func()) {
	if r.Body == nil || r.Body == http.NoBody {
		write()
		return
	}
	controller := http.NewResponseController(w)
	if completeBody(controller, r) {
		write()
		return
	}
	w.Header().Set("Connection", "close")
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported where the response is held
	if controller.EnableFullDuplex() != nil {
		write()
		return
	}
	write()
	if controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return // the caller has disconnected
	}
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes) // the connection ends in any case
}

// completeBody reads the rest of a small body that has arrived or is about to, and reports
// whether all of the body was read. A caller that waits for permission to send its body gets
// none.
func completeBody(controller *http.ResponseController, r *http.Request) bool {
	if r.ContentLength > maxCompletedBytes || r.Header.Get("Expect") != "" {
		return false
	}
	switch err := controller.SetReadDeadline(time.Now().Add(completionTime)); {
	case errors.Is(err, http.ErrNotSupported):
		return true // the request was read ahead, with its body
	case err != nil:
		return false
	}
	n, err := io.CopyN(io.Discard, r.Body, maxCompletedBytes+1)
	if resetErr := controller.SetReadDeadline(time.Time{}); resetErr != nil {
		return false
	}
	return n <= maxCompletedBytes && errors.Is(err, io.EOF)
}
