package quota

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

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

// Shares returns the owner shares held, ordered.
func (c *Core) Shares() []int {
	parts := make([]int, 0, len(c.shares))
	for part := range c.shares {
		parts = append(parts, part)
	}
	slices.Sort(parts)
	return parts
}

// ownerOf returns the incarnation to ask for an owner share, or "".
func (c *Core) ownerOf(part int) string {
	if known := c.owners[part]; known != "" && c.reachable(known) {
		return known
	}
	chosen := c.chosenOwner(part)
	if chosen == c.self.Instance {
		return ""
	}
	i := slices.IndexFunc(c.peers, func(p Peer) bool { return p.Instance == chosen })
	return c.peers[i].Incarnation
}
