// Package operator serves the operator port of every daemon: a dump of the process's
// state at /debug/state and its metrics at /debug/metrics. Builds with the tag
// "faults" also serve fault injection at /faults/network.
package operator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/dialer"
)

// readHeaderTimeout bounds how long a server waits for a request's headers, so that
// a slow client cannot hold its connection open.
const readHeaderTimeout = 5 * time.Second

// ListenError reports that the process cannot listen on an address.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements the error interface.
func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %q: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Listen opens a TCP listener. On failure it returns a *ListenError.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return listener, nil
}

// StateFunc returns a process's state as a value that can be encoded in JSON. It is
// called for each dump.
type StateFunc func(ctx context.Context) (any, error)

// NewApp returns an iris application with logging and the start banner disabled.
func NewApp() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	return app
}

// Handler returns the HTTP handler of a process's operator port. If addRoutes is not
// nil, it adds further routes.
func Handler(dumpState StateFunc, registry metrics.Registry, addRoutes func(*iris.Application)) (http.Handler, error) {
	app := NewApp()
	app.Get("/debug/state", func(ctx iris.Context) {
		dump, err := dumpState(ctx.Request().Context())
		if err != nil {
			ctx.StopWithError(http.StatusServiceUnavailable, err)
			return
		}
		_ = ctx.JSON(dump) // the client may have disconnected
	})
	app.Get("/debug/metrics", func(ctx iris.Context) {
		ctx.ContentType("application/json")
		metrics.WriteJSONOnce(registry, ctx.ResponseWriter())
	})
	if faultHandler := dialer.FaultHandler(); faultHandler != nil {
		app.Put("/faults/network", iris.FromStd(faultHandler))
	}
	if addRoutes != nil {
		addRoutes(app)
	}
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// Serve serves handler on listener until ctx ends. It then accepts no more
// connections and waits at most drainTimeout for running requests to end.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, drainTimeout time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	return server.Shutdown(drainCtx)
}
