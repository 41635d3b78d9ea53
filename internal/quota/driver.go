package quota

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/control"
)

// Driver runs a Core on the control goroutine and publishes its tokens to the
// request path. Its methods must be called on the control goroutine.
type Driver struct {
	core     *Core
	now      control.Clock
	stage    *Stage
	send     func(to string, asks []Ask)
	waiting  map[uint64]chan Decision
	lastTick time.Time

	asksSent metrics.Counter
	asksLost metrics.Counter
	served   metrics.Counter
}

// NewDriver returns a driver of the core that fills the pools of stage. Send
// must not block; its answer comes back by Granted or Lost.
func NewDriver(core *Core, now control.Clock, stage *Stage, registry metrics.Registry, send func(to string, asks []Ask)) *Driver {
	d := &Driver{
		core:     core,
		now:      now,
		stage:    stage,
		send:     send,
		waiting:  make(map[uint64]chan Decision),
		lastTick: now(),
		asksSent: metrics.GetOrRegisterCounter("quota.asks_sent", registry),
		asksLost: metrics.GetOrRegisterCounter("quota.asks_lost", registry),
		served:   metrics.GetOrRegisterCounter("quota.asks_served", registry),
	}
	stage.driver = d
	return d
}

// request is the slow path of the stage.
func (d *Driver) request(workspace string, id uint64, deadline time.Time, decided chan Decision) {
	now := d.now()
	d.waiting[id] = decided
	d.checkIn(now, workspace)
	d.core.Request(now, workspace, id, deadline)
	d.checkOut(now, workspace)
	d.flush()
}

// Tick measures demand and borrows ahead of it.
func (d *Driver) Tick() {
	now := d.now()
	var active []string
	for name, p := range d.stage.all() {
		if !p.idle(now) || d.core.Queued(name) {
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

// Serve answers the asks of another entry.
func (d *Driver) Serve(batch AskBatch) GrantBatch {
	now := d.now()
	for _, ask := range batch.Asks {
		d.checkIn(now, ask.Workspace)
	}
	grants := d.core.Serve(now, batch.From, batch.Asks)
	for _, ask := range batch.Asks {
		d.checkOut(now, ask.Workspace)
	}
	d.served.Inc(int64(len(batch.Asks)))
	return GrantBatch{Grants: grants}
}

// Granted takes the answer to asks that were sent.
func (d *Driver) Granted(issuer string, grants []Grant) {
	now := d.now()
	for _, g := range grants {
		d.checkIn(now, g.Workspace)
	}
	d.core.Granted(now, issuer, grants)
	for _, g := range grants {
		d.checkOut(now, g.Workspace)
	}
	d.flush()
}

// Lost reports asks that were sent and got no answer.
func (d *Driver) Lost(issuer string, asks []Ask) {
	now := d.now()
	d.asksLost.Inc(int64(len(asks)))
	for _, ask := range asks {
		d.checkIn(now, ask.Workspace)
	}
	d.core.Lost(now, issuer, asks)
	for _, ask := range asks {
		d.checkOut(now, ask.Workspace)
	}
	d.flush()
}

// Change runs a step that may change any part of the quotas.
func (d *Driver) Change(step func(now time.Time, core *Core)) {
	now := d.now()
	for name := range d.stage.all() {
		d.checkIn(now, name)
	}
	step(now, d.core)
	d.stage.keep(d.core.limits.Workspaces)
	for name := range d.stage.all() {
		d.checkOut(now, name)
	}
	d.flush()
}

func (d *Driver) checkIn(now time.Time, workspace string) {
	p, known := d.stage.all()[workspace]
	if !known {
		return
	}
	left := p.close()
	if left == closed {
		return
	}
	d.core.CheckIn(now, workspace, left, int(p.attempts.Swap(0)))
}

func (d *Driver) checkOut(now time.Time, workspace string) {
	p, known := d.stage.all()[workspace]
	if !known {
		return
	}
	amount, expiresAt, refuseUntil, retryAfter := d.core.CheckOut(now, workspace)
	next := &cell{expiresAt: expiresAt, refuseUntil: refuseUntil, retryAfter: retryAfter, publishedAt: now}
	next.left.Store(int64(amount))
	p.cell.Store(next)
}

// flush sends the asks of the core, one message to each entry, and passes its
// decisions on.
func (d *Driver) flush() {
	asks, decisions := d.core.Drain()
	byIssuer := make(map[string][]Ask)
	for _, out := range asks {
		byIssuer[out.To] = append(byIssuer[out.To], out.Ask)
	}
	for to, batch := range byIssuer {
		d.asksSent.Inc(int64(len(batch)))
		d.send(to, batch)
	}
	for _, decision := range decisions {
		if decided, found := d.waiting[decision.ID]; found {
			decided <- decision
			delete(d.waiting, decision.ID)
		}
	}
}
