package edge

import (
	"net"
	"net/http"

	"lovagescale/internal/catalog"
	"lovagescale/internal/pipeline"
)

// pipelined returns a listener whose connections may have several requests in flight.
func (e *Edge) pipelined(listener net.Listener) net.Listener {
	l := pipeline.NewListener(listener, pipeline.Options{
		Draining: e.leaving.Load, Registry: e.registry, Prefix: "edge.", Log: e.log, Memory: e.intake.ReadAhead,
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
