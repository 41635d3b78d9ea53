// Package operator serves the operator port of every daemon: a dump of the process's
// state at /debug/state and its metrics at /debug/metrics. Builds with the tag
// "faults" also serve fault injection at /faults/network.
package operator

import (
	"context"
	"net/http"

	"github.com/kataras/iris/v12"
	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/dialer"
)

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
