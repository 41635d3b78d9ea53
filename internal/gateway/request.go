package gateway

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/header"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
	"lovagescale/internal/workspacekey"
)

// parseRequest converts a request to a call, or returns a refusal.
func (g *Gateway) parseRequest(w http.ResponseWriter, r *http.Request, requestID string, held *heldMemory) (*call.Call, *refusal.Refusal) {
	current := g.configuration.Load()
	if current == nil {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.NotConfigured, refusal.NotRun,
			"no configuration is in force yet").WithRetryAfter(time.Second)
	}
	if size := header.RequestHeadBytes(r); size > g.maxHeaderBytes {
		return nil, refusal.New(http.StatusRequestHeaderFieldsTooLarge, refusal.HeadersTooLarge, refusal.NotRun,
			fmt.Sprintf("headers have %d bytes, above the limit of %d", size, g.maxHeaderBytes))
	}
	service, route, path, refused := matchRoute(current, r)
	if refused != nil {
		return nil, refused
	}
	workspace, refused := g.authenticate(current, r, service, route)
	if refused != nil {
		return nil, refused
	}
	if workspace != "" && g.Isolated(current, workspace) {
		return nil, isolatedRefusal(workspace)
	}
	timeout, refused := parseTimeout(r, service.Timeout)
	if refused != nil {
		return nil, refused
	}
	idempotencyKey, refused := parseIdempotencyKey(r, route)
	if refused != nil {
		return nil, refused
	}
	deadline := g.now().Add(timeout)
	body, refused := g.readBody(w, r, timeout, held)
	if refused != nil {
		return nil, refused
	}
	if refused := g.reserveResponse(held); refused != nil {
		return nil, refused
	}
	return &call.Call{
		ID:             requestID,
		Workspace:      workspace,
		Service:        service.Name,
		Route:          route.Name,
		Kind:           route.Kind,
		IdempotencyKey: idempotencyKey,
		Deadline:       deadline,
		Request: upstream.Request{
			ID:     requestID,
			Method: r.Method,
			Target: requestTarget(path, r.URL.RawQuery),
			Header: upstreamHeader(r.Header, workspace),
			Body:   body,

			ResponseMemory: held.response,
		},
	}, nil
}

// matchRoute returns the service and the route of a request, and its path below the
// service.
func matchRoute(c *configuration.Configuration, r *http.Request) (configuration.Service, configuration.Route, string, *refusal.Refusal) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	service, known := c.Services[name]
	if !known {
		return configuration.Service{}, configuration.Route{}, "", refusal.New(http.StatusNotFound,
			refusal.ServiceUnknown, refusal.NotRun, fmt.Sprintf("service %q does not exist", name))
	}
	path := "/" + rest
	route, found := service.Match(r.Method, path)
	if !found {
		return service, route, path, refusal.New(http.StatusNotFound, refusal.RouteUnknown, refusal.NotRun,
			fmt.Sprintf("service %q has no route for %s %q", name, r.Method, path))
	}
	return service, route, path, nil
}

// authenticator returns the workspace of a request, or a refusal.
type authenticator func(*configuration.Configuration, *http.Request, configuration.Service, configuration.Route) (string, *refusal.Refusal)

// authenticate verifies the request's key and returns its workspace, or "" on a route
// that is open to all.
func authenticate(c *configuration.Configuration, r *http.Request, service configuration.Service, route configuration.Route) (string, *refusal.Refusal) {
	if route.Open {
		return "", nil
	}
	key, found := strings.CutPrefix(r.Header.Get(HeaderAuthorization), bearerPrefix)
	if !found {
		return "", refusal.New(http.StatusUnauthorized, refusal.KeyMissing, refusal.NotRun,
			"request needs an Authorization header with a workspace key")
	}
	record, known := c.Keys[workspacekey.Identifier(key)]
	verdict := workspacekey.Unknown
	if known {
		verdict = record.Verify(key)
	}
	switch verdict {
	case workspacekey.Withdrawn:
		return "", refusal.New(http.StatusForbidden, refusal.KeyWithdrawn, refusal.NotRun, "workspace key was withdrawn")
	case workspacekey.Unknown:
		return "", refusal.New(http.StatusUnauthorized, refusal.KeyUnknown, refusal.NotRun, "workspace key is unknown")
	}
	if !slices.Contains(c.Workspaces[record.Workspace].Services, service.Name) {
		return "", refusal.New(http.StatusForbidden, refusal.ServiceNotPermitted, refusal.NotRun,
			fmt.Sprintf("workspace %q may not use service %q", record.Workspace, service.Name))
	}
	return record.Workspace, nil
}

// parseTimeout returns the caller's timeout, limited to that of the service.
func parseTimeout(r *http.Request, limit time.Duration) (time.Duration, *refusal.Refusal) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return limit, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return 0, refusal.New(http.StatusBadRequest, refusal.DeadlineInvalid, refusal.NotRun,
			fmt.Sprintf("%s must be a positive number of milliseconds", HeaderTimeout))
	}
	return min(limit, time.Duration(millis)*time.Millisecond), nil
}

// parseIdempotencyKey returns the idempotency key of an action, which must have exactly
// one, or "" for a lookup.
func parseIdempotencyKey(r *http.Request, route configuration.Route) (string, *refusal.Refusal) {
	if route.Kind != configuration.Action {
		return "", nil
	}
	values := r.Header.Values(HeaderIdempotencyKey)
	switch {
	case len(values) == 0 || values[0] == "":
		return "", refusal.New(http.StatusBadRequest, refusal.IdempotencyKeyMissing, refusal.NotRun,
			"an action needs an Idempotency-Key header")
	case len(values) > 1:
		return "", refusal.New(http.StatusBadRequest, refusal.IdempotencyKeyInvalid, refusal.NotRun,
			"an action needs exactly one Idempotency-Key header")
	}
	return values[0], nil
}

func requestTarget(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

// upstreamHeader returns the headers to pass to the upstream: those of the caller
// without the key, the cookies and the headers of the connection, and with the
// workspace.
func upstreamHeader(callerHeader http.Header, workspace string) http.Header {
	outgoing := callerHeader.Clone()
	header.RemoveHopByHop(outgoing)
	outgoing.Del(HeaderAuthorization)
	outgoing.Del("Cookie")
	outgoing.Del(upstream.HeaderWorkspace)
	if workspace != "" {
		outgoing.Set(upstream.HeaderWorkspace, url.PathEscape(workspace))
	}
	return outgoing
}
