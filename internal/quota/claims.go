package quota

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// claims is what an entry has seen in the store of shares that others hold.
type claims struct {
	// wanted is true while the zone's record should be read again.
	wanted bool
	// wantAt is the earliest time for that.
	wantAt    time.Time
	cedePause time.Duration
	// zonePlan and ownerPlan number the last plans; earlier ones are void.
	zonePlan  int
	ownerPlan int
	// handedAt is when an owner share was last handed to another entry.
	handedAt time.Time
	ceding   map[int]CedeRequest
	// slotWaits and shareWaits hold how long a share that this entry tries to
	// gain must not issue.
	slotWaits  map[int]time.Duration
	shareWaits map[int]time.Duration
	// left holds the remainders of shares given up, inherited those of shares
	// that this entry tries to gain.
	left      map[int][]Remainder
	inherited map[int][]Remainder
	slots     map[int]sighting
	shares    map[int]sighting
}

// sighting is a record of a holder and since when it has not changed.
type sighting struct {
	incarnation string
	beat        uint64
	since       time.Time
}

func newClaims() claims {
	return claims{
		wanted:     true,
		ceding:     make(map[int]CedeRequest),
		slotWaits:  make(map[int]time.Duration),
		shareWaits: make(map[int]time.Duration),
		left:       make(map[int][]Remainder),
		inherited:  make(map[int][]Remainder),
		slots:      make(map[int]sighting),
		shares:     make(map[int]sighting),
	}
}

// look notes a record and returns how long it has not changed.
func look(seen map[int]sighting, i int, now time.Time, incarnation string, beat uint64) time.Duration {
	last, known := seen[i]
	if !known || last.incarnation != incarnation || last.beat != beat {
		seen[i] = sighting{incarnation: incarnation, beat: beat, since: now}
		return 0
	}
	return now.Sub(last.since)
}

// Listed is the platform's list of instances, nil when it is not known.
type Listed map[string]bool

// ended reports whether the holder of a share has left the platform's list.
func (c *Core) ended(listed Listed, instance string) bool {
	return instance != c.self.Instance && listed != nil && !listed[instance]
}

// preceded reports whether the holder of a share was an earlier process of this
// instance. That one has ended, since this process has its addresses; but a
// process that was paused cannot tell an earlier one from a later one.
func (c *Core) preceded(instance string) bool {
	return instance == c.self.Instance && !c.resumed
}

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
// sent at readAt; live names the incarnations that are reachable.
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

// startAt returns when a share that was gained may be issued from. One that was
// ceded or was this entry's before waits for the grants of then.
func (c *Core) startAt(now time.Time, waits map[int]time.Duration, share int) time.Time {
	if c.skipHandoverWait {
		return now
	}
	wait, claimed := waits[share]
	if !claimed {
		wait = c.options.grantWait()
	}
	delete(waits, share)
	return now.Add(wait)
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

// OwnerPlan is a change of the owner table that the caller must write, and then
// report with OwnersStored.
type OwnerPlan struct {
	Table  OwnerTable
	Write  bool
	readAt time.Time
	number int
}

// LeadsOwners reports whether this entry owns a share or should own one.
func (c *Core) LeadsOwners() bool {
	if !c.settled {
		return false
	}
	if len(c.shares) > 0 || c.retired() {
		return true
	}
	for part := range ownerShares {
		if c.chosenOwner(part) == c.self.Instance {
			return true
		}
	}
	return false
}

// handOverInterval is the shortest time between two shares handed over.
const handOverInterval = 2 * time.Second

// renewals is how often an owner renews within its time to live.
const renewals = 3

// PlanOwners decides the next owner table. The table was read by a call sent at
// readAt.
func (c *Core) PlanOwners(now, readAt time.Time, table OwnerTable, listed Listed) OwnerPlan {
	c.touch(now)
	c.seeList(now, listed)
	c.claims.ownerPlan++
	plan := OwnerPlan{readAt: readAt, number: c.claims.ownerPlan, Table: OwnerTable{Shares: make([]Ownership, ownerShares)}}
	copy(plan.Table.Shares, table.Shares)
	plan.Table.Left = maps.Clone(table.Left)
	if plan.Table.Left == nil {
		plan.Table.Left = make(map[int][]Remainder)
	}
	for part := range plan.Table.Shares {
		before := plan.Table.Shares[part]
		c.planShare(now, part, &plan.Table, listed)
		plan.Write = plan.Write || before != plan.Table.Shares[part]
	}
	return plan
}

func (c *Core) planShare(now time.Time, part int, table *OwnerTable, listed Listed) {
	share := &table.Shares[part]
	unchanged := look(c.claims.shares, part, now, share.Incarnation, share.Beat)
	mine := share.Incarnation == c.self.Incarnation
	switch {
	case mine && (c.retired() || c.handOver(now, part)):
		c.giveUp(part, table)
	case c.retired():
	case mine:
		hold, held := c.shares[part]
		if !held || now.Sub(hold.beatAt) >= c.options.OwnerTTL/renewals {
			share.Beat++
		}
	case c.chosenOwner(part) != c.self.Instance:
	case share.Epoch == 0:
		c.claimShare(part, share, 0)
	case share.Incarnation == "" && table.Left[part] != nil:
		c.claims.inherited[part] = table.Left[part]
		delete(table.Left, part)
		c.claimShare(part, share, 0)
	case share.Incarnation == "", c.preceded(share.Instance), unchanged >= widened(c.options.OwnerTTL):
		c.claimShare(part, share, c.options.grantWait())
	case c.ended(listed, share.Instance) && unchanged >= widened(c.options.PauseLimit):
		c.claimShare(part, share, c.options.handoverWait())
	}
}

// giveUp writes that a share has no owner, with what is left of it.
func (c *Core) giveUp(part int, table *OwnerTable) {
	share := &table.Shares[part]
	*share = Ownership{Epoch: share.Epoch, Beat: share.Beat + 1}
	if left, known := c.claims.left[part]; known {
		table.Left[part] = left
	}
}

// handOver stops issuing a share that another entry should own, at most one in
// an interval.
func (c *Core) handOver(now time.Time, part int) bool {
	if _, given := c.claims.left[part]; given {
		return true
	}
	_, held := c.shares[part]
	if !held || c.chosenOwner(part) == c.self.Instance || now.Sub(c.claims.handedAt) < handOverInterval {
		return false
	}
	c.claims.handedAt = now
	c.leave(now, part)
	c.reconfigure(now)
	return true
}

// leave stops issuing a share and notes what is left of it.
func (c *Core) leave(now time.Time, part int) {
	left := []Remainder{}
	for _, name := range sortedNames(c.spaces) {
		if b, owned := c.spaces[name].owned[part]; owned {
			b.refill(now)
			left = append(left, Remainder{Workspace: name, Level: b.level, Outstanding: b.outstanding()})
		}
	}
	delete(c.shares, part)
	c.claims.left[part] = left
}

func (c *Core) claimShare(part int, share *Ownership, wait time.Duration) {
	c.claims.shareWaits[part] = wait
	share.Incarnation = c.self.Incarnation
	share.Instance = c.self.Instance
	share.Epoch++
	share.Beat++
}

// OwnersStored takes the table that the store is known to have held since the
// plan's read, or by its write.
func (c *Core) OwnersStored(now time.Time, plan OwnerPlan) {
	c.touch(now)
	if c.retired() || plan.number != c.claims.ownerPlan || now.Sub(plan.readAt) > c.options.PauseLimit {
		return
	}
	for part, share := range plan.Table.Shares {
		c.owners[part] = share.Incarnation
		if share.Incarnation != c.self.Incarnation {
			delete(c.shares, part)
			delete(c.claims.shareWaits, part)
			delete(c.claims.inherited, part)
			delete(c.claims.left, part)
			continue
		}
		c.renewed(now, part, share, plan.readAt)
	}
	c.reconfigure(now)
	c.inherit(now)
}

// inherit continues the buckets of shares that their owners gave up.
func (c *Core) inherit(now time.Time) {
	for part, remainders := range c.claims.inherited {
		delete(c.claims.inherited, part)
		for _, r := range remainders {
			s, known := c.spaces[r.Workspace]
			if !known || s.owned[part] == nil {
				continue
			}
			b := s.owned[part]
			if !c.skipHandoverWait {
				b.accounts[""] = &account{outstanding: r.Outstanding, expiresAt: now.Add(c.options.grantWait())}
			}
			b.level = max(0, min(r.Level, b.capacity-b.outstanding()))
		}
	}
}

func (c *Core) renewed(now time.Time, part int, share Ownership, readAt time.Time) {
	hold, held := c.shares[part]
	beat := c.claims.shares[part].beat
	if !held {
		_, claimed := c.claims.shareWaits[part]
		hold = &shareHold{
			epoch:   share.Epoch,
			startAt: c.startAt(now, c.claims.shareWaits, part),
			fill:    claimed && share.Epoch == 1,
		}
		c.shares[part] = hold
	} else if share.Beat == beat {
		return
	}
	hold.beatAt = readAt
	hold.until = readAt.Add(c.options.OwnerTTL)
}

// chosenOwner returns the instance that should own a share: the one with the
// highest hash of instance and share among this entry and the reachable ones
// that do not leave.
func (c *Core) chosenOwner(part int) string {
	chosen, highest := c.self.Instance, weight(c.self.Instance, part)
	for _, p := range c.peers {
		if p.Leaving {
			continue
		}
		if w := weight(p.Instance, part); w > highest {
			chosen, highest = p.Instance, w
		}
	}
	return chosen
}

func weight(instance string, part int) uint64 {
	return xxhash.Sum64String(instance + "/" + strconv.Itoa(part))
}

// retired reports whether the entry gives up its shares and takes no others: it
// stops, it has left the platform's list, or it was paused for so long that it
// may have been taken for ended.
func (c *Core) retired() bool { return c.released || c.unlisted || c.paused }

// seeList looks for this entry in the platform's list. An entry that was paused
// may hold shares again once it is still listed after the handover wait.
func (c *Core) seeList(now time.Time, listed Listed) {
	if listed == nil {
		return
	}
	if !listed[c.self.Instance] && !c.unlisted {
		c.unlisted = true
		c.dropShares(now)
	}
	if c.paused && !c.unlisted && !now.Before(c.rejoinAt) {
		c.paused = false
		c.claims.wanted = true
	}
}

func (c *Core) dropShares(now time.Time) {
	clear(c.slots)
	clear(c.shares)
	clear(c.claims.slotWaits)
	clear(c.claims.shareWaits)
	c.claims.wanted = true
	c.claims.wantAt = now
	c.reconfigure(now)
}

// Release stops issuing and gives up all shares with the next plans.
func (c *Core) Release(now time.Time) {
	c.touch(now)
	c.released = true
	for _, part := range c.Shares() {
		c.leave(now, part)
	}
	c.dropShares(now)
}

// Shares returns the owner shares held, ordered.
func (c *Core) Shares() []int {
	parts := make([]int, 0, len(c.shares))
	for part := range c.shares {
		parts = append(parts, part)
	}
	slices.Sort(parts)
	return parts
}
