package edge

import (
	"context"
	"net"
	"net/http"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/callerconn"
	"lovagescale/internal/catalog"
	"lovagescale/internal/pipeline"
)

// pipelined returns a listener whose connections may have several requests in flight.
func (e *Edge) pipelined(listener net.Listener) net.Listener {
	l := pipeline.NewListener(listener, pipeline.Options{
		Draining: e.leaving.Load, Registry: e.registry, Prefix: "edge.", Log: e.log, Memory: e.newReadAheadMemory(),
	})
	e.pipelines.Store(l)
	return l
}

// readAheadMemory implements pipeline.Memory with one reservation for all connections.
type readAheadMemory struct{ held *bodymemory.Reservation }

// newReadAheadMemory returns the memory for what is read ahead.
func (e *Edge) newReadAheadMemory() readAheadMemory {
	held, err := e.memory.Reserve(bodymemory.ReadAhead, 0)
	if err != nil {
		e.log.Error().Err(err).Msg("memory for reading ahead cannot be limited")
	}
	return readAheadMemory{held}
}

// Reserve implements pipeline.Memory.
func (m readAheadMemory) Reserve(n int64) error { return m.held.Grow(n) }

// Release implements pipeline.Memory.
func (m readAheadMemory) Release(n int64) {
	_ = m.held.Grow(-n) // a smaller reservation always fits
}

// callerContext is the ConnContext callback of the http.Server.
func callerContext(ctx context.Context, conn net.Conn) context.Context {
	if accepted, ok := conn.(*callerconn.Conn); ok {
		ctx = pipeline.ConnContext(ctx, accepted.Conn)
	}
	return bodymemory.ConnContext(ctx, conn)
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
