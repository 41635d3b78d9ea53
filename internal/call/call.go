// Package call defines a caller's request on its way through the system and
// the stages that it passes.
//
// A stage does one duty (limits, at-most-once execution, endpoint choice) and
// passes the call on to the next stage. A stage that ends the call returns a
// *refusal.Refusal as its error. A Call carries the name of its workspace,
// never the workspace key, so it may travel to another entry as it is.
package call

import (
	"context"
	"time"

	"lovagescale/internal/configuration"
	"lovagescale/internal/upstream"
)

// Call is one request of a caller.
type Call struct {
	// ID identifies the request in answers, logs and upstream requests.
	ID        string                  `msgpack:"i"`
	Workspace string                  `msgpack:"w"`
	Service   string                  `msgpack:"s"`
	Route     string                  `msgpack:"r"`
	Kind      configuration.RouteKind `msgpack:"k"`
	// IdempotencyKey is the caller's key of an action, "" for lookups.
	IdempotencyKey string `msgpack:"a"`
	// Hops counts the entries that handed the call on.
	Hops int `msgpack:"h"`
	// Request is what an upstream receives.
	Request upstream.Request `msgpack:"q"`
	// Deadline is the local time by which the caller expects its answer. It
	// does not travel: links send the time left.
	Deadline time.Time `msgpack:"-"`
}

// Result is a call's whole answer and where it ran.
type Result struct {
	Answer   *upstream.Answer `msgpack:"a"`
	Endpoint string           `msgpack:"e"`
	Instance string           `msgpack:"i"`
	Zone     string           `msgpack:"z"`
	// Replayed is true when the answer is that of an earlier run.
	Replayed bool `msgpack:"r"`
}

// Stage serves a call or passes it on.
type Stage interface {
	Serve(ctx context.Context, c *Call) (*Result, error)
}

// StageFunc is a function that is a Stage.
type StageFunc func(ctx context.Context, c *Call) (*Result, error)

// Serve implements Stage.
func (f StageFunc) Serve(ctx context.Context, c *Call) (*Result, error) { return f(ctx, c) }
