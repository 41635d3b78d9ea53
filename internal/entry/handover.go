package entry

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/handover"
	"lovagescale/internal/membership"
	"lovagescale/internal/shift"
)

// setUpHandover creates the stage that hands calls on, and the region's gate.
func (e *Entry) setUpHandover() {
	e.gate = shift.NewGate(time.Now(), shiftHold(e.members.Options()), e.registry)
	e.handing = handover.NewStage(handover.Environment{
		Zone:              e.self.Zone,
		Next:              e.router,
		Send:              e.handTo,
		View:              e.view.Load,
		Configuration:     e.current.Load,
		Owners:            e.router.Owners,
		OwnershipChanging: func() bool { return e.owning.unsettled() },
		Gate:              e.gate,
		Now:               time.Now,
		RandIntN:          mathrand.IntN,
		Registry:          e.registry,
	})
}

// shiftHold is the time for which an entry counts siblings that are gone, and
// for which a new entry takes no shifted traffic. It is longer than a paused
// sibling, which has not seen the new entry, counts as confirmed.
func shiftHold(options membership.Options) time.Duration {
	return options.SuspectAfter + options.ListedDeadAfter + 2*options.HeartbeatInterval
}

func (e *Entry) handTo(ctx context.Context, link, zone string, c *call.Call) (*call.Result, error) {
	return handover.Send(ctx, e.peers, link, zone, c)
}

// applyShift puts the quotas of the region in force.
func (e *Entry) applyShift(c *configuration.Configuration) {
	region := c.Regions[c.RegionOf(e.self.Zone)]
	e.gate.Apply(shift.Limits{
		Region:             region.Name,
		LinkBytesPerSecond: region.LinkBytesPerSecond,
		CapPerSecond:       region.ShiftCapPerSecond,
	})
}

// observeShift tells the gate how many entries share the region's quotas.
func (e *Entry) observeShift(now time.Time, view *membership.View) {
	c := e.current.Load()
	if c == nil {
		return
	}
	zones := 0
	for name := range c.Zones {
		if c.RegionOf(name) == c.RegionOf(e.self.Zone) {
			zones++
		}
	}
	e.gate.Observe(now, shift.ZoneState{
		Entries:        len(view.InZone(e.self.Zone)),
		Zones:          zones,
		ConfirmedUntil: view.ConfirmedUntil,
	})
}
