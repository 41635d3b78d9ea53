package quota

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/control"
)

// Driver runs a Core on the control goroutine and hands its tokens to the request
// path. Its methods must be called on the control goroutine.
type Driver struct {
	core     *Core
	now      control.Clock
	stage    *Stage
	send     func(to string, requests []GrantRequest)
	waiting  map[uint64]chan Decision
	lastTick time.Time

	grantRequestsSent   metrics.Counter
	grantRequestsLost   metrics.Counter
	grantRequestsServed metrics.Counter
}

// NewDriver returns a driver of the core that fills the pools of stage. The function
// send must not block; the reply is reported to HandleGrants or HandleLost.
func NewDriver(core *Core, now control.Clock, stage *Stage, registry metrics.Registry, send func(to string, requests []GrantRequest)) *Driver {
	d := &Driver{
		core:                core,
		now:                 now,
		stage:               stage,
		send:                send,
		waiting:             make(map[uint64]chan Decision),
		lastTick:            now(),
		grantRequestsSent:   metrics.GetOrRegisterCounter("quota.asks_sent", registry),
		grantRequestsLost:   metrics.GetOrRegisterCounter("quota.asks_lost", registry),
		grantRequestsServed: metrics.GetOrRegisterCounter("quota.asks_served", registry),
	}
	stage.driver = d
	return d
}

// acquire passes a request that the stage could not decide to the core.
func (d *Driver) acquire(workspace string, id uint64, deadline time.Time, decided chan Decision) {
	now := d.now()
	d.waiting[id] = decided
	d.checkIn(now, workspace)
	d.core.Acquire(now, workspace, id, deadline)
	d.checkOut(now, workspace)
	d.flush()
}

// Tick updates the measured demand and requests grants ahead of it.
func (d *Driver) Tick() {
	now := d.now()
	var active []string
	for name, p := range d.stage.currentPools() {
		if !p.idle(now) || d.core.HasQueuedRequests(name) {
			d.checkIn(now, name)
			active = append(active, name)
		}
	}
	d.core.Tick(now, max(time.Millisecond, now.Sub(d.lastTick)))
	d.lastTick = now
	for _, name := range active {
		d.checkOut(now, name)
	}
	d.flush()
}

// Serve answers the grant requests of another entry.
func (d *Driver) Serve(batch GrantRequestBatch) GrantBatch {
	now := d.now()
	for _, request := range batch.Requests {
		d.checkIn(now, request.Workspace)
	}
	grants := d.core.Serve(now, batch.From, batch.Requests)
	for _, request := range batch.Requests {
		d.checkOut(now, request.Workspace)
	}
	d.grantRequestsServed.Inc(int64(len(batch.Requests)))
	return GrantBatch{Grants: grants}
}

// HandleGrants processes the reply to grant requests that were sent.
func (d *Driver) HandleGrants(issuer string, grants []Grant) {
	now := d.now()
	for _, g := range grants {
		d.checkIn(now, g.Workspace)
	}
	d.core.HandleGrants(now, issuer, grants)
	for _, g := range grants {
		d.checkOut(now, g.Workspace)
	}
	d.flush()
}

// HandleLost processes grant requests that got no reply.
func (d *Driver) HandleLost(issuer string, requests []GrantRequest) {
	now := d.now()
	d.grantRequestsLost.Inc(int64(len(requests)))
	for _, request := range requests {
		d.checkIn(now, request.Workspace)
	}
	d.core.HandleLost(now, issuer, requests)
	for _, request := range requests {
		d.checkOut(now, request.Workspace)
	}
	d.flush()
}

// Update runs a function that may change the state of all workspaces.
func (d *Driver) Update(update func(now time.Time, core *Core)) {
	now := d.now()
	for name := range d.stage.currentPools() {
		d.checkIn(now, name)
	}
	update(now, d.core)
	d.stage.setWorkspaces(d.core.limits.Workspaces)
	for name := range d.stage.currentPools() {
		d.checkOut(now, name)
	}
	d.flush()
}

func (d *Driver) checkIn(now time.Time, workspace string) {
	p, known := d.stage.currentPools()[workspace]
	if !known {
		return
	}
	left := p.reclaim()
	if left == reclaimed {
		return
	}
	d.core.CheckIn(now, workspace, left, int(p.attempts.Swap(0)))
}

func (d *Driver) checkOut(now time.Time, workspace string) {
	p, known := d.stage.currentPools()[workspace]
	if !known {
		return
	}
	amount, expiresAt, refuseUntil, retryAfter := d.core.CheckOut(now, workspace)
	allotted := &allotment{expiresAt: expiresAt, refuseUntil: refuseUntil, retryAfter: retryAfter, publishedAt: now}
	allotted.left.Store(int64(amount))
	p.allotment.Store(allotted)
}

// flush sends the grant requests of the core, one message per entry, and delivers its
// decisions to the waiting requests.
func (d *Driver) flush() {
	requests, decisions := d.core.Drain()
	byIssuer := make(map[string][]GrantRequest)
	for _, outgoing := range requests {
		byIssuer[outgoing.To] = append(byIssuer[outgoing.To], outgoing.Request)
	}
	for to, batch := range byIssuer {
		d.grantRequestsSent.Inc(int64(len(batch)))
		d.send(to, batch)
	}
	for _, decision := range decisions {
		if decided, found := d.waiting[decision.ID]; found {
			decided <- decision
			delete(d.waiting, decision.ID)
		}
	}
}
