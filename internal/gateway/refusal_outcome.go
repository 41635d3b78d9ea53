package gateway

import (
	"net/http"
	"strings"

	"github.com/google/uuid"

	"lovagescale/internal/refusal"
	"lovagescale/internal/workspacekey"
)

// RefusalOutcome returns the outcome that a refusal may state of an action that was not
// passed on for the present request.
type RefusalOutcome func(workspace, idempotencyKey string) refusal.Outcome

// Refuse refuses a request that is not to be read, with an outcome that is true
// of its action.
func (g *Gateway) Refuse(w http.ResponseWriter, r *http.Request, refused *refusal.Refusal) {
	w.Header().Set(refusal.HeaderRequestID, uuid.NewString())
	g.refuse(w, g.correctOutcome(r, refused))
}

// correctOutcome corrects the outcome of a refusal that is given before the owner of
// the idempotency key was asked. An earlier try of the action may have run, so
// the refusal is "not-run" only if the owner is this entry and knows better.
// A request without a valid workspace key names no workspace's action and
// stays "not-run".
func (g *Gateway) correctOutcome(r *http.Request, refused *refusal.Refusal) *refusal.Refusal {
	key := r.Header.Get(HeaderIdempotencyKey)
	if g.refusalOutcome == nil || key == "" || refused.Outcome != refusal.NotRun {
		return refused
	}
	if refused.Kind == refusal.KeyMissing || refused.Kind == refusal.KeyUnknown {
		return refused
	}
	corrected := *refused
	corrected.Outcome = g.refusalOutcome(g.findWorkspace(r), key)
	return &corrected
}

// findWorkspace returns the workspace of the request's key, withdrawn or not, or
// "".
func (g *Gateway) findWorkspace(r *http.Request) string {
	current := g.configuration.Load()
	key, found := strings.CutPrefix(r.Header.Get(HeaderAuthorization), bearerPrefix)
	if current == nil || !found {
		return ""
	}
	record, known := current.Keys[workspacekey.Identifier(key)]
	if !known || record.Verify(key) == workspacekey.Unknown {
		return ""
	}
	return record.Workspace
}
