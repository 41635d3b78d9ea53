// Package call defines a caller's request while the system processes it, and the
// stages that process it.
//
// A stage has one responsibility (limits, at-most-once execution, endpoint choice)
// and passes the call to the next stage. A stage that rejects the call returns a
// *refusal.Refusal as its error. A Call carries the name of its workspace but
// never the workspace key, so it can be sent to another entry unchanged.
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
	// IdempotencyKey is the key that the caller gave an action; it is "" for lookups.
	IdempotencyKey string `msgpack:"a"`
	// Hops counts how often an entry handed the call over to another.
	Hops int `msgpack:"h"`
	// Request is the request that an upstream receives.
	Request upstream.Request `msgpack:"q"`
	// Deadline is the time on the local clock by which the caller expects its answer.
	// It is not encoded: links send the remaining time instead.
	Deadline time.Time `msgpack:"-"`
}

// Result is a call's complete answer and where the call ran.
type Result struct {
	Answer   *upstream.Answer `msgpack:"a"`
	Endpoint string           `msgpack:"e"`
	Instance string           `msgpack:"i"`
	Zone     string           `msgpack:"z"`
	// Replayed is true if the answer is the recorded one of an earlier execution.
	Replayed bool `msgpack:"r"`
}

// Stage answers a call or passes it to the next stage.
type Stage interface {
	Serve(ctx context.Context, c *Call) (*Result, error)
}

// StageFunc is an adapter that makes a function a Stage.
type StageFunc func(ctx context.Context, c *Call) (*Result, error)

// Serve implements Stage.
func (f StageFunc) Serve(ctx context.Context, c *Call) (*Result, error) { return f(ctx, c) }
