// Package gateway is the HTTP handler for callers of an entry. It finds the route of a
// request, verifies and removes its workspace key, reads the body and passes a
// call.Call to the next stage. It answers with the complete result or with a refusal.
//
// The key is verified for each request, not once per connection, so that the
// withdrawal of a key takes effect on connections that are already open.
package gateway

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/control"
	"lovagescale/internal/refusal"
	"lovagescale/internal/unreadbody"
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

// bearerPrefix precedes the workspace key in the Authorization header.
const bearerPrefix = "Bearer "

// Options configure a Gateway. Zero sizes get the default values.
type Options struct {
	// MaxBodyBytes limits the size of a request's body; default 1 MiB.
	MaxBodyBytes int64
	// MaxHeaderBytes limits the size of a request's first line and headers; default
	// 32 KiB.
	MaxHeaderBytes int
	// Isolation is the isolation time of workspaces that do not configure one; 0
	// means no limit.
	Isolation time.Duration
	// RefusalOutcome returns the outcome to report for refused actions. If it is nil,
	// refusals keep their own outcome.
	RefusalOutcome RefusalOutcome
	// Memory accounts for bodies and answers. Nil stands for no limit.
	Memory *bodymemory.Memory
}

// Defaults of Options.
const (
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxHeaderBytes = 32 << 10
)

// Gateway is the http.Handler for callers' requests.
type Gateway struct {
	now             control.Clock
	next            call.Stage
	log             zerolog.Logger
	maxBodyBytes    int64
	maxHeaderBytes  int
	refusalOutcome  RefusalOutcome
	configuration   atomic.Pointer[configuration.Configuration]
	answers         metrics.Meter
	refusedCounters metrics.Registry
	latency         metrics.Timer
	memory          *bodymemory.Memory
	isolation
	// authenticate returns the workspace of each request; tests replace it.
	authenticate authenticator
}

// New returns a gateway that passes calls to next.
func New(now control.Clock, next call.Stage, log zerolog.Logger, registry metrics.Registry, options Options) *Gateway {
	gateway := &Gateway{
		now:             now,
		next:            next,
		log:             log,
		maxBodyBytes:    options.MaxBodyBytes,
		maxHeaderBytes:  options.MaxHeaderBytes,
		refusalOutcome:  options.RefusalOutcome,
		memory:          options.Memory,
		answers:         metrics.GetOrRegisterMeter("gateway.answers", registry),
		refusedCounters: metrics.NewPrefixedChildRegistry(registry, "gateway.refused."),
		latency:         metrics.GetOrRegisterTimer("gateway.latency", registry),

		authenticate: authenticate,
	}
	gateway.isolation.defaultLimit = options.Isolation
	gateway.maxBodyBytes = cmp.Or(gateway.maxBodyBytes, defaultMaxBodyBytes)
	gateway.maxHeaderBytes = cmp.Or(gateway.maxHeaderBytes, defaultMaxHeaderBytes)
	return gateway
}

// ApplyConfiguration activates a configuration for all requests that follow.
func (g *Gateway) ApplyConfiguration(c *configuration.Configuration) { g.configuration.Store(c) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := g.now()
	requestID := uuid.NewString()
	w.Header().Set(refusal.HeaderRequestID, requestID)
	held := &heldMemory{}
	defer held.release()
	c, refused := g.parseRequest(w, r, requestID, held)
	if refused != nil {
		unreadbody.Answer(w, r, func() { g.refuse(w, g.correctOutcome(r, refused)) })
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
	held.body.Release()
	writeResult(r.Context(), w, result, r.Method == http.MethodHead, held.takeResponse(result.Answer.Body))
}

// IsIdempotent reports whether the route of a request is idempotent. It reads only the
// method and the target of the request.
func (g *Gateway) IsIdempotent(r *http.Request) bool {
	c := g.configuration.Load()
	if c == nil {
		return false
	}
	_, route, _, refused := matchRoute(c, r)
	return refused == nil && route.Kind == configuration.Lookup
}

// asRefusal returns the refusal in err. Other errors become a refusal with the outcome
// "unknown".
func asRefusal(err error) *refusal.Refusal {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	return refusal.New(http.StatusBadGateway, refusal.UpstreamFailed, refusal.Unknown, "request failed")
}

func (g *Gateway) refuse(w http.ResponseWriter, refused *refusal.Refusal) {
	metrics.GetOrRegisterCounter(string(refused.Kind), g.refusedCounters).Inc(1)
	refused.Write(w)
}
