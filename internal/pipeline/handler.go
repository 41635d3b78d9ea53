package pipeline

import (
	"context"
	"io"
	"net/http"
)

type handler struct {
	next     http.Handler
	mayBegin func(*http.Request) bool
}

type earlyKey struct{}

// Handler returns a handler that runs next, also for requests that were read ahead and for
// which mayBegin returns true. mayBegin must return true only for idempotent requests. It
// may be called while next handles the request and must therefore only read its method,
// host and target. The server must use ConnContext.
func Handler(next http.Handler, mayBegin func(*http.Request) bool) http.Handler {
	return &handler{next: next, mayBegin: mayBegin}
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	e := c.serve(h, r)
	defer c.finish()
	if r.ContentLength < 0 {
		r.Body = &bodyWithoutTrailer{r.Body, r}
	}
	if e == nil && c.isOpaque() {
		ctx, stop := c.watchPeer(r.Context())
		defer stop()
		r = r.WithContext(ctx)
	}
	if e == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	defer e.cancel()
	_, _ = io.Copy(io.Discard, r.Body) // complete, since the request was started early
	e.response.deliver(r.Context(), w, e.cancel, func(header http.Header) { c.setConnection(header) })
}

// bodyWithoutTrailer drops the trailer of a request. Nobody uses it, and no memory is reserved for
// it although it may consist of many short fields.
type bodyWithoutTrailer struct {
	io.ReadCloser
	request *http.Request
}

// Read implements io.Reader.
func (b *bodyWithoutTrailer) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.request.Trailer = nil
	}
	return n, err
}

// setConnection sets the Connection header of an early response while the process is
// stopping: only the last response closes the connection.
func (c *conn) setConnection(header http.Header) {
	switch {
	case !c.listener.options.Draining():
	case c.isFollowed():
		header.Del("Connection")
	default:
		header.Set("Connection", "close")
	}
}

// Followed reports whether the response to the request with this context must leave the
// connection open while the process is stopping: another request was read completely
// behind it, or the request was started early, so that its Connection header is set when
// its turn comes.
func Followed(ctx context.Context) bool {
	c := connOf(ctx)
	return c != nil && (ctx.Value(earlyKey{}) != nil || c.isFollowed())
}
