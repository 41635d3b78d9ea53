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

// setUpHandover creates the handover stage and the gate for traffic from other regions.
func (e *Entry) setUpHandover() {
	e.shiftGate = shift.NewGate(time.Now(), shiftHoldTime(e.membership.Options()), e.registry)
	e.handover = handover.NewStage(handover.Environment{
		Zone:              e.self.Zone,
		Next:              e.router,
		Send:              e.handOver,
		View:              e.view.Load,
		Configuration:     e.configuration.Load,
		Owners:            e.router.Owners,
		OwnershipChanging: func() bool { return e.ownership.ownershipChanging() },
		Gate:              e.shiftGate,
		Now:               time.Now,
		RandIntN:          mathrand.IntN,
		Registry:          e.registry,
	})
}

// shiftHoldTime returns the time for which an entry still counts siblings that are
// gone, and for which a new entry accepts no shifted traffic. It is longer than the
// time for which a paused sibling that has not seen the new entry counts as confirmed.
func shiftHoldTime(options membership.Options) time.Duration {
	return options.SuspectAfter + options.ListedDeadAfter + 2*options.HeartbeatInterval
}

func (e *Entry) handOver(ctx context.Context, link, zone string, c *call.Call) (*call.Result, error) {
	return handover.Send(ctx, e.peers, link, zone, c)
}

// applyShiftLimits passes the region's quotas for shifted traffic to the gate.
func (e *Entry) applyShiftLimits(c *configuration.Configuration) {
	region := c.Regions[c.RegionOf(e.self.Zone)]
	e.shiftGate.Apply(shift.Limits{
		Region:             region.Name,
		LinkBytesPerSecond: region.LinkBytesPerSecond,
		CapPerSecond:       region.ShiftCapPerSecond,
	})
}

// observeShiftZone tells the gate among how many entries the region's quotas are
// divided.
func (e *Entry) observeShiftZone(now time.Time, view *membership.View) {
	c := e.configuration.Load()
	if c == nil {
		return
	}
	zones := 0
	for name := range c.Zones {
		if c.RegionOf(name) == c.RegionOf(e.self.Zone) {
			zones++
		}
	}
	e.shiftGate.Observe(now, shift.ZoneState{
		Entries:        len(view.InZone(e.self.Zone)),
		Zones:          zones,
		ConfirmedUntil: view.ConfirmedUntil,
	})
}
