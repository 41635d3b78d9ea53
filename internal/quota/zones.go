package quota

import (
	"time"
)

// ZonePlan is a change of a zone's record that the caller must write, and then
// report with ZoneStored.
type ZonePlan struct {
	Record ZoneRecord
	Write  bool
	readAt time.Time
	number int
}

// WantsZone reports whether the zone's record should be read now, rather than
// at the next interval.
func (c *Core) WantsZone(now time.Time) bool {
	return c.claims.wanted && !now.Before(c.claims.wantAt)
}

// LeadsZone reports whether this entry renews the record for its zone.
func (c *Core) LeadsZone() bool {
	for _, p := range c.peers {
		if p.Zone == c.self.Zone && !p.Leaving && p.Instance < c.self.Instance {
			return false
		}
	}
	return true
}

// PlanZone decides the next record of the zone. The record was read by a call
// sent at readAt.
func (c *Core) PlanZone(now, readAt time.Time, record ZoneRecord, listed Listed) ZonePlan {
	c.touch(now)
	c.seeList(now, listed)
	c.claims.zonePlan++
	plan := ZonePlan{readAt: readAt, number: c.claims.zonePlan, Record: ZoneRecord{Slots: make([]Slot, slotsPerZone)}}
	copy(plan.Record.Slots, record.Slots)
	leads := c.LeadsZone()
	for i := range plan.Record.Slots {
		before := plan.Record.Slots[i]
		c.planSlot(now, i, &plan.Record.Slots[i], listed, leads)
		plan.Write = plan.Write || before != plan.Record.Slots[i]
	}
	return plan
}

func (c *Core) planSlot(now time.Time, i int, slot *Slot, listed Listed, leads bool) {
	unchanged := look(c.claims.slots, i, now, slot.Incarnation, slot.Beat)
	mine := slot.Incarnation == c.self.Incarnation
	to, ceding := c.claims.ceding[i]
	switch {
	case mine && c.retired():
		*slot = Slot{Beat: slot.Beat + 1, Divisor: slot.Divisor}
	case c.retired():
	case mine && ceding:
		*slot = Slot{Incarnation: to.Incarnation, Instance: to.Instance, Beat: slot.Beat + 1, Divisor: slot.Divisor}
	case mine:
		slot.Divisor = max(slot.Divisor, c.limits.Zones)
		if leads {
			slot.Beat++
		}
	case slot.Beat == 0 && c.limits.Zones == 0:
	case slot.Beat == 0:
		slot.Divisor = c.limits.Zones
		c.claimSlot(i, slot, 0)
	case slot.Incarnation == "", c.preceded(slot.Instance):
		c.claimSlot(i, slot, c.options.grantWait())
	case c.ended(listed, slot.Instance):
		if unchanged >= widened(c.options.PauseLimit) {
			c.claimSlot(i, slot, c.options.handoverWait())
		}
	case leads && c.reachable(slot.Incarnation):
		slot.Beat++
	}
}

func (c *Core) claimSlot(i int, slot *Slot, wait time.Duration) {
	c.claims.slotWaits[i] = wait
	slot.Incarnation = c.self.Incarnation
	slot.Instance = c.self.Instance
	slot.Beat++
}

// ZoneStored takes the record that the store is known to have held since the
// plan's read, or by its write. It ignores all but the last plan.
func (c *Core) ZoneStored(now time.Time, plan ZonePlan) {
	c.touch(now)
	if plan.number != c.claims.zonePlan || now.Sub(plan.readAt) > c.options.PauseLimit {
		return
	}
	c.claims.wanted = false
	if c.retired() {
		return
	}
	for i, slot := range plan.Record.Slots {
		if slot.Incarnation != c.self.Incarnation {
			delete(c.slots, i)
			delete(c.claims.slotWaits, i)
			delete(c.claims.ceding, i)
			continue
		}
		if _, ceding := c.claims.ceding[i]; ceding {
			continue
		}
		if _, held := c.slots[i]; !held {
			wait, claimed := c.claims.slotWaits[i]
			c.slots[i] = &slotHold{
				divisor: max(slot.Divisor, c.limits.Zones),
				startAt: c.startAt(now, c.claims.slotWaits, i),
				virgin:  claimed && wait == 0,
			}
		}
	}
	c.reconfigure(now)
}

// NeedsCheck reports whether gained shares wait for CheckZones.
func (c *Core) NeedsCheck() bool {
	for _, hold := range c.slots {
		if !hold.checked {
			return true
		}
	}
	return false
}

// CheckZones takes the records of all zones, read after the last ZoneStored,
// and permits the shares gained if all recorded shares add up to no more than
// the reserved part.
func (c *Core) CheckZones(now time.Time, records []ZoneRecord) {
	c.touch(now)
	var sum float64
	for _, record := range records {
		for _, slot := range record.Slots {
			if slot.Divisor > 0 {
				sum += 1 / float64(slot.Divisor*slotsPerZone)
			}
		}
	}
	const rounding = 1e-9
	if sum > 1+rounding {
		return
	}
	filled := 0.0
	for _, hold := range c.slots {
		if hold.virgin && !hold.checked {
			filled += c.options.Reserved / float64(hold.divisor*slotsPerZone)
		}
		hold.checked = true
	}
	c.reconfigure(now)
	for _, s := range c.spaces {
		if s.reserved != nil && !s.since.After(now) {
			s.reserved.level += units(s.limit.Burst * filled)
		}
	}
}

// Pauses between two requests for reserved shares.
const (
	firstCedePause = 500 * time.Millisecond
	lastCedePause  = time.Minute
)

// WantCede returns the reachable incarnation to ask for reserved shares: the
// one with most of them. It returns "" when this entry has some or nobody has
// two. The zone's record should be read again after a pause that doubles.
func (c *Core) WantCede(now time.Time, record ZoneRecord) string {
	if len(c.slots) > 0 || c.retired() {
		c.claims.cedePause = 0
		return ""
	}
	c.claims.wanted = true
	c.claims.cedePause = min(lastCedePause, max(firstCedePause, 2*c.claims.cedePause))
	c.claims.wantAt = now.Add(c.claims.cedePause)
	counts := make(map[string]int)
	largest := ""
	for _, slot := range record.Slots {
		if !c.reachable(slot.Incarnation) {
			continue
		}
		counts[slot.Incarnation]++
		if counts[slot.Incarnation] > counts[largest] {
			largest = slot.Incarnation
		}
	}
	if counts[largest] < 2 {
		return ""
	}
	return largest
}

// Cede stops issuing half of the reserved shares, to be passed to another entry
// with the next plan.
func (c *Core) Cede(now time.Time, to CedeRequest) {
	c.touch(now)
	give := len(c.slots) / 2
	for i := range slotsPerZone {
		if _, held := c.slots[i]; !held || give == 0 {
			continue
		}
		give--
		delete(c.slots, i)
		c.claims.ceding[i] = to
		c.claims.wanted = true
		c.claims.wantAt = now
	}
	c.reconfigure(now)
}
