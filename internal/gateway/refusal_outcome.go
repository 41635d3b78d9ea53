package gateway

import (
	"net/http"
	"strings"

	"github.com/google/uuid"

	"lovagescale/internal/refusal"
	"lovagescale/internal/workspacekey"
)

// RefusalOutcome returns the outcome to report for an action whose present request is
// refused before it reaches the next stage.
type RefusalOutcome func(workspace, idempotencyKey string) refusal.Outcome

// Refuse refuses a request without reading it. If the request is for an action, the
// outcome is corrected, since an earlier attempt may have run.
func (g *Gateway) Refuse(w http.ResponseWriter, r *http.Request, refused *refusal.Refusal) {
	w.Header().Set(refusal.HeaderRequestID, uuid.NewString())
	g.refuse(w, g.correctOutcome(r, refused))
}

// correctOutcome corrects the outcome of a refusal that is sent before the owner of the
// idempotency key was consulted. An earlier attempt of the action may have run, so the
// refusal stays "not-run" only if this entry is the owner and knows that none has. A
// request without a valid workspace key belongs to no workspace's action and stays
// "not-run".
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

// findWorkspace returns the workspace of the request's key, even if the key was
// withdrawn, or "" if the key is missing or unknown.
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
