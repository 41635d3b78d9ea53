// Package gateway is the callers' side of an entry: it reads a request, finds
// its route, verifies its workspace key, takes the key off and passes a
// call.Call to the stages. It writes the whole answer or the refusal.
//
// The key is verified for each request, not for each connection, so that a
// withdrawal reaches connections that are already open.
package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/control"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
	"lovagescale/internal/workspacekey"
)

// Headers of callers' requests.
const (
	HeaderAuthorization  = "Authorization"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Lovage-Timeout-Ms"
)

// Headers that tell callers where an answer came from.
const (
	HeaderZone     = "Lovage-Availability-Zone"
	HeaderEndpoint = "Lovage-Endpoint"
	HeaderReplayed = "Lovage-Replayed"
)

// bearer starts the Authorization header.
const bearer = "Bearer "

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Options configure a Gateway. The zero value uses the defaults.
type Options struct {
	// MaxBodyBytes bounds a request's body; default 1 MiB.
	MaxBodyBytes int64
	// Isolation is the isolation time of workspaces that give none; 0 is no
	// bound.
	Isolation time.Duration
	// Vouch corrects the outcome of refused actions; nil leaves it.
	Vouch Vouch
}

// defaultMaxBodyBytes is the default of Options.MaxBodyBytes.
const defaultMaxBodyBytes = 1 << 20

// Gateway is the http.Handler of callers' requests.
type Gateway struct {
	now     control.Clock
	next    call.Stage
	log     zerolog.Logger
	maxBody int64
	vouch   Vouch
	current atomic.Pointer[configuration.Configuration]
	answers metrics.Meter
	refused metrics.Registry
	latency metrics.Timer
	isolation
	// authenticate finds the workspace of each request.
	authenticate authenticator
}

// New returns a gateway that passes calls to next.
func New(now control.Clock, next call.Stage, log zerolog.Logger, registry metrics.Registry, options Options) *Gateway {
	gateway := &Gateway{
		now:     now,
		next:    next,
		log:     log,
		maxBody: options.MaxBodyBytes,
		vouch:   options.Vouch,
		answers: metrics.GetOrRegisterMeter("gateway.answers", registry),
		refused: metrics.NewPrefixedChildRegistry(registry, "gateway.refused."),
		latency: metrics.GetOrRegisterTimer("gateway.latency", registry),

		authenticate: authenticate,
	}
	gateway.isolation.standard = options.Isolation
	if gateway.maxBody == 0 {
		gateway.maxBody = defaultMaxBodyBytes
	}
	return gateway
}

// Apply puts a configuration in force for the next request.
func (g *Gateway) Apply(c *configuration.Configuration) { g.current.Store(c) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := g.now()
	id := uuid.NewString()
	w.Header().Set(refusal.HeaderRequestID, id)
	c, refused := g.read(w, r, id)
	if refused != nil {
		g.refuse(w, g.vouched(r, refused))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	result, err := g.next.Serve(ctx, c)
	g.latency.UpdateSince(started)
	if err != nil {
		g.refuse(w, asRefusal(err))
		return
	}
	g.answers.Mark(1)
	writeResult(w, result)
}

func asRefusal(err error) *refusal.Refusal {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	return refusal.New(http.StatusBadGateway, refusal.UpstreamFailed, refusal.Unknown, "request failed")
}

func (g *Gateway) refuse(w http.ResponseWriter, refused *refusal.Refusal) {
	metrics.GetOrRegisterCounter(string(refused.Kind), g.refused).Inc(1)
	refused.Write(w)
}

// read makes a call of the request, or refuses it.
func (g *Gateway) read(w http.ResponseWriter, r *http.Request, id string) (*call.Call, *refusal.Refusal) {
	current := g.current.Load()
	if current == nil {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.NotConfigured, refusal.NotRun,
			"no configuration is in force yet").After(time.Second)
	}
	service, route, path, refused := match(current, r)
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
	timeout, refused := timeoutOf(r, service.Timeout)
	if refused != nil {
		return nil, refused
	}
	idempotencyKey := r.Header.Get(HeaderIdempotencyKey)
	if route.Kind == configuration.Action && idempotencyKey == "" {
		return nil, refusal.New(http.StatusBadRequest, refusal.KeyOfActionMissing, refusal.NotRun,
			"an action needs an Idempotency-Key header")
	}
	body, refused := g.readBody(w, r)
	if refused != nil {
		return nil, refused
	}
	return &call.Call{
		ID:             id,
		Workspace:      workspace,
		Service:        service.Name,
		Route:          route.Name,
		Kind:           route.Kind,
		IdempotencyKey: idempotencyKey,
		Deadline:       g.now().Add(timeout),
		Request: upstream.Request{
			ID:     id,
			Method: r.Method,
			Target: target(path, r.URL.RawQuery),
			Header: upstreamHeader(r.Header, workspace),
			Body:   body,
		},
	}, nil
}

// match finds the service and route of a request and the path below the
// service.
func match(c *configuration.Configuration, r *http.Request) (configuration.Service, configuration.Route, string, *refusal.Refusal) {
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

// authenticator finds the workspace of a request.
type authenticator func(*configuration.Configuration, *http.Request, configuration.Service, configuration.Route) (string, *refusal.Refusal)

// authenticate returns the workspace of the request's key, or "" on a route
// that is open to all.
func authenticate(c *configuration.Configuration, r *http.Request, service configuration.Service, route configuration.Route) (string, *refusal.Refusal) {
	if route.Open {
		return "", nil
	}
	key, found := strings.CutPrefix(r.Header.Get(HeaderAuthorization), bearer)
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

// timeoutOf returns the caller's timeout, at most the service's.
func timeoutOf(r *http.Request, limit time.Duration) (time.Duration, *refusal.Refusal) {
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

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refusal.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, refusal.NotRun,
			fmt.Sprintf("body is above the limit of %d bytes", g.maxBody))
	}
	if err != nil {
		return nil, refusal.New(http.StatusBadRequest, refusal.BodyTooLarge, refusal.NotRun, "body was cut short")
	}
	return body, nil
}

func target(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

// upstreamHeader returns what an upstream may see: everything but the key and
// the headers of the caller's connection.
func upstreamHeader(from http.Header, workspace string) http.Header {
	header := from.Clone()
	for _, named := range header.Values("Connection") {
		for _, name := range strings.Split(named, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	header.Del(HeaderAuthorization)
	header.Del("Cookie")
	header.Del(upstream.HeaderWorkspace)
	if workspace != "" {
		header.Set(upstream.HeaderWorkspace, url.PathEscape(workspace))
	}
	return header
}

func writeResult(w http.ResponseWriter, result *call.Result) {
	header := w.Header()
	id := header.Get(refusal.HeaderRequestID)
	for name, values := range result.Answer.Header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	header.Del(upstream.HeaderOutcome)
	header.Del(upstream.HeaderDraining)
	header.Set(refusal.HeaderRequestID, id)
	header.Set(refusal.HeaderOutcome, string(refusal.Ran))
	header.Set(HeaderZone, result.Zone)
	header.Set(HeaderEndpoint, result.Endpoint)
	header.Set("Content-Length", strconv.Itoa(len(result.Answer.Body)))
	if result.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(result.Answer.Status)
	_, _ = w.Write(result.Answer.Body) // the caller may have gone
}
