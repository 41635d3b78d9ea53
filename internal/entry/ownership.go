package entry

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/configuration"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/link"
	"lovagescale/internal/membership"
	"lovagescale/internal/ownership"
	"lovagescale/internal/quarantine"
	"lovagescale/internal/routing"
	"lovagescale/internal/wire"
)

// Message types of routing.
const (
	typeStatement = "ownership.statement"
	typeStrikes   = "quarantine.strikes"
)

// Intervals and bounds of routing's control.
const (
	ownershipInterval = 20 * time.Millisecond
	statementTimeout  = 500 * time.Millisecond
	publishInterval   = time.Second
	// settleLimit is how long after endpoints began to change hands requests
	// wait for them.
	settleLimit = 6 * time.Second
	// settleAfter is how long they wait after this entry has done its part and
	// a sibling may still have to claim.
	settleAfter = 2 * time.Second
	// strikeInterval gathers strikes into one message.
	strikeInterval = 50 * time.Millisecond
	// strikeAttempts bounds the sending of a message of strikes; strikeRetry is
	// the first pause between two, which doubles.
	strikeAttempts = 6
	strikeRetry    = 250 * time.Millisecond
	// maxStrikes bounds the strikes of one message and those that wait.
	maxStrikes = 256
)

// owning is the part of an entry that owns endpoints and tells of strikes.
type owning struct {
	entry   *Entry
	core    *ownership.Core // owned by the entry's loop
	strikes chan quarantine.Strike
	// welcome holds the links of members that are new to this entry.
	welcome chan string
	known   map[string]bool // by incarnation, owned by the entry's loop
	dropped metrics.Counter
	held    metrics.Gauge
	worst   routing.WorstServed // owned by the entry's loop
	// unsettledSince is when the present change of hands began; owned by the
	// entry's loop.
	unsettledSince time.Time
	// settlesBy is when requests stop waiting for it, in Unix nanoseconds.
	settlesBy atomic.Int64
}

// newOwning returns an entry's ownership without rights.
func newOwning(e *Entry) *owning {
	o := &owning{
		entry:   e,
		core:    ownership.New(time.Now(), e.self.Instance, e.self.Incarnation, ownership.Options{}),
		strikes: make(chan quarantine.Strike, maxStrikes),
		welcome: make(chan string, maxStrikes),
		known:   make(map[string]bool),
		dropped: metrics.GetOrRegisterCounter("quarantine.dropped_strikes", e.registry),
		held:    metrics.GetOrRegisterGauge("ownership.held_endpoints", e.registry),
	}
	e.router.SetRights(nil, time.Now())
	e.router.OnStrike(func(s quarantine.Strike) {
		select {
		case o.strikes <- s:
		default:
			o.dropped.Inc(1)
		}
	})
	return o
}

// handle adds the message types of routing.
func (o *owning) handle(links *link.Server) {
	links.Handle(typeStatement, o.receive)
	links.Handle(typeStrikes, o.receiveStrikes)
}

// run ticks ownership, probes endpoints and tells of strikes until ctx ends.
func (o *owning) run(ctx context.Context) error {
	go o.entry.router.RunProbes(ctx)
	go o.tellStrikes(ctx)
	go o.entry.loop.Every(ctx, publishInterval, func() { o.worst = o.entry.router.PublishWorstServed() })
	o.entry.loop.Every(ctx, ownershipInterval, func() { o.tick(ctx) })
	return nil
}

// configure runs on the control goroutine.
func (o *owning) configure(c *configuration.Configuration) {
	o.core.SetEndpoints(time.Now(), routing.EndpointTimeouts(c, o.entry.self.Zone))
	o.publish()
}

// view runs on the control goroutine.
func (o *owning) view(view *membership.View) {
	o.welcomeMembers(view)
	var peers []ownership.Sibling
	for _, m := range view.InZone(o.entry.self.Zone) {
		peers = append(peers, ownership.Sibling{Instance: m.Instance, Incarnation: m.Incarnation, Link: m.Link, Live: m.Usable()})
	}
	now := time.Now()
	o.core.SetSiblings(now, peers)
	if view.Self.State == instancelist.Leaving {
		o.core.SetLeaving(now)
	}
	o.publish()
}

// welcomeMembers has members that came or came back told of the strikes that
// they missed.
func (o *owning) welcomeMembers(view *membership.View) {
	known := make(map[string]bool, len(view.Members))
	for _, m := range view.Members {
		known[m.Incarnation] = true
		if o.known[m.Incarnation] || m.Incarnation == o.entry.self.Incarnation {
			continue
		}
		select {
		case o.welcome <- m.Link:
		default:
			o.dropped.Inc(1)
		}
	}
	o.known = known
}

// listed runs on the control goroutine.
func (o *owning) listed(instances []instancelist.Instance) {
	var peers []ownership.Sibling
	for _, instance := range instances {
		if instance.Zone == o.entry.self.Zone {
			peers = append(peers, ownership.Sibling{Instance: instance.ID, Link: instance.Link})
		}
	}
	o.core.SetInstanceList(time.Now(), peers)
	o.publish()
}

// tick runs on the control goroutine.
func (o *owning) tick(ctx context.Context) {
	o.releaseIdle()
	for _, out := range o.core.Tick(time.Now()) {
		go o.send(ctx, out)
	}
	o.publish()
}

// releaseIdle ends the rights to yielded endpoints without requests in flight.
func (o *owning) releaseIdle() {
	for _, endpoint := range o.core.Yielding() {
		if o.entry.router.InFlight(endpoint) == 0 {
			o.core.ReportDrained(time.Now(), endpoint)
		}
	}
}

// publish gives the router its rights.
func (o *owning) publish() {
	held := o.core.Held()
	if o.held.Value() != int64(len(held)) {
		o.entry.log.Info().Int("held", len(held)).Int("yielding", len(o.core.Yielding())).
			Bool("settled", o.core.Settled()).Msg("endpoints held changed")
	}
	o.held.Update(int64(len(held)))
	now := time.Now()
	rights := make([]routing.Right, 0, len(held))
	for _, endpoint := range held {
		of, first := o.core.SlotShare(now, endpoint)
		rights = append(rights, routing.Right{Key: endpoint, SlotDivisor: of, TakesRemainder: first})
	}
	o.entry.router.SetRights(rights, o.core.Expiry())
	o.publishUnsettled(now)
}

// publishUnsettled tells requests until when endpoints that change hands are
// worth a wait.
func (o *owning) publishUnsettled(now time.Time) {
	switch {
	case o.core.Unsettled():
		if o.unsettledSince.IsZero() {
			o.unsettledSince = now
		}
		o.settlesBy.Store(o.unsettledSince.Add(settleLimit).UnixNano())
	case !o.unsettledSince.IsZero():
		o.unsettledSince = time.Time{}
		o.settlesBy.Store(now.Add(settleAfter).UnixNano())
	}
}

// unsettled reports whether endpoints of the zone have begun to change hands
// lately.
func (o *owning) unsettled() bool { return time.Now().UnixNano() < o.settlesBy.Load() }

// send sends a statement. A refused connection proves that the process to which
// it was addressed has ended.
func (o *owning) send(ctx context.Context, out ownership.Outgoing) {
	if out.To.Link == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	var answer ownership.Answer
	err := o.entry.peers.Client(out.To.Link).Call(ctx, typeStatement, out.Statement, &answer)
	_ = o.entry.loop.Post(func() {
		switch {
		case err == nil:
			o.core.HandleAnswer(time.Now(), answer)
		case errors.Is(err, syscall.ECONNREFUSED):
			o.core.ReportDeath(time.Now(), out.To.Instance, out.To.Incarnation, ownership.ProcessEnded)
		}
		o.publish()
	})
}

func (o *owning) receive(ctx context.Context, request wire.Envelope) (any, error) {
	var statement ownership.Statement
	if err := request.Decode(&statement); err != nil {
		return nil, err
	}
	var answer ownership.Answer
	err := o.entry.loop.Call(ctx, func() {
		o.releaseIdle()
		answer = o.core.HandleStatement(time.Now(), statement)
		o.publish()
	})
	return answer, err
}

func (o *owning) receiveStrikes(_ context.Context, request wire.Envelope) (any, error) {
	var strikes []quarantine.Strike
	if err := request.Decode(&strikes); err != nil {
		return nil, err
	}
	if len(strikes) > maxStrikes {
		return nil, &wire.MalformedError{Type: typeStrikes}
	}
	for _, strike := range strikes {
		o.entry.router.RecordRemoteStrike(strike)
	}
	return struct{}{}, nil
}

// tellStrikes sends new strikes to all members.
func (o *owning) tellStrikes(ctx context.Context) {
	for {
		var batch []quarantine.Strike
		select {
		case <-ctx.Done():
			return
		case peer := <-o.welcome:
			if missed := o.entry.router.Strikes(maxStrikes); len(missed) > 0 {
				go o.sendStrikes(ctx, peer, missed)
			}
			continue
		case strike := <-o.strikes:
			batch = append(batch, strike)
		}
		wait(ctx, strikeInterval)
		for len(batch) < maxStrikes && len(o.strikes) > 0 {
			batch = append(batch, <-o.strikes)
		}
		for _, member := range o.entry.view.Load().Members {
			if member.Incarnation != o.entry.self.Incarnation {
				go o.sendStrikes(ctx, member.Link, batch)
			}
		}
	}
}

// sendStrikes tells a member of strikes, again after a failure: a member that
// misses one would let the request cost it two more endpoints.
func (o *owning) sendStrikes(ctx context.Context, peer string, batch []quarantine.Strike) {
	unsent := metrics.GetOrRegisterCounter("quarantine.unsent_strikes", o.entry.registry)
	pause := strikeRetry
	for range strikeAttempts {
		if o.sendStrikesOnce(ctx, peer, batch) == nil {
			return
		}
		unsent.Inc(1)
		wait(ctx, pause)
		pause *= 2
	}
}

func (o *owning) sendStrikesOnce(ctx context.Context, peer string, batch []quarantine.Strike) error {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	var reply struct{}
	return o.entry.peers.Client(peer).Call(ctx, typeStrikes, batch, &reply)
}

// routingDump is the state dump of routing.
type routingDump struct {
	Held        []string            `json:"held"`
	Yielding    []string            `json:"yielding"`
	Settled     bool                `json:"settled"`
	Struck      int                 `json:"struck_requests"`
	Quarantined int                 `json:"quarantined_requests"`
	Worst       routing.WorstServed `json:"worst_served"`
}

func (o *owning) dump(ctx context.Context) routingDump {
	var dump routingDump
	_ = o.entry.loop.Call(ctx, func() { // after the loop the rest is still true
		dump.Held = o.core.Held()
		dump.Yielding = o.core.Yielding()
		dump.Settled = o.core.Settled()
		dump.Worst = o.worst
	})
	dump.Struck, dump.Quarantined = o.entry.router.QuarantineCounts()
	return dump
}
