package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/bodymemory"
	"lovagescale/internal/catalog"
	"lovagescale/internal/fleet"
	"lovagescale/internal/link"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
	"lovagescale/internal/wire"
)

// maxHandoverTargets bounds the instances that are asked to run one request.
const maxHandoverTargets = 3

// handOver asks other instances to run a request, because this one reaches no endpoint.
// taken is false if none of them took it. One that took it without an answer may have run
// it, so that no further one is asked.
func (e *Edge) handOver(ctx context.Context, q *request, maxAttempts int) (answer *upstream.Answer, refused *refusal.Refusal, taken bool) {
	if q.handedOver {
		return nil, nil, false
	}
	for _, target := range e.chooseHandoverTargets(q) {
		answer, refused, taken = e.sendHandover(ctx, q, target, maxAttempts)
		if taken {
			q.runsAt = target.Instance
			return answer, refused, true
		}
	}
	return nil, nil, false
}

// chooseHandoverTargets returns the instances to ask, the nearest ones first. A request
// with allowed regions goes only to instances in them.
func (e *Edge) chooseHandoverTargets(q *request) []fleet.Member {
	allowedRegions, restricted := catalog.AllowedRegionsOf(q.route, q.workspace)
	var chosen []fleet.Member
	for _, targets := range *e.handoverTargets.Load() {
		for _, i := range rand.Perm(len(targets)) {
			if !restricted || slices.Contains(allowedRegions, targets[i].Region) {
				chosen = append(chosen, targets[i])
			}
		}
	}
	return chosen[:min(len(chosen), maxHandoverTargets)]
}

// sendHandover asks one instance to run a request. taken is false if it certainly did not.
func (e *Edge) sendHandover(ctx context.Context, q *request, to fleet.Member, maxAttempts int) (answer *upstream.Answer, refused *refusal.Refusal, taken bool) {
	message := fleet.Handover{
		ID: q.outgoing.ID, Method: q.outgoing.Method, Host: q.outgoing.Host, Target: q.outgoing.Target,
		Header: q.outgoing.Header, Body: q.outgoing.Body, Workspace: q.workspaceName(), ObjectName: q.caller.ObjectName,
		Version: q.catalog.Version, TimeLeftMillis: time.Until(q.deadline).Milliseconds(), MaxAttempts: maxAttempts,
	}
	var reply fleet.HandoverReply
	err := e.handoverPeers.Client(to.Link).Call(ctx, fleet.TypeHandover, message, &reply)
	e.counters.recordHandover(err == nil && !reply.NotTaken)
	switch {
	case err != nil:
		return e.failedHandover(ctx, q, to, err)
	case reply.NotTaken:
		return nil, nil, false
	case reply.Refused != nil:
		return nil, reply.Refused, true
	}
	q.responseHeld.ForceSize(int64(len(reply.Body)))
	return &upstream.Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body}, nil, true
}

// failedHandover returns the outcome of a request to whose handover there was no reply.
func (e *Edge) failedHandover(ctx context.Context, q *request, to fleet.Member, err error) (*upstream.Answer, *refusal.Refusal, bool) {
	e.log.Info().Err(err).Str("request", q.caller.ID).Str("peer", to.Instance).Msg("handover failed")
	if ctx.Err() == nil {
		e.loop.TryPost(func() { e.state.recordPeerFailure(time.Now(), to.Instance) })
	}
	if handoverNotReceived(err) {
		return nil, nil, false
	}
	if ctx.Err() != nil {
		return nil, refusal.New(http.StatusGatewayTimeout, refusal.DeadlineExceeded, refusal.Unknown,
			"the instance that runs the request gave no answer in time"), true
	}
	return nil, refusal.New(http.StatusBadGateway, refusal.PeerFailed, refusal.Unknown,
		fmt.Sprintf("instance %q took the request and gave no answer", to.Instance)), true
}

// handoverNotReceived reports whether the error of a handover shows that the peer did not
// begin to handle it: it was not sent, or the peer's build does not know such messages.
func handoverNotReceived(err error) bool {
	var busy *link.BusyError
	var unreachable *link.UnreachableError
	var remote *link.RemoteError
	switch {
	case errors.As(err, &busy):
		return true
	case errors.As(err, &unreachable):
		return !unreachable.Sent
	case errors.As(err, &remote):
		return remote.Code == fmt.Sprintf("%T", &link.UnknownTypeError{})
	}
	return false
}

// handleHandover runs a request for an instance that reaches no endpoint.
func (e *Edge) handleHandover(ctx context.Context, envelope wire.Envelope) (any, error) {
	var message fleet.Handover
	if err := envelope.Decode(&message); err != nil {
		return nil, err
	}
	e.handoversInFlight.Add(1)
	defer e.handoversInFlight.Add(-1)
	c := e.catalog.Load()
	if c == nil || c.Version < message.Version || e.reach.Partitioned() {
		return fleet.HandoverReply{NotTaken: true}, nil
	}
	q, refused := e.acceptHandover(c, message)
	defer q.releaseMemory()
	if refused != nil {
		return fleet.HandoverReply{Refused: refused}, nil
	}
	if !e.endsBeforeStop(time.Now(), q) {
		return fleet.HandoverReply{NotTaken: true}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	answer, attempts, refused := e.runAttempts(ctx, q)
	if refused != nil {
		e.addRequestFields(e.log.Warn(), q, attempts).Int("status", refused.Status).Str("reason", string(refused.Kind)).
			Msg("request of another instance was refused")
		return fleet.HandoverReply{Refused: refused}, nil
	}
	return fleet.HandoverReply{Status: answer.Status, Header: answer.Header, Body: answer.Body}, nil
}

// acceptHandover prepares the request of a handover for an endpoint. The route and the
// workspace are those of this instance's configuration.
func (e *Edge) acceptHandover(c *catalog.Catalog, m fleet.Handover) (*request, *refusal.Refusal) {
	timeLeft := time.Duration(m.TimeLeftMillis) * time.Millisecond
	q := &request{
		caller:  CallerInfo{ID: m.ID, ObjectName: m.ObjectName, Timeout: max(timeLeft, time.Millisecond)},
		catalog: c, started: time.Now(), handedOver: true,
		outgoing: upstream.Request{ID: m.ID, Method: m.Method, Host: m.Host, Target: m.Target, Header: m.Header, Body: m.Body},
	}
	held, err := e.memory.Reserve(bodymemory.RequestBody, int64(len(m.Body)))
	if err != nil {
		return q, noBodyMemory()
	}
	q.bodyHeld = held
	route, found := c.Match(m.Host, pathOfTarget(m.Target))
	workspace, known := c.Workspaces[m.Workspace]
	if !found || (m.Workspace != "" && !known) {
		return q, refusal.New(http.StatusServiceUnavailable, refusal.RouteUnknown, refusal.NotRun,
			"the configuration has changed").WithRetryAfter(jitter(unavailableRetryAfter))
	}
	q.route, q.workspace = route, workspace
	q.deadline = q.started.Add(timeoutOf(q))
	refused := e.prepare(q)
	q.maxAttempts = min(q.maxAttempts, m.MaxAttempts)
	return q, refused
}
