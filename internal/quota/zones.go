package quota

import (
	"time"
)

// ZonePlan is the next record of a zone. The caller must write it if NeedsWrite is
// set, and then pass the plan to ZoneStored.
type ZonePlan struct {
	Record     ZoneRecord
	NeedsWrite bool
	readAt     time.Time
	number     int
}

// NeedsZoneSync reports whether the record of the zone should be read now rather than
// at the next interval.
func (c *Core) NeedsZoneSync(now time.Time) bool {
	return c.claims.zoneSyncWanted && !now.Before(c.claims.zoneSyncAt)
}

// LeadsZone reports whether this entry updates the heartbeats in the record of its
// zone: among the reachable entries of the zone that are not leaving, none has a
// lower instance name.
func (c *Core) LeadsZone() bool {
	for _, p := range c.peers {
		if p.Zone == c.self.Zone && !p.Leaving && p.Instance < c.self.Instance {
			return false
		}
	}
	return true
}

// PlanZone returns the next record of the zone. The given record was read by a call
// sent at readAt.
func (c *Core) PlanZone(now, readAt time.Time, record ZoneRecord, listed ListedInstances) ZonePlan {
	c.advanceClock(now)
	c.checkListing(now, listed)
	c.claims.lastZonePlan++
	plan := ZonePlan{readAt: readAt, number: c.claims.lastZonePlan, Record: ZoneRecord{Shares: make([]ReservedShareRecord, reservedSharesPerZone)}}
	copy(plan.Record.Shares, record.Shares)
	leads := c.LeadsZone()
	for share := range plan.Record.Shares {
		before := plan.Record.Shares[share]
		c.planReservedShare(now, share, &plan.Record.Shares[share], listed, leads)
		plan.NeedsWrite = plan.NeedsWrite || before != plan.Record.Shares[share]
	}
	return plan
}

// planReservedShare changes the record of one reserved share: it gives up, cedes or
// keeps a share of this entry, claims a share that nobody holds or whose holder has
// ended, and updates the heartbeat of other live holders if this entry leads the zone.
func (c *Core) planReservedShare(now time.Time, share int, record *ReservedShareRecord, listed ListedInstances, leads bool) {
	unchanged := observe(c.claims.seenReserved, share, now, record.Incarnation, record.Heartbeat)
	own := record.Incarnation == c.self.Incarnation
	to, ceding := c.claims.ceding[share]
	switch {
	case own && c.mustReleaseShares():
		*record = ReservedShareRecord{Heartbeat: record.Heartbeat + 1, Divisor: record.Divisor}
	case c.mustReleaseShares():
	case own && ceding:
		*record = ReservedShareRecord{Incarnation: to.Incarnation, Instance: to.Instance, Heartbeat: record.Heartbeat + 1, Divisor: record.Divisor}
	case own:
		record.Divisor = max(record.Divisor, c.limits.Zones)
		if leads {
			record.Heartbeat++
		}
	case record.Heartbeat == 0 && c.limits.Zones == 0:
	case record.Heartbeat == 0:
		record.Divisor = c.limits.Zones
		c.claimReservedShare(share, record, 0)
	case record.Incarnation == "", c.heldByFormerProcess(record.Instance):
		c.claimReservedShare(share, record, c.options.grantExpiryWait())
	case c.holderUnlisted(listed, record.Instance):
		if unchanged >= withClockMargin(c.options.PauseLimit) {
			c.claimReservedShare(share, record, c.options.takeoverWait())
		}
	case leads && c.reachable(record.Incarnation):
		record.Heartbeat++
	}
}

func (c *Core) claimReservedShare(share int, record *ReservedShareRecord, wait time.Duration) {
	c.claims.reservedIssueWaits[share] = wait
	record.Incarnation = c.self.Incarnation
	record.Instance = c.self.Instance
	record.Heartbeat++
}

// ZoneStored applies a plan after its record was found in the store or written to it.
// It ignores all but the latest plan, and a plan whose record was read more than
// PauseLimit ago. An entry that has to give up its shares gains none.
func (c *Core) ZoneStored(now time.Time, plan ZonePlan) {
	c.advanceClock(now)
	if plan.number != c.claims.lastZonePlan || now.Sub(plan.readAt) > c.options.PauseLimit {
		return
	}
	c.claims.zoneSyncWanted = false
	if c.mustReleaseShares() {
		return
	}
	for share, record := range plan.Record.Shares {
		if record.Incarnation != c.self.Incarnation {
			delete(c.reservedShares, share)
			delete(c.claims.reservedIssueWaits, share)
			delete(c.claims.ceding, share)
			continue
		}
		if _, ceding := c.claims.ceding[share]; ceding {
			continue
		}
		if _, ok := c.reservedShares[share]; !ok {
			wait, claimed := c.claims.reservedIssueWaits[share]
			c.reservedShares[share] = &heldReservedShare{
				divisor:    max(record.Divisor, c.limits.Zones),
				issueStart: c.popIssueStart(now, c.claims.reservedIssueWaits, share),
				neverHeld:  claimed && wait == 0,
			}
		}
	}
	c.configureBuckets(now)
}

// NeedsZoneCheck reports whether gained shares wait for CheckZones.
func (c *Core) NeedsZoneCheck() bool {
	for _, held := range c.reservedShares {
		if !held.zonesChecked {
			return true
		}
	}
	return false
}

// CheckZones receives the records of all zones, read after the last ZoneStored. It
// allows the gained shares to issue if all recorded shares add up to no more than the
// reserved fraction.
func (c *Core) CheckZones(now time.Time, records []ZoneRecord) {
	c.advanceClock(now)
	var sum float64
	for _, zone := range records {
		for _, record := range zone.Shares {
			if record.Divisor > 0 {
				sum += 1 / float64(record.Divisor*reservedSharesPerZone)
			}
		}
	}
	const rounding = 1e-9
	if sum > 1+rounding {
		return
	}
	filledFraction := 0.0
	for _, held := range c.reservedShares {
		if held.neverHeld && !held.zonesChecked {
			filledFraction += c.options.ReservedFraction / float64(held.divisor*reservedSharesPerZone)
		}
		held.zonesChecked = true
	}
	c.configureBuckets(now)
	for _, q := range c.workspaces {
		if q.reservedBucket != nil && !q.issueStart.After(now) {
			q.reservedBucket.level += toMicrotokens(q.limit.Burst * filledFraction)
		}
	}
}

// Delays between two requests for reserved shares.
const (
	minCedeBackoff = 500 * time.Millisecond
	maxCedeBackoff = time.Minute
)

// CedeRequestTarget returns the reachable incarnation to ask for reserved shares: the
// one that holds most of them. It returns "" when this entry holds some itself or no
// reachable entry holds at least two. While this entry holds none, it schedules the
// next read of the zone's record, after a delay that doubles each time.
func (c *Core) CedeRequestTarget(now time.Time, zone ZoneRecord) string {
	if len(c.reservedShares) > 0 || c.mustReleaseShares() {
		c.claims.cedeBackoff = 0
		return ""
	}
	c.claims.zoneSyncWanted = true
	c.claims.cedeBackoff = min(maxCedeBackoff, max(minCedeBackoff, 2*c.claims.cedeBackoff))
	c.claims.zoneSyncAt = now.Add(c.claims.cedeBackoff)
	counts := make(map[string]int)
	largestHolder := ""
	for _, record := range zone.Shares {
		if !c.reachable(record.Incarnation) {
			continue
		}
		counts[record.Incarnation]++
		if counts[record.Incarnation] > counts[largestHolder] {
			largestHolder = record.Incarnation
		}
	}
	if counts[largestHolder] < 2 {
		return ""
	}
	return largestHolder
}

// Cede stops issuing half of the reserved shares. The next plan passes them to the
// other entry.
func (c *Core) Cede(now time.Time, to CedeRequest) {
	c.advanceClock(now)
	toCede := len(c.reservedShares) / 2
	for share := range reservedSharesPerZone {
		if _, ok := c.reservedShares[share]; !ok || toCede == 0 {
			continue
		}
		toCede--
		delete(c.reservedShares, share)
		c.claims.ceding[share] = to
		c.claims.zoneSyncWanted = true
		c.claims.zoneSyncAt = now
	}
	c.configureBuckets(now)
}
