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

// Message types of ownership and quarantine.
const (
	typeStatement = "ownership.statement"
	typeStrikes   = "quarantine.strikes"
)

// Intervals, timeouts and limits of ownership and quarantine.
const (
	ownershipInterval = 20 * time.Millisecond
	// statementTimeout limits one request with a statement or with strikes.
	statementTimeout    = 500 * time.Millisecond
	worstServedInterval = time.Second
	// ownershipChangeLimit is the time since the start of an ownership change during
	// which requests wait for it.
	ownershipChangeLimit = 6 * time.Second
	// siblingClaimWait is how long requests still wait once this entry takes no part in
	// the change any more, since a sibling may still have to claim endpoints.
	siblingClaimWait = 2 * time.Second
	// strikeBatchInterval is the time for which strikes are collected into one
	// message.
	strikeBatchInterval = 50 * time.Millisecond
	// maxStrikeAttempts limits the attempts to send a message of strikes to a member.
	// strikeRetryDelay is the delay before the second one; it doubles each time.
	maxStrikeAttempts = 6
	strikeRetryDelay  = 250 * time.Millisecond
	// maxStrikes limits the strikes in one message, the queue of strikes to send and
	// the queue of new members.
	maxStrikes = 256
)

// ownershipController drives the ownership core of an entry, gives the router its
// rights and sends strikes to the other members.
type ownershipController struct {
	entry      *Entry
	core       *ownership.Core // only used on the control goroutine
	newStrikes chan quarantine.Strike
	// newMemberLinks holds the link addresses of members that are new to this entry and
	// are to be sent the active strikes.
	newMemberLinks    chan string
	knownIncarnations map[string]bool // only used on the control goroutine
	// droppedStrikes counts the strikes and the new members that found no room in their
	// queue.
	droppedStrikes metrics.Counter
	heldEndpoints  metrics.Gauge
	worstServed    routing.WorstServed // only used on the control goroutine
	// changeStartedAt is when the present ownership change began, or zero. It is only
	// used on the control goroutine.
	changeStartedAt time.Time
	// changeWaitEnd is the time until which requests wait for an ownership change, in
	// Unix nanoseconds.
	changeWaitEnd atomic.Int64
}

// newOwnershipController returns a controller without rights to any endpoint. It gets
// the strikes of this entry's router.
func newOwnershipController(e *Entry) *ownershipController {
	o := &ownershipController{
		entry:             e,
		core:              ownership.New(time.Now(), e.self.Instance, e.self.Incarnation, ownership.Options{}),
		newStrikes:        make(chan quarantine.Strike, maxStrikes),
		newMemberLinks:    make(chan string, maxStrikes),
		knownIncarnations: make(map[string]bool),
		droppedStrikes:    metrics.GetOrRegisterCounter("quarantine.dropped_strikes", e.registry),
		heldEndpoints:     metrics.GetOrRegisterGauge("ownership.held_endpoints", e.registry),
	}
	e.router.SetRights(nil, time.Now())
	e.router.OnStrike(func(s quarantine.Strike) {
		select {
		case o.newStrikes <- s:
		default:
			o.droppedStrikes.Inc(1)
		}
	})
	return o
}

// registerHandlers registers the handlers of statements and strikes.
func (o *ownershipController) registerHandlers(links *link.Server) {
	links.Handle(typeStatement, o.handleStatement)
	links.Handle(typeStrikes, o.handleStrikes)
}

// run ticks the ownership core, probes endpoints, publishes the worst-served workspaces
// and distributes strikes until ctx ends.
func (o *ownershipController) run(ctx context.Context) error {
	go o.entry.router.RunProbes(ctx)
	go o.distributeStrikes(ctx)
	go o.entry.loop.Every(ctx, worstServedInterval, func() { o.worstServed = o.entry.router.PublishWorstServed() })
	o.entry.loop.Every(ctx, ownershipInterval, func() { o.tick(ctx) })
	return nil
}

// applyConfiguration updates the endpoints of the zone. It runs on the control
// goroutine.
func (o *ownershipController) applyConfiguration(c *configuration.Configuration) {
	o.core.SetEndpoints(time.Now(), routing.EndpointTimeouts(c, o.entry.self.Zone))
	o.publishRights()
}

// applyView updates the siblings and this entry's own state. It runs on the control
// goroutine.
func (o *ownershipController) applyView(view *membership.View) {
	o.queueNewMembers(view)
	var siblings []ownership.Sibling
	for _, m := range view.InZone(o.entry.self.Zone) {
		siblings = append(siblings, ownership.Sibling{Instance: m.Instance, Incarnation: m.Incarnation, Link: m.Link, Live: m.Usable()})
	}
	now := time.Now()
	o.core.SetSiblings(now, siblings)
	if view.Self.State == instancelist.Leaving {
		o.core.SetLeaving(now)
	}
	o.publishRights()
}

// queueNewMembers queues the members that are new or have returned, so that they are
// sent the strikes that they have missed.
func (o *ownershipController) queueNewMembers(view *membership.View) {
	incarnations := make(map[string]bool, len(view.Members))
	for _, m := range view.Members {
		incarnations[m.Incarnation] = true
		if o.knownIncarnations[m.Incarnation] || m.Incarnation == o.entry.self.Incarnation {
			continue
		}
		select {
		case o.newMemberLinks <- m.Link:
		default:
			o.droppedStrikes.Inc(1)
		}
	}
	o.knownIncarnations = incarnations
}

// applyInstanceList passes the listed instances of the zone to the core. It runs on the
// control goroutine.
func (o *ownershipController) applyInstanceList(instances []instancelist.Instance) {
	var siblings []ownership.Sibling
	for _, instance := range instances {
		if instance.Zone == o.entry.self.Zone {
			siblings = append(siblings, ownership.Sibling{Instance: instance.ID, Link: instance.Link})
		}
	}
	o.core.SetInstanceList(time.Now(), siblings)
	o.publishRights()
}

// tick sends the statements that are due and updates the rights. It runs on the control
// goroutine.
func (o *ownershipController) tick(ctx context.Context) {
	o.reportDrained()
	for _, out := range o.core.Tick(time.Now()) {
		go o.sendStatement(ctx, out)
	}
	o.publishRights()
}

// reportDrained tells the core which yielding endpoints have no request in flight, so
// that it releases them.
func (o *ownershipController) reportDrained() {
	for _, endpoint := range o.core.Yielding() {
		if o.entry.router.InFlight(endpoint) == 0 {
			o.core.ReportDrained(time.Now(), endpoint)
		}
	}
}

// publishRights passes the held endpoints and the shares of their slots to the router.
func (o *ownershipController) publishRights() {
	held := o.core.Held()
	if o.heldEndpoints.Value() != int64(len(held)) {
		o.entry.log.Info().Int("held", len(held)).Int("yielding", len(o.core.Yielding())).
			Bool("settled", o.core.Stable()).Msg("number of held endpoints changed")
	}
	o.heldEndpoints.Update(int64(len(held)))
	now := time.Now()
	rights := make([]routing.Right, 0, len(held))
	for _, endpoint := range held {
		divisor, takesRemainder := o.core.SlotShare(now, endpoint)
		rights = append(rights, routing.Right{Key: endpoint, SlotDivisor: divisor, TakesRemainder: takesRemainder})
	}
	o.entry.router.SetRights(rights, o.core.Expiry())
	o.updateChangeWait(now)
}

// updateChangeWait sets the time until which requests wait for an ownership change.
func (o *ownershipController) updateChangeWait(now time.Time) {
	switch {
	case o.core.ChangeInProgress():
		if o.changeStartedAt.IsZero() {
			o.changeStartedAt = now
		}
		o.changeWaitEnd.Store(o.changeStartedAt.Add(ownershipChangeLimit).UnixNano())
	case !o.changeStartedAt.IsZero():
		o.changeStartedAt = time.Time{}
		o.changeWaitEnd.Store(now.Add(siblingClaimWait).UnixNano())
	}
}

// ownershipChanging reports whether requests should wait for an ownership change of
// endpoints in the zone.
func (o *ownershipController) ownershipChanging() bool {
	return time.Now().UnixNano() < o.changeWaitEnd.Load()
}

// sendStatement sends a statement and passes the reply to the core. A refused
// connection proves that the process to which the statement was addressed has ended.
func (o *ownershipController) sendStatement(ctx context.Context, out ownership.Outgoing) {
	if out.To.Link == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	var reply ownership.Reply
	err := o.entry.peers.Client(out.To.Link).Call(ctx, typeStatement, out.Statement, &reply)
	_ = o.entry.loop.Post(func() {
		switch {
		case err == nil:
			o.core.HandleReply(time.Now(), reply)
		case errors.Is(err, syscall.ECONNREFUSED):
			o.core.ReportDeath(time.Now(), out.To.Instance, out.To.Incarnation, ownership.ProcessEnded)
		}
		o.publishRights()
	})
}

func (o *ownershipController) handleStatement(ctx context.Context, envelope wire.Envelope) (any, error) {
	var statement ownership.Statement
	if err := envelope.Decode(&statement); err != nil {
		return nil, err
	}
	var reply ownership.Reply
	err := o.entry.loop.Call(ctx, func() {
		o.reportDrained()
		reply = o.core.HandleStatement(time.Now(), statement)
		o.publishRights()
	})
	return reply, err
}

func (o *ownershipController) handleStrikes(_ context.Context, envelope wire.Envelope) (any, error) {
	var strikes []quarantine.Strike
	if err := envelope.Decode(&strikes); err != nil {
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

// distributeStrikes sends new strikes to all members, and all active strikes to new
// members, until ctx ends.
func (o *ownershipController) distributeStrikes(ctx context.Context) {
	for {
		var batch []quarantine.Strike
		select {
		case <-ctx.Done():
			return
		case newMember := <-o.newMemberLinks:
			if active := o.entry.router.ActiveStrikes(maxStrikes); len(active) > 0 {
				go o.sendStrikes(ctx, newMember, active)
			}
			continue
		case strike := <-o.newStrikes:
			batch = append(batch, strike)
		}
		sleep(ctx, strikeBatchInterval)
		for len(batch) < maxStrikes && len(o.newStrikes) > 0 {
			batch = append(batch, <-o.newStrikes)
		}
		for _, member := range o.entry.view.Load().Members {
			if member.Incarnation != o.entry.self.Incarnation {
				go o.sendStrikes(ctx, member.Link, batch)
			}
		}
	}
}

// sendStrikes sends strikes to a member and retries after failures, up to
// maxStrikeAttempts in all. Without the retries, a request could crash two more
// endpoints of a member that has missed a strike against it.
func (o *ownershipController) sendStrikes(ctx context.Context, address string, batch []quarantine.Strike) {
	failures := metrics.GetOrRegisterCounter("quarantine.unsent_strikes", o.entry.registry)
	delay := strikeRetryDelay
	for range maxStrikeAttempts {
		if o.sendStrikesOnce(ctx, address, batch) == nil {
			return
		}
		failures.Inc(1)
		sleep(ctx, delay)
		delay *= 2
	}
}

func (o *ownershipController) sendStrikesOnce(ctx context.Context, address string, batch []quarantine.Strike) error {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	var reply struct{}
	return o.entry.peers.Client(address).Call(ctx, typeStrikes, batch, &reply)
}

// routingDump is the state of routing in a state dump.
type routingDump struct {
	Held        []string            `json:"held"`
	Yielding    []string            `json:"yielding"`
	Stable      bool                `json:"settled"`
	WithStrikes int                 `json:"struck_requests"`
	Quarantined int                 `json:"quarantined_requests"`
	WorstServed routing.WorstServed `json:"worst_served"`
}

func (o *ownershipController) dump(ctx context.Context) routingDump {
	var dump routingDump
	_ = o.entry.loop.Call(ctx, func() { // if the loop has ended, the other fields remain valid
		dump.Held = o.core.Held()
		dump.Yielding = o.core.Yielding()
		dump.Stable = o.core.Stable()
		dump.WorstServed = o.worstServed
	})
	dump.WithStrikes, dump.Quarantined = o.entry.router.QuarantineCounts()
	return dump
}
