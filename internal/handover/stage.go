package handover

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/membership"
	"lovagescale/internal/refusal"
	"lovagescale/internal/shift"
)

// Times for which an entry is not asked again.
const (
	// noCapacityCooldown is for an entry that has no free slot, or no reachable
	// endpoint, of the service.
	noCapacityCooldown = 20 * time.Millisecond
	// shiftLimitedCooldown is for an entry in another region, when the quotas of that
	// region or of this one admit no more shifted traffic.
	shiftLimitedCooldown = 100 * time.Millisecond
	// failureCooldown is for an entry that did not answer or refused for another
	// reason.
	failureCooldown = time.Second
)

// Environment holds the dependencies of a Stage.
type Environment struct {
	Zone string
	// Next runs a call on this entry's own endpoints.
	Next call.Stage
	// Send hands a call over to the entry with a link address. Zone is that of the
	// sender.
	Send func(ctx context.Context, link, zone string, c *call.Call) (*call.Result, error)
	// View, Configuration and Owners return the present state. Configuration may
	// return nil. Owners returns the siblings that own endpoints of the service.
	View          func() *membership.View
	Configuration func() *configuration.Configuration
	Owners        func(service string) []membership.Member
	// OwnershipChanging reports whether endpoints of the zone are changing owners.
	OwnershipChanging func() bool
	// Gate enforces the quotas of this region for traffic shifted between regions.
	Gate *shift.Gate
	Now  func() time.Time
	// RandIntN returns a random number below n.
	RandIntN func(n int) int
	Registry metrics.Registry
}

// Stage runs a call on this entry's own endpoints and hands it over to another
// entry when they have no free slot.
type Stage struct {
	env             Environment
	cooldowns       cooldowns
	index           atomic.Pointer[memberIndex]
	inFlight        atomic.Int64 // calls that other entries handed over
	waiting         atomic.Int64 // calls that wait for an ownership change
	waitedForOwners metrics.Counter
	stopping        atomic.Bool
	handedOver      [distanceCount]metrics.Meter
	received        metrics.Meter
	exhausted       metrics.Counter
}

// NewStage returns a stage that is ready to serve.
func NewStage(env Environment) *Stage {
	s := &Stage{
		env:             env,
		received:        metrics.GetOrRegisterMeter("handover.received", env.Registry),
		exhausted:       metrics.GetOrRegisterCounter("handover.exhausted", env.Registry),
		waitedForOwners: metrics.GetOrRegisterCounter("handover.waited_for_owners", env.Registry),
	}
	for d, name := range [distanceCount]string{"sibling", "region", "elsewhere"} {
		s.handedOver[d] = metrics.GetOrRegisterMeter("handover.to_"+name, env.Registry)
	}
	return s
}

// Limits of waiting while endpoints change owners.
const (
	// ownershipWaitLimit is the maximum time that a call waits. It is retried every
	// ownershipRetryInterval.
	ownershipWaitLimit     = time.Second
	ownershipRetryInterval = 15 * time.Millisecond
	// maxOwnershipWaiters limits the calls that wait at the same time.
	maxOwnershipWaiters = 512
)

// Serve implements call.Stage. A call that came from a caller and finds no capacity
// while endpoints of the zone change owners is retried for ownershipWaitLimit. A
// call that came from another entry is answered at once.
func (s *Stage) Serve(ctx context.Context, c *call.Call) (*call.Result, error) {
	result, err := s.serveOnce(ctx, c)
	if err == nil || c.Hops > 0 || !mayHandOver(err) || !s.env.OwnershipChanging() {
		return result, err
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > maxOwnershipWaiters {
		return result, err
	}
	s.waitedForOwners.Inc(1)
	return s.retryDuringOwnershipChange(ctx, c, err)
}

// retryDuringOwnershipChange retries a call that failed with err until it gets a
// result or a refusal that a retry cannot change, at most for ownershipWaitLimit.
func (s *Stage) retryDuringOwnershipChange(ctx context.Context, c *call.Call, err error) (*call.Result, error) {
	var result *call.Result
	for end := s.env.Now().Add(ownershipWaitLimit); s.env.Now().Before(end); {
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(ownershipRetryInterval):
		}
		result, err = s.serveOnce(ctx, c)
		if err == nil || !mayHandOver(err) {
			return result, err
		}
	}
	return nil, err
}

// serveOnce tries this entry's own endpoints once, then other entries.
func (s *Stage) serveOnce(ctx context.Context, c *call.Call) (*call.Result, error) {
	result, err := s.env.Next.Serve(ctx, c)
	if err == nil || c.Hops >= MaxHops || !mayHandOver(err) {
		return result, err
	}
	return s.handOver(ctx, c, err)
}

// mayHandOver reports whether a refused call may be handed over: it certainly did
// not run, and the reason for the refusal need not apply at another entry.
func mayHandOver(err error) bool {
	var refused *refusal.Refusal
	if !errors.As(err, &refused) || refused.Outcome != refusal.NotRun {
		return false
	}
	switch refused.Kind {
	case refusal.NoCapacity, refusal.UpstreamUnreachable, refusal.PeerFailed,
		refusal.Stopping, refusal.NotConfigured, refusal.ShiftLimited:
		return true
	}
	return false
}

// handOver asks other entries one after the other, as long as each refusal allows
// another handover. When all refuse, localErr is returned. A lookup is also handed
// over after an entry did not answer, but since it may have run there, the refusal
// of that entry is returned in place of localErr.
func (s *Stage) handOver(ctx context.Context, c *call.Call, localErr error) (*call.Result, error) {
	finalErr := localErr
	for _, candidate := range s.newPlanner(c.Service).plan(c.Service, c.Hops) {
		if ctx.Err() != nil {
			break
		}
		result, err := s.sendTo(ctx, c, candidate)
		if err == nil {
			s.handedOver[candidate.distance].Mark(1)
			return result, nil
		}
		s.startCooldown(candidate.member, c.Service, err)
		switch {
		case mayHandOver(err):
		case c.Kind == configuration.Lookup && peerDidNotAnswer(err):
			finalErr = err
		default:
			return nil, err
		}
	}
	s.exhausted.Inc(1)
	return nil, finalErr
}

// peerDidNotAnswer reports whether an entry did not answer or its answer was lost.
func peerDidNotAnswer(err error) bool {
	var refused *refusal.Refusal
	return errors.As(err, &refused) && refused.Kind == refusal.PeerFailed
}

func (s *Stage) newPlanner(service string) *planner {
	now := s.env.Now()
	return &planner{
		zone:          s.env.Zone,
		configuration: s.env.Configuration(),
		index:         s.currentIndex(),
		owners:        s.env.Owners(service),
		inCooldown:    func(m membership.Member) bool { return s.cooldowns.active(now, m.Incarnation, service) },
		randIntN:      s.env.RandIntN,
	}
}

// currentIndex returns the index of the present view. It builds a new one only when
// the view's members changed.
func (s *Stage) currentIndex() *memberIndex {
	view := s.env.View()
	if index := s.index.Load(); index != nil && index.isCurrent(view) {
		return index
	}
	index := newMemberIndex(view)
	s.index.Store(index)
	return index
}

// answerBytesEstimate is reserved from the region's link quota for an answer whose
// size is not known yet.
const answerBytesEstimate = 16 << 10

// lookupTimeoutDivisor divides the time left of a lookup to get the timeout for one
// entry, so that there is time to ask another when it does not answer.
const lookupTimeoutDivisor = 2

// sendTo hands a call over to one entry. A call to another region reserves bytes of
// the region's link quota for its answer.
func (s *Stage) sendTo(ctx context.Context, c *call.Call, to candidate) (*call.Result, error) {
	if c.Kind == configuration.Lookup {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Deadline.Sub(s.env.Now())/lookupTimeoutDivisor)
		defer cancel()
	}
	if to.distance != toOtherRegion {
		return s.env.Send(ctx, to.member.Link, s.env.Zone, c)
	}
	settleReservation, refused := s.env.Gate.Reserve(s.env.Now(), answerBytesEstimate)
	if refused != nil {
		return nil, refused
	}
	result, err := s.env.Send(ctx, to.member.Link, s.env.Zone, c)
	settleReservation(resultBytes(result))
	return result, err
}

// startCooldown keeps an entry that returned err from being asked for a time that
// depends on the reason.
func (s *Stage) startCooldown(m membership.Member, service string, err error) {
	var refused *refusal.Refusal
	if !errors.As(err, &refused) {
		return
	}
	now := s.env.Now()
	switch refused.Kind {
	case refusal.NoCapacity, refusal.UpstreamUnreachable:
		s.cooldowns.start(cooldownKey{m.Incarnation, service}, now.Add(noCapacityCooldown))
	case refusal.ShiftLimited:
		s.cooldowns.start(cooldownKey{m.Incarnation, ""}, now.Add(shiftLimitedCooldown))
	default:
		s.cooldowns.start(cooldownKey{m.Incarnation, ""}, now.Add(failureCooldown))
	}
}

// Receive serves a call that another entry, of the given zone, handed over.
func (s *Stage) Receive(ctx context.Context, zone string, c *call.Call) (*call.Result, error) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping.Load() {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.Stopping, refusal.NotRun, "entry is stopping").
			WithRetryAfter(retryAfter)
	}
	s.received.Mark(1)
	if refused := s.admitFromZone(zone, c); refused != nil {
		return nil, refused
	}
	return s.Serve(ctx, c)
}

// admitFromZone applies the region's quotas to a call whose sender's zone is in
// another region.
func (s *Stage) admitFromZone(zone string, c *call.Call) *refusal.Refusal {
	current := s.env.Configuration()
	if current == nil || current.RegionOf(zone) == current.RegionOf(s.env.Zone) {
		return nil
	}
	return s.env.Gate.Admit(s.env.Now(), callBytes(c))
}

// Stop makes Receive refuse all further calls.
func (s *Stage) Stop() { s.stopping.Store(true) }

// InFlight returns the number of calls handed over to this entry that it is serving.
func (s *Stage) InFlight() int64 { return s.inFlight.Load() }

// callBytes returns the size of a call without its framing.
func callBytes(c *call.Call) int {
	return len(c.Request.Body) + len(c.Request.Target) + headerBytes(c.Request.Header)
}

// resultBytes returns the size of a result without its framing, or 0 without one.
func resultBytes(r *call.Result) int {
	if r == nil || r.Answer == nil {
		return 0
	}
	return len(r.Answer.Body) + headerBytes(r.Answer.Header)
}

func headerBytes(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
