package entry

import (
	"context"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/instancelist"
	"lovagescale/internal/membership"
	"lovagescale/internal/unit"
	"lovagescale/internal/wire"
)

// MembershipSettings configure the timing of membership. The fields without a comment
// are described in membership.Options. Zero fields get the defaults.
type MembershipSettings struct {
	HeartbeatInterval    unit.Duration `toml:"heartbeat_interval"`
	SuspectAfter         unit.Duration `toml:"suspect_after"`
	DeadAfter            unit.Duration `toml:"dead_after"`
	ListedDeadAfter      unit.Duration `toml:"listed_dead_after"`
	DeadRetention        unit.Duration `toml:"dead_retention"`
	GossipInterval       unit.Duration `toml:"gossip_interval"`
	GossipBytesPerSecond int           `toml:"gossip_bytes_per_second"`
	Fanout               int           `toml:"fanout"`
	ZoneSilence          unit.Duration `toml:"zone_silence"`
	// ListInterval is the minimum time between two reads of the platform's list;
	// default 1 s.
	ListInterval unit.Duration `toml:"list_interval"`
	// ListBytesPerSecond limits the bytes read from the list by increasing the
	// interval between reads; default 2000.
	ListBytesPerSecond int `toml:"list_bytes_per_second"`
}

// Defaults of ListInterval and ListBytesPerSecond.
const (
	defaultListInterval       = time.Second
	defaultListBytesPerSecond = 2000
)

// listedInstanceBytes is the assumed size of one instance in the platform's list.
const listedInstanceBytes = 150

// maxMembershipRequests limits the membership requests in flight.
const maxMembershipRequests = 256

func (s MembershipSettings) options() membership.Options {
	return membership.Options{
		HeartbeatInterval:    s.HeartbeatInterval.Std(),
		SuspectAfter:         s.SuspectAfter.Std(),
		DeadAfter:            s.DeadAfter.Std(),
		ListedDeadAfter:      s.ListedDeadAfter.Std(),
		DeadRetention:        s.DeadRetention.Std(),
		GossipInterval:       s.GossipInterval.Std(),
		GossipBytesPerSecond: s.GossipBytesPerSecond,
		Fanout:               s.Fanout,
		ZoneSilence:          s.ZoneSilence.Std(),
	}
}

// listPollInterval returns the time until the next read of the platform's list, given
// the number of instances in it.
func (s MembershipSettings) listPollInterval(instances int) time.Duration {
	minInterval := s.ListInterval.Std()
	if minInterval == 0 {
		minInterval = defaultListInterval
	}
	rate := s.ListBytesPerSecond
	if rate == 0 {
		rate = defaultListBytesPerSecond
	}
	rateInterval := time.Duration(instances*listedInstanceBytes) * time.Second / time.Duration(rate)
	return max(minInterval, rateInterval)
}

// setUpMembership creates the membership core and its first view.
func (e *Entry) setUpMembership() {
	random := mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
	e.membership = membership.NewCore(time.Now(), e.self, random, e.settings.Membership.options())
	e.view.Store(e.membership.View())
}

// handleMembershipRequest answers a request of another entry's membership core.
func (e *Entry) handleMembershipRequest(ctx context.Context, envelope wire.Envelope) (any, error) {
	var message membership.Message
	if err := envelope.Decode(&message); err != nil {
		return nil, err
	}
	var reply membership.Message
	err := e.loop.Call(ctx, func() {
		reply = e.membership.HandleRequest(time.Now(), message)
		e.publishView()
	})
	return reply, err
}

// runMembership ticks the membership core and sends its requests until ctx ends. It
// also starts the goroutine that polls the platform's list.
func (e *Entry) runMembership(ctx context.Context) {
	var listPoller sync.WaitGroup
	defer listPoller.Wait()
	listPoller.Go(func() { e.pollInstanceList(ctx) })
	inFlight := make(chan struct{}, maxMembershipRequests)
	e.loop.Every(ctx, e.membership.Options().TickInterval(), func() {
		e.sendMembershipRequests(ctx, inFlight, e.membership.Tick(time.Now()))
		e.publishView()
		e.observeShiftZone(time.Now(), e.membership.View())
	})
}

// pollInstanceList reads the platform's list periodically until ctx ends and passes it
// to the cores that use it.
func (e *Entry) pollInstanceList(ctx context.Context) {
	failures := metrics.GetOrRegisterCounter("membership.list_failures", e.registry)
	instanceCount := 0
	for ctx.Err() == nil {
		instances, err := e.instanceList.Instances(ctx)
		if err != nil {
			failures.Inc(1)
		} else {
			instanceCount = len(instances)
			e.quotas.setInstanceList(instances)
			_ = e.loop.Post(func() { e.applyInstanceList(instances) })
		}
		sleep(ctx, e.settings.Membership.listPollInterval(instanceCount))
	}
}

// applyInstanceList passes the platform's list to the membership and the ownership core.
// It runs on the control goroutine.
func (e *Entry) applyInstanceList(instances []instancelist.Instance) {
	e.membership.SetInstanceList(instances)
	e.ownership.applyInstanceList(instances)
	e.publishView()
}

// sendMembershipRequests sends requests in the background. Requests above
// maxMembershipRequests are dropped; later heartbeats and gossip make up for them. It
// runs on the control goroutine.
func (e *Entry) sendMembershipRequests(ctx context.Context, inFlight chan struct{}, requests []membership.Outgoing) {
	for _, request := range requests {
		select {
		case inFlight <- struct{}{}:
			go func() {
				defer func() { <-inFlight }()
				e.sendMembershipRequest(ctx, inFlight, request)
			}()
		default:
			metrics.GetOrRegisterCounter("membership.dropped_requests", e.registry).Inc(1)
		}
	}
}

func (e *Entry) sendMembershipRequest(ctx context.Context, inFlight chan struct{}, request membership.Outgoing) {
	callCtx, cancel := context.WithTimeout(ctx, e.membership.Options().HeartbeatInterval)
	defer cancel()
	var reply membership.Message
	if err := e.peers.Client(request.Peer).Call(callCtx, membership.TypeExchange, request.Message, &reply); err != nil {
		metrics.GetOrRegisterCounter("membership.unanswered_requests", e.registry).Inc(1)
		return
	}
	_ = e.loop.Post(func() {
		e.sendMembershipRequests(ctx, inFlight, e.membership.HandleReply(time.Now(), request, reply))
		e.publishView()
	})
}

// publishView publishes the view of the membership core. If a member has changed, it
// informs the router and the ownership core and wakes the lookup streams. It runs on
// the control goroutine.
func (e *Entry) publishView() {
	next := e.membership.View()
	previous := e.view.Swap(next)
	if previous == next {
		return
	}
	metrics.GetOrRegisterGauge("membership.members", e.registry).Update(int64(len(next.Members)))
	metrics.GetOrRegisterGauge("membership.silent_zones", e.registry).Update(int64(len(next.SilentZones)))
	if previous.Self == next.Self && slices.Equal(previous.Members, next.Members) {
		return
	}
	e.logMemberChanges(previous, next)
	e.router.ApplyView(next)
	e.ownership.applyView(next)
	e.changes.notify()
}

// logMemberChanges logs the members of this entry's zone that are new, changed or gone.
func (e *Entry) logMemberChanges(previous, next *membership.View) {
	for _, member := range next.InZone(e.self.Zone) {
		if before, known := previous.ByIncarnation(member.Incarnation); known && before == member {
			continue
		}
		e.log.Info().Str("member", member.Incarnation).Str("state", string(member.State)).
			Bool("suspected", member.Suspected).Uint64("counter", member.Counter).Msg("member changed")
	}
	for _, member := range previous.InZone(e.self.Zone) {
		if _, known := next.ByIncarnation(member.Incarnation); !known {
			e.log.Warn().Str("member", member.Incarnation).Msg("member is gone")
		}
	}
}

// announceLeaving tells the siblings and the lookup servers that this incarnation is
// leaving. It waits for the siblings' replies.
func (e *Entry) announceLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), e.membership.Options().HeartbeatInterval)
	defer cancel()
	var requests []membership.Outgoing
	err := e.loop.Call(ctx, func() {
		requests = e.membership.Leave(time.Now())
		e.publishView()
	})
	if err != nil {
		e.log.Warn().Err(err).Msg("siblings could not be notified that this entry is leaving")
		return
	}
	var pending sync.WaitGroup
	for _, request := range requests {
		pending.Go(func() { e.sendMembershipRequest(ctx, make(chan struct{}, maxMembershipRequests), request) })
	}
	pending.Wait()
}

// membershipDump is the state of membership in a state dump.
type membershipDump struct {
	ConfirmedUntil time.Time `json:"confirmed_until"`
	Delegates      []string  `json:"delegates"`
	SilentZones    []string  `json:"silent_zones"`
}

func dumpMembership(view *membership.View) membershipDump {
	return membershipDump{
		ConfirmedUntil: view.ConfirmedUntil,
		Delegates:      view.Delegates,
		SilentZones:    view.SilentZones,
	}
}
