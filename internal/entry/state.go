package entry

import (
	"context"
	"lovagescale/internal/shift"
	"time"

	"lovagescale/internal/configuration"
	"lovagescale/internal/membership"
	"lovagescale/internal/quota"
	"lovagescale/internal/routing"
	"lovagescale/internal/spread"
)

func wait(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// putInForce runs on the control goroutine. It ignores a revision lower than
// the one in force; the same one comes again with a pushed withdrawal.
func (e *Entry) putInForce(c *configuration.Configuration) {
	if current := e.current.Load(); current != nil && c.Revision < current.Revision {
		return
	}
	e.current.Store(c)
	e.router.ApplyConfiguration(c)
	e.quotas.apply(c)
	e.applyShift(c)
	e.owning.configure(c)
	e.gateway.Apply(c)
	e.changes.signal()
	e.log.Info().Uint64("revision", c.Revision).Msg("configuration in force")
}

// Dump is the state dump of an entry.
type Dump struct {
	Self    membership.Member   `json:"self"`
	Members []membership.Member `json:"members"`
	Drain   drainDump           `json:"drain"`
	Shift   shift.State         `json:"shift"`
	// Membership holds what the view says besides its members.
	Membership membershipDump          `json:"membership"`
	Revision   uint64                  `json:"revision"`
	Spread     spread.StatusReply      `json:"spread"`
	Stopping   bool                    `json:"stopping"`
	Actions    actionDump              `json:"actions"`
	Quotas     quota.Dump              `json:"quotas"`
	Routing    routingDump             `json:"routing"`
	Endpoints  []routing.EndpointState `json:"endpoints"`
}

func (e *Entry) dump(ctx context.Context) (any, error) {
	view := e.view.Load()
	dump := Dump{
		Self:       view.Self,
		Members:    view.Members,
		Membership: dumpMembership(view),
		Drain:      e.drain.dump(),
		Shift:      e.gate.State(time.Now()),
		Stopping:   e.stopping.Load(),
		Actions:    e.dumpActions(),
		Routing:    e.owning.dump(ctx),
		Endpoints:  e.router.EndpointStates(),
	}
	if c := e.current.Load(); c != nil {
		dump.Revision = c.Revision
	}
	err := e.loop.Call(ctx, func() {
		dump.Spread = e.spreading.state()
		dump.Quotas = e.quotas.dump()
	})
	return dump, err
}
