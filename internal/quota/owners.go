package quota

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// OwnerPlan is the next owner table. The caller must write it if NeedsWrite is set,
// and then pass the plan to OwnersStored.
type OwnerPlan struct {
	Table      OwnerTable
	NeedsWrite bool
	readAt     time.Time
	number     int
}

// NeedsOwnerSync reports whether this entry owns a share, should own one, or has to
// give up its shares.
func (c *Core) NeedsOwnerSync() bool {
	if !c.configured {
		return false
	}
	if len(c.ownerShares) > 0 || c.mustReleaseShares() {
		return true
	}
	for share := range ownerShareCount {
		if c.preferredOwner(share) == c.self.Instance {
			return true
		}
	}
	return false
}

// minTransferInterval is the shortest time between the transfers of two owner shares
// to the entries that should own them.
const minTransferInterval = 2 * time.Second

// renewalsPerTTL is how often an owner renews a lease within OwnerTTL.
const renewalsPerTTL = 3

// PlanOwners returns the next owner table. The given table was read by a call sent at
// readAt.
func (c *Core) PlanOwners(now, readAt time.Time, table OwnerTable, listed ListedInstances) OwnerPlan {
	c.advanceClock(now)
	c.checkListing(now, listed)
	c.claims.lastOwnerPlan++
	plan := OwnerPlan{readAt: readAt, number: c.claims.lastOwnerPlan, Table: OwnerTable{Shares: make([]OwnerShareRecord, ownerShareCount)}}
	copy(plan.Table.Shares, table.Shares)
	plan.Table.Remainders = maps.Clone(table.Remainders)
	if plan.Table.Remainders == nil {
		plan.Table.Remainders = make(map[int][]Remainder)
	}
	for share := range plan.Table.Shares {
		before := plan.Table.Shares[share]
		c.planOwnerShare(now, share, &plan.Table, listed)
		plan.NeedsWrite = plan.NeedsWrite || before != plan.Table.Shares[share]
	}
	return plan
}

// planOwnerShare changes the record of one owner share: it releases or renews a share
// of this entry, and claims a share that this entry should own and that has no live
// owner.
func (c *Core) planOwnerShare(now time.Time, share int, table *OwnerTable, listed ListedInstances) {
	record := &table.Shares[share]
	unchanged := observe(c.claims.seenOwners, share, now, record.Incarnation, record.Heartbeat)
	own := record.Incarnation == c.self.Incarnation
	switch {
	case own && (c.mustReleaseShares() || c.startTransfer(now, share)):
		c.releaseOwnerShare(share, table)
	case c.mustReleaseShares():
	case own:
		held, ok := c.ownerShares[share]
		if !ok || now.Sub(held.renewedAt) >= c.options.OwnerTTL/renewalsPerTTL {
			record.Heartbeat++
		}
	case c.preferredOwner(share) != c.self.Instance:
	case record.Epoch == 0:
		c.claimOwnerShare(share, record, 0)
	case record.Incarnation == "" && table.Remainders[share] != nil:
		c.claims.inherited[share] = table.Remainders[share]
		delete(table.Remainders, share)
		c.claimOwnerShare(share, record, 0)
	case record.Incarnation == "", c.heldByFormerProcess(record.Instance), unchanged >= withClockMargin(c.options.OwnerTTL):
		c.claimOwnerShare(share, record, c.options.grantExpiryWait())
	case c.holderUnlisted(listed, record.Instance) && unchanged >= withClockMargin(c.options.PauseLimit):
		c.claimOwnerShare(share, record, c.options.takeoverWait())
	}
}

// releaseOwnerShare records that a share has no owner, with the remainders of its
// buckets.
func (c *Core) releaseOwnerShare(share int, table *OwnerTable) {
	record := &table.Shares[share]
	*record = OwnerShareRecord{Epoch: record.Epoch, Heartbeat: record.Heartbeat + 1}
	if remainders, known := c.claims.remainders[share]; known {
		table.Remainders[share] = remainders
	}
}

// startTransfer stops issuing a share that another entry should own, and reports
// whether the share is to be released. It starts at most one transfer per
// minTransferInterval.
func (c *Core) startTransfer(now time.Time, share int) bool {
	if _, ok := c.claims.remainders[share]; ok {
		return true
	}
	_, ok := c.ownerShares[share]
	if !ok || c.preferredOwner(share) == c.self.Instance || now.Sub(c.claims.lastTransferAt) < minTransferInterval {
		return false
	}
	c.claims.lastTransferAt = now
	c.stopIssuing(now, share)
	c.configureBuckets(now)
	return true
}

// stopIssuing stops issuing an owner share and stores the remainders of its buckets.
func (c *Core) stopIssuing(now time.Time, share int) {
	remainders := []Remainder{}
	for _, name := range sortedKeys(c.workspaces) {
		if b, owned := c.workspaces[name].ownerBuckets[share]; owned {
			b.refill(now)
			remainders = append(remainders, Remainder{Workspace: name, Level: b.level, Outstanding: b.outstanding()})
		}
	}
	delete(c.ownerShares, share)
	c.claims.remainders[share] = remainders
}

func (c *Core) claimOwnerShare(share int, record *OwnerShareRecord, wait time.Duration) {
	c.claims.ownerIssueWaits[share] = wait
	record.Incarnation = c.self.Incarnation
	record.Instance = c.self.Instance
	record.Epoch++
	record.Heartbeat++
}

// OwnersStored applies a plan after its table was found in the store or written to
// it. It ignores all but the latest plan, and a plan whose table was read more than
// PauseLimit ago. An entry that has to give up its shares gains none.
func (c *Core) OwnersStored(now time.Time, plan OwnerPlan) {
	c.advanceClock(now)
	if c.mustReleaseShares() || plan.number != c.claims.lastOwnerPlan || now.Sub(plan.readAt) > c.options.PauseLimit {
		return
	}
	for share, record := range plan.Table.Shares {
		c.knownOwners[share] = record.Incarnation
		if record.Incarnation != c.self.Incarnation {
			delete(c.ownerShares, share)
			delete(c.claims.ownerIssueWaits, share)
			delete(c.claims.inherited, share)
			delete(c.claims.remainders, share)
			continue
		}
		c.recordRenewal(now, share, record, plan.readAt)
	}
	c.configureBuckets(now)
	c.inheritRemainders(now)
}

// inheritRemainders continues the buckets of shares that their former owners
// released. What the holders of the former owner's grants may still spend is kept in
// one account with an empty holder name, until those grants have expired.
func (c *Core) inheritRemainders(now time.Time) {
	for share, remainders := range c.claims.inherited {
		delete(c.claims.inherited, share)
		for _, r := range remainders {
			q, known := c.workspaces[r.Workspace]
			if !known || q.ownerBuckets[share] == nil {
				continue
			}
			b := q.ownerBuckets[share]
			if !c.skipIssueWait {
				b.accounts[""] = &account{outstanding: r.Outstanding, expiresAt: now.Add(c.options.grantExpiryWait())}
			}
			b.level = max(0, min(r.Level, b.capacity-b.outstanding()))
		}
	}
}

// recordRenewal applies a record that names this entry as the owner. It starts to hold
// a share that was not held, and extends the lease if the heartbeat was increased.
func (c *Core) recordRenewal(now time.Time, share int, record OwnerShareRecord, readAt time.Time) {
	held, ok := c.ownerShares[share]
	heartbeat := c.claims.seenOwners[share].heartbeat
	if !ok {
		_, claimed := c.claims.ownerIssueWaits[share]
		held = &heldOwnerShare{
			epoch:       record.Epoch,
			issueStart:  c.popIssueStart(now, c.claims.ownerIssueWaits, share),
			fillBuckets: claimed && record.Epoch == 1,
		}
		c.ownerShares[share] = held
	} else if record.Heartbeat == heartbeat {
		return
	}
	held.renewedAt = readAt
	held.leaseExpiresAt = readAt.Add(c.options.OwnerTTL)
}

// preferredOwner returns the instance that should own a share, by rendezvous hashing:
// the one with the highest hash of instance and share among this entry and the
// reachable entries that are not leaving.
func (c *Core) preferredOwner(share int) string {
	preferred, highest := c.self.Instance, ownerWeight(c.self.Instance, share)
	for _, p := range c.peers {
		if p.Leaving {
			continue
		}
		if w := ownerWeight(p.Instance, share); w > highest {
			preferred, highest = p.Instance, w
		}
	}
	return preferred
}

func ownerWeight(instance string, share int) uint64 {
	return xxhash.Sum64String(instance + "/" + strconv.Itoa(share))
}

// OwnerShares returns the owner shares held, in ascending order.
func (c *Core) OwnerShares() []int {
	shares := make([]int, 0, len(c.ownerShares))
	for share := range c.ownerShares {
		shares = append(shares, share)
	}
	slices.Sort(shares)
	return shares
}

// ownerOf returns the incarnation to request grants of an owner share from, or "" if
// none is known.
func (c *Core) ownerOf(share int) string {
	if owner := c.knownOwners[share]; owner != "" && c.reachable(owner) {
		return owner
	}
	preferred := c.preferredOwner(share)
	if preferred == c.self.Instance {
		return ""
	}
	i := slices.IndexFunc(c.peers, func(p Peer) bool { return p.Instance == preferred })
	return c.peers[i].Incarnation
}
