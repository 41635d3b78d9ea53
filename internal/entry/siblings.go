package entry

import (
	"context"

	"github.com/pkg/errors"

	"lovagescale/internal/call"
	"lovagescale/internal/handover"
	"lovagescale/internal/refusal"
)

// serveInZone runs a call on an endpoint of this instance, or hands it to the
// siblings that own endpoints of the service while none of them can have begun
// it.
func (e *Entry) serveInZone(ctx context.Context, c *call.Call) (*call.Result, error) {
	result, err := e.router.Serve(ctx, c)
	for _, sibling := range e.router.Owners(c.Service) {
		if !lacksCapacity(err) || ctx.Err() != nil {
			break
		}
		result, err = handover.Send(ctx, e.peers, sibling.Link, c)
	}
	return result, err
}

// lacksCapacity reports whether another instance may still run the call.
func lacksCapacity(err error) bool {
	var refused *refusal.Refusal
	if !errors.As(err, &refused) {
		return false
	}
	return refused.Kind == refusal.NoCapacity && refused.Outcome == refusal.NotRun
}

// inZone returns serveInZone as a stage.
func (e *Entry) inZone() call.Stage { return call.StageFunc(e.serveInZone) }
