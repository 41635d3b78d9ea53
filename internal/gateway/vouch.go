package gateway

import (
	"net/http"
	"strings"

	"github.com/google/uuid"

	"lovagescale/internal/refusal"
	"lovagescale/internal/workspacekey"
)

// Vouch returns the outcome that a refusal may state of an action that was not
// passed on for the present request.
type Vouch func(workspace, idempotencyKey string) refusal.Outcome

// Refuse refuses a request that is not to be read, with an outcome that is true
// of its action.
func (g *Gateway) Refuse(w http.ResponseWriter, r *http.Request, refused *refusal.Refusal) {
	w.Header().Set(refusal.HeaderRequestID, uuid.NewString())
	g.refuse(w, g.vouched(r, refused))
}

// vouched corrects the outcome of a refusal that is given before the owner of
// the idempotency key was asked. An earlier try of the action may have run, so
// the refusal is "not-run" only if the owner is this entry and knows better.
// A request without a valid workspace key names no workspace's action and
// stays "not-run".
func (g *Gateway) vouched(r *http.Request, refused *refusal.Refusal) *refusal.Refusal {
	key := r.Header.Get(HeaderIdempotencyKey)
	if g.vouch == nil || key == "" || refused.Outcome != refusal.NotRun {
		return refused
	}
	if refused.Kind == refusal.KeyMissing || refused.Kind == refusal.KeyUnknown {
		return refused
	}
	corrected := *refused
	corrected.Outcome = g.vouch(g.workspaceOf(r), key)
	return &corrected
}

// workspaceOf returns the workspace of the request's key, withdrawn or not, or
// "".
func (g *Gateway) workspaceOf(r *http.Request) string {
	current := g.current.Load()
	key, found := strings.CutPrefix(r.Header.Get(HeaderAuthorization), bearer)
	if current == nil || !found {
		return ""
	}
	record, known := current.Keys[workspacekey.Identifier(key)]
	if !known || record.Verify(key) == workspacekey.Unknown {
		return ""
	}
	return record.Workspace
}
