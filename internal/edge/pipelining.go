package edge

import (
	"net"
	"net/http"

	"lovagescale/internal/catalog"
	"lovagescale/internal/pipeline"
	"lovagescale/internal/refusal"
)

// pipelined returns a listener whose connections may have several requests in flight.
func (e *Edge) pipelined(listener net.Listener) net.Listener {
	l := pipeline.NewListener(listener, pipeline.Options{
		Draining: e.leaving.Load, Registry: e.registry, Prefix: "edge.", Log: e.log, Memory: e.intake.ReadAhead, Heads: e.intake.Heads(e.maxHeaderBytes, e.writeHeadRefusal),
	})
	e.pipelines.Store(l)
	return l
}

// mayBegin reports whether a request may be started while earlier ones of its connection
// are not answered yet.
func (e *Edge) mayBegin(r *http.Request) bool {
	c := e.catalog.Load()
	if c == nil {
		return false
	}
	route, found := c.Match(r.Host, pathOf(r))
	return found && route.Kind == catalog.Idempotent
}

// defaultMaxHeaderBytes is the limit of headers while no configuration sets one.
const defaultMaxHeaderBytes = 64 << 10

// maxHeaderBytes returns the operator's limit of the size of headers, or the default one.
func (e *Edge) maxHeaderBytes() int {
	if c := e.catalog.Load(); c != nil && c.Limits.MaxHeaderBytes > 0 {
		return c.Limits.MaxHeaderBytes
	}
	return defaultMaxHeaderBytes
}

// writeHeadRefusal writes the refusal of a request whose head is not read to its end.
func (e *Edge) writeHeadRefusal(w http.ResponseWriter, refused *refusal.Refusal) {
	e.ports.Callers.WriteRefusal(w, "", refused)
}
