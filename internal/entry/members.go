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

// MembershipSettings set the timing of membership. Zeros take the defaults of
// membership.Options.
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
	// ListInterval is the shortest time between reads of the platform's list;
	// default 1 s.
	ListInterval unit.Duration `toml:"list_interval"`
	// ListBytesPerSecond bounds the reading of the list by stretching the
	// interval; default 2000.
	ListBytesPerSecond int `toml:"list_bytes_per_second"`
}

// Defaults of the reading of the platform's list.
const (
	defaultListInterval       = time.Second
	defaultListBytesPerSecond = 2000
)

// listedInstanceBytes is the size of one instance in the platform's list.
const listedInstanceBytes = 150

// maxExchanges bounds the exchanges in flight.
const maxExchanges = 256

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

// listInterval returns the time to the next read of a list of some size.
func (s MembershipSettings) listInterval(instances int) time.Duration {
	shortest := s.ListInterval.Std()
	if shortest == 0 {
		shortest = defaultListInterval
	}
	rate := s.ListBytesPerSecond
	if rate == 0 {
		rate = defaultListBytesPerSecond
	}
	paced := time.Duration(instances*listedInstanceBytes) * time.Second / time.Duration(rate)
	return max(shortest, paced)
}

// setUpMembers creates the membership core and its first view.
func (e *Entry) setUpMembers() {
	random := mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
	e.members = membership.NewCore(time.Now(), e.self, random, e.settings.Membership.options())
	e.view.Store(e.members.View())
}

// exchange serves a request of another entry's membership core.
func (e *Entry) exchange(ctx context.Context, request wire.Envelope) (any, error) {
	var message membership.Message
	if err := request.Decode(&message); err != nil {
		return nil, err
	}
	var reply membership.Message
	err := e.loop.Call(ctx, func() {
		reply = e.members.HandleRequest(time.Now(), message)
		e.publishMembers()
	})
	return reply, err
}

// watchMembers ticks the membership core until ctx ends and sends what it asks
// for. The platform's list is read beside it.
func (e *Entry) watchMembers(ctx context.Context) {
	var list sync.WaitGroup
	defer list.Wait()
	list.Go(func() { e.watchList(ctx) })
	sending := make(chan struct{}, maxExchanges)
	e.loop.Every(ctx, e.members.Options().TickInterval(), func() {
		e.sendExchanges(ctx, sending, e.members.Tick(time.Now()))
		e.publishMembers()
		e.observeShift(time.Now(), e.members.View())
	})
}

// watchList passes the platform's list to the core until ctx ends.
func (e *Entry) watchList(ctx context.Context) {
	failures := metrics.GetOrRegisterCounter("membership.list_failures", e.registry)
	listed := 0
	for ctx.Err() == nil {
		instances, err := e.list.Instances(ctx)
		if err != nil {
			failures.Inc(1)
		} else {
			listed = len(instances)
			e.quotas.setListed(instances)
			_ = e.loop.Post(func() { e.putList(instances) })
		}
		wait(ctx, e.settings.Membership.listInterval(listed))
	}
}

// putList runs on the control goroutine.
func (e *Entry) putList(instances []instancelist.Instance) {
	e.members.SetInstanceList(instances)
	e.owning.listed(instances)
	e.publishMembers()
}

// sendExchanges runs on the control goroutine. Requests above the bound are
// dropped; heartbeats and gossip repeat them.
func (e *Entry) sendExchanges(ctx context.Context, sending chan struct{}, requests []membership.Outgoing) {
	for _, request := range requests {
		select {
		case sending <- struct{}{}:
			go func() {
				defer func() { <-sending }()
				e.sendExchange(ctx, sending, request)
			}()
		default:
			metrics.GetOrRegisterCounter("membership.dropped_requests", e.registry).Inc(1)
		}
	}
}

func (e *Entry) sendExchange(ctx context.Context, sending chan struct{}, request membership.Outgoing) {
	call, cancel := context.WithTimeout(ctx, e.members.Options().HeartbeatInterval)
	defer cancel()
	var reply membership.Message
	if err := e.peers.Client(request.Peer).Call(call, membership.TypeExchange, request.Message, &reply); err != nil {
		metrics.GetOrRegisterCounter("membership.unanswered_requests", e.registry).Inc(1)
		return
	}
	_ = e.loop.Post(func() {
		e.sendExchanges(ctx, sending, e.members.HandleReply(time.Now(), request, reply))
		e.publishMembers()
	})
}

// publishMembers runs on the control goroutine. It wakes the look-up streams
// when a member changed.
func (e *Entry) publishMembers() {
	next := e.members.View()
	previous := e.view.Swap(next)
	if previous == next {
		return
	}
	metrics.GetOrRegisterGauge("membership.members", e.registry).Update(int64(len(next.Members)))
	metrics.GetOrRegisterGauge("membership.silent_zones", e.registry).Update(int64(len(next.SilentZones)))
	if previous.Self == next.Self && slices.Equal(previous.Members, next.Members) {
		return
	}
	e.logChanges(previous, next)
	e.router.ApplyView(next)
	e.owning.view(next)
	e.changes.signal()
}

// logChanges logs the members of the own zone that came, went or changed.
func (e *Entry) logChanges(previous, next *membership.View) {
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

// leaveMembers tells the siblings and the look-ups that this incarnation takes
// no new work.
func (e *Entry) leaveMembers() {
	ctx, cancel := context.WithTimeout(context.Background(), e.members.Options().HeartbeatInterval)
	defer cancel()
	var requests []membership.Outgoing
	err := e.loop.Call(ctx, func() {
		requests = e.members.Leave(time.Now())
		e.publishMembers()
	})
	if err != nil {
		e.log.Warn().Err(err).Msg("siblings were not told that this entry leaves")
		return
	}
	var told sync.WaitGroup
	for _, request := range requests {
		told.Go(func() { e.sendExchange(ctx, make(chan struct{}, maxExchanges), request) })
	}
	told.Wait()
}

// membershipDump is the state dump of membership.
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
