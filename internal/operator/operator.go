// Package operator serves the operators' port of every daemon: a dump of the
// process's state at /debug/state and its metrics at /debug/metrics.
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

// readHeaderTimeout bounds a slow reader of the operators' port.
const readHeaderTimeout = 5 * time.Second

// ListenError reports an address that cannot be listened on.
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

// Listen opens a TCP listener. It returns a *ListenError.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return listener, nil
}

// StateFunc returns a value that JSON can show. It is called per dump.
type StateFunc func(ctx context.Context) (any, error)

// NewApp returns an iris application with logging and banners off.
func NewApp() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	return app
}

// Handler returns the operators' port of a process.
func Handler(state StateFunc, registry metrics.Registry, extend func(*iris.Application)) (http.Handler, error) {
	app := NewApp()
	app.Get("/debug/state", func(ctx iris.Context) {
		dump, err := state(ctx.Request().Context())
		if err != nil {
			ctx.StopWithError(http.StatusServiceUnavailable, err)
			return
		}
		_ = ctx.JSON(dump) // the reader may have gone
	})
	app.Get("/debug/metrics", func(ctx iris.Context) {
		ctx.ContentType("application/json")
		metrics.WriteJSONOnce(registry, ctx.ResponseWriter())
	})
	if faults := dialer.FaultHandler(); faults != nil {
		app.Put("/faults/network", iris.FromStd(faults))
	}
	if extend != nil {
		extend(app)
	}
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// Serve serves handler on listener until ctx ends, then drains it for at most
// grace.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, grace time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	return server.Shutdown(drain)
}
