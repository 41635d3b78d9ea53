package entry

import (
	"context"
	"lovagescale/internal/shift"
	"time"

	"lovagescale/internal/configuration"
	"lovagescale/internal/intake"
	"lovagescale/internal/membership"
	"lovagescale/internal/pipeline"
	"lovagescale/internal/quota"
	"lovagescale/internal/routing"
	"lovagescale/internal/spread"
)

// sleep blocks for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// activateConfiguration activates a configuration. It ignores revisions below the active
// one. The active revision is activated again with a key withdrawal that was pushed
// ahead of the next revision. It runs on the control goroutine.
func (e *Entry) activateConfiguration(c *configuration.Configuration) {
	if current := e.configuration.Load(); current != nil && c.Revision < current.Revision {
		return
	}
	e.configuration.Store(c)
	e.router.ApplyConfiguration(c)
	e.quotas.applyConfiguration(c)
	e.applyShiftLimits(c)
	e.ownership.applyConfiguration(c)
	e.gateway.ApplyConfiguration(c)
	e.changes.notify()
	e.log.Info().Uint64("revision", c.Revision).Msg("configuration in force")
}

// Dump is the state dump of an entry.
type Dump struct {
	Self    membership.Member   `json:"self"`
	Members []membership.Member `json:"members"`
	Drain   drainDump           `json:"drain"`
	Shift   shift.State         `json:"shift"`
	// Membership holds the parts of the membership view other than its members.
	Membership membershipDump          `json:"membership"`
	Revision   uint64                  `json:"revision"`
	Spread     spread.StatusReply      `json:"spread"`
	Stopping   bool                    `json:"stopping"`
	Actions    actionDump              `json:"actions"`
	Quotas     quota.Dump              `json:"quotas"`
	Routing    routingDump             `json:"routing"`
	Endpoints  []routing.EndpointState `json:"endpoints"`
	// Pipelines are the callers' connections with requests that were started early.
	Pipelines []pipeline.Description `json:"pipelines"`
	// Intake is what clients can make the entry hold.
	Intake intake.Description `json:"intake"`
}

func (e *Entry) dump(ctx context.Context) (any, error) {
	view := e.view.Load()
	dump := Dump{
		Self:       view.Self,
		Members:    view.Members,
		Membership: dumpMembership(view),
		Drain:      e.drain.dump(),
		Shift:      e.shiftGate.State(time.Now()),
		Stopping:   e.stopping.Load(),
		Actions:    e.dumpActions(),
		Routing:    e.ownership.dump(ctx),
		Endpoints:  e.router.EndpointStates(),
		Pipelines:  e.pipelines.Load().Describe(time.Now()),
		Intake:     e.intake.Describe(),
	}
	if c := e.configuration.Load(); c != nil {
		dump.Revision = c.Revision
	}
	err := e.loop.Call(ctx, func() {
		dump.Spread = e.spread.status()
		dump.Quotas = e.quotas.dump()
	})
	return dump, err
}
