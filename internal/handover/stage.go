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
	// avoidFull is for one without a free slot of the service.
	avoidFull = 20 * time.Millisecond
	// avoidLimited is for one whose region takes no more shifted traffic.
	avoidLimited = 100 * time.Millisecond
	// avoidFailed is for one that did not answer.
	avoidFailed = time.Second
)

// Environment is what a Stage works with.
type Environment struct {
	Zone string
	// Next runs a call on this entry's own endpoints.
	Next call.Stage
	// Send hands a call to the entry with a link address.
	Send func(ctx context.Context, link, zone string, c *call.Call) (*call.Result, error)
	// View, Configuration and Owners are the present state. Configuration may
	// return nil.
	View          func() *membership.View
	Configuration func() *configuration.Configuration
	Owners        func(service string) []membership.Member
	// Unsettled reports whether endpoints of the zone are changing hands.
	Unsettled func() bool
	// Gate holds the quotas of this region.
	Gate *shift.Gate
	Now  func() time.Time
	// Draw returns a random number below n.
	Draw     func(n int) int
	Registry metrics.Registry
}

// Stage runs a call on this entry's own endpoints and, when they have no free
// slot, hands it on.
type Stage struct {
	env       Environment
	avoided   avoided
	directory atomic.Pointer[directory]
	inFlight  atomic.Int64
	settling  atomic.Int64
	settled   metrics.Counter
	stopping  atomic.Bool
	handed    [distances]metrics.Meter
	received  metrics.Meter
	exhausted metrics.Counter
}

// NewStage returns a stage that serves at once.
func NewStage(env Environment) *Stage {
	s := &Stage{
		env:       env,
		received:  metrics.GetOrRegisterMeter("handover.received", env.Registry),
		exhausted: metrics.GetOrRegisterCounter("handover.exhausted", env.Registry),
		settled:   metrics.GetOrRegisterCounter("handover.waited_for_owners", env.Registry),
	}
	for d, name := range [distances]string{"sibling", "region", "elsewhere"} {
		s.handed[d] = metrics.GetOrRegisterMeter("handover.to_"+name, env.Registry)
	}
	return s
}

// Waiting for endpoints that change hands.
const (
	// settleWait is the longest time that a call waits, in steps of settlePause.
	settleWait  = 600 * time.Millisecond
	settlePause = 15 * time.Millisecond
	// maxSettling bounds the calls that wait at once.
	maxSettling = 512
)

// Serve implements call.Stage. A caller's own call that finds no capacity while
// endpoints of the zone change hands is tried again for settleWait; a call that
// was handed on is answered at once.
func (s *Stage) Serve(ctx context.Context, c *call.Call) (*call.Result, error) {
	result, err := s.serveOnce(ctx, c)
	if err == nil || c.Hops > 0 || !movable(err) || !s.env.Unsettled() {
		return result, err
	}
	defer s.settling.Add(-1)
	if s.settling.Add(1) > maxSettling {
		return result, err
	}
	s.settled.Inc(1)
	return s.settle(ctx, c, err)
}

func (s *Stage) settle(ctx context.Context, c *call.Call, err error) (*call.Result, error) {
	var result *call.Result
	for end := s.env.Now().Add(settleWait); s.env.Now().Before(end); {
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(settlePause):
		}
		result, err = s.serveOnce(ctx, c)
		if err == nil || !movable(err) {
			return result, err
		}
	}
	return nil, err
}

func (s *Stage) serveOnce(ctx context.Context, c *call.Call) (*call.Result, error) {
	result, err := s.env.Next.Serve(ctx, c)
	if err == nil || c.Hops >= MaxHops || !movable(err) {
		return result, err
	}
	return s.handOn(ctx, c, err)
}

// movable reports whether a call was refused for a reason that another entry
// need not have, with certainty that it did not run.
func movable(err error) bool {
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

// handOn asks other entries one after the other, as long as each refusal is
// movable. When all refuse, the first refusal is the answer. A lookup goes on
// past an entry that did not answer, but is not called not-run any more.
func (s *Stage) handOn(ctx context.Context, c *call.Call, first error) (*call.Result, error) {
	answer := first
	for _, t := range s.planner(c.Service).plan(c.Service, c.Hops) {
		if ctx.Err() != nil {
			break
		}
		result, err := s.try(ctx, c, t)
		if err == nil {
			s.handed[t.distance].Mark(1)
			return result, nil
		}
		s.avoid(t.member, c.Service, err)
		switch {
		case movable(err):
		case c.Kind == configuration.Lookup && silent(err):
			answer = err
		default:
			return nil, err
		}
	}
	s.exhausted.Inc(1)
	return nil, answer
}

// silent reports whether an entry was asked and did not answer.
func silent(err error) bool {
	var refused *refusal.Refusal
	return errors.As(err, &refused) && refused.Kind == refusal.PeerFailed
}

func (s *Stage) planner(service string) *planner {
	now := s.env.Now()
	return &planner{
		zone:          s.env.Zone,
		configuration: s.env.Configuration(),
		directory:     s.presentDirectory(),
		owners:        s.env.Owners(service),
		skip:          func(m membership.Member) bool { return s.avoided.has(now, m.Incarnation, service) },
		draw:          s.env.Draw,
	}
}

// presentDirectory indexes the view again only when its members changed.
func (s *Stage) presentDirectory() *directory {
	view := s.env.View()
	if d := s.directory.Load(); d != nil && d.sameMembers(view) {
		return d
	}
	d := newDirectory(view)
	s.directory.Store(d)
	return d
}

// answerEstimate is spent of the region's link before an answer is known.
const answerEstimate = 16 << 10

// lookupShare is the part of a lookup's time left, as a divisor, for which one
// entry is waited for, so that a silent one leaves time to ask another.
const lookupShare = 2

func (s *Stage) try(ctx context.Context, c *call.Call, t target) (*call.Result, error) {
	if c.Kind == configuration.Lookup {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Deadline.Sub(s.env.Now())/lookupShare)
		defer cancel()
	}
	if t.distance != toElsewhere {
		return s.env.Send(ctx, t.member.Link, s.env.Zone, c)
	}
	settle, refused := s.env.Gate.Reserve(s.env.Now(), answerEstimate)
	if refused != nil {
		return nil, refused
	}
	result, err := s.env.Send(ctx, t.member.Link, s.env.Zone, c)
	settle(resultBytes(result))
	return result, err
}

func (s *Stage) avoid(m membership.Member, service string, err error) {
	var refused *refusal.Refusal
	if !errors.As(err, &refused) {
		return
	}
	now := s.env.Now()
	switch refused.Kind {
	case refusal.NoCapacity, refusal.UpstreamUnreachable:
		s.avoided.add(avoidedKey{m.Incarnation, service}, now.Add(avoidFull))
	case refusal.ShiftLimited:
		s.avoided.add(avoidedKey{m.Incarnation, ""}, now.Add(avoidLimited))
	default:
		s.avoided.add(avoidedKey{m.Incarnation, ""}, now.Add(avoidFailed))
	}
}

// Receive serves a call that an entry of another zone or a sibling handed on.
func (s *Stage) Receive(ctx context.Context, zone string, c *call.Call) (*call.Result, error) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping.Load() {
		return nil, refusal.New(http.StatusServiceUnavailable, refusal.Stopping, refusal.NotRun, "entry is stopping").
			After(retryUnreachable)
	}
	s.received.Mark(1)
	if refused := s.admit(zone, c); refused != nil {
		return nil, refused
	}
	return s.Serve(ctx, c)
}

// admit applies the region's quotas to a call from another region.
func (s *Stage) admit(zone string, c *call.Call) *refusal.Refusal {
	current := s.env.Configuration()
	if current == nil || current.RegionOf(zone) == current.RegionOf(s.env.Zone) {
		return nil
	}
	return s.env.Gate.Admit(s.env.Now(), callBytes(c))
}

// Stop refuses calls that are handed to this entry from now on.
func (s *Stage) Stop() { s.stopping.Store(true) }

// InFlight returns the number of handed calls that this entry serves.
func (s *Stage) InFlight() int64 { return s.inFlight.Load() }

// callBytes is the size of a call without its framing.
func callBytes(c *call.Call) int {
	return len(c.Request.Body) + len(c.Request.Target) + headerBytes(c.Request.Header)
}

// resultBytes is the size of a result without its framing, 0 for none.
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
