package quota

import (
	"time"
)

// claimState tracks the shares that this entry claims or gives up, and what it last
// read in the store about the holders of all shares.
type claimState struct {
	// zoneSyncWanted is true while the record of the zone should be read again, from
	// zoneSyncAt on.
	zoneSyncWanted bool
	zoneSyncAt     time.Time
	cedeBackoff    time.Duration
	// lastZonePlan and lastOwnerPlan number the latest plans. Earlier plans are void.
	lastZonePlan  int
	lastOwnerPlan int
	// lastTransferAt is when this entry last stopped issuing an owner share because
	// another entry should own it.
	lastTransferAt time.Time
	// ceding holds the reserved shares that the next plan passes to other entries.
	ceding map[int]CedeRequest
	// reservedIssueWaits and ownerIssueWaits hold, for each share that this entry is
	// claiming, how long it must not issue after it was gained.
	reservedIssueWaits map[int]time.Duration
	ownerIssueWaits    map[int]time.Duration
	// remainders holds what was left of owner shares that this entry has stopped
	// issuing. inherited holds the remainders of released shares that this entry is
	// claiming.
	remainders   map[int][]Remainder
	inherited    map[int][]Remainder
	seenReserved map[int]seenRecord
	seenOwners   map[int]seenRecord
}

// seenRecord is what was last read of the record of a share, and since when it has
// not changed.
type seenRecord struct {
	incarnation    string
	heartbeat      uint64
	unchangedSince time.Time
}

func newClaimState() claimState {
	return claimState{
		zoneSyncWanted:     true,
		ceding:             make(map[int]CedeRequest),
		reservedIssueWaits: make(map[int]time.Duration),
		ownerIssueWaits:    make(map[int]time.Duration),
		remainders:         make(map[int][]Remainder),
		inherited:          make(map[int][]Remainder),
		seenReserved:       make(map[int]seenRecord),
		seenOwners:         make(map[int]seenRecord),
	}
}

// observe stores what was read of a share's record and returns for how long the
// record has not changed.
func observe(seen map[int]seenRecord, share int, now time.Time, incarnation string, heartbeat uint64) time.Duration {
	last, known := seen[share]
	if !known || last.incarnation != incarnation || last.heartbeat != heartbeat {
		seen[share] = seenRecord{incarnation: incarnation, heartbeat: heartbeat, unchangedSince: now}
		return 0
	}
	return now.Sub(last.unchangedSince)
}

// ListedInstances is the set of instances on the platform's list, nil while it is not
// known.
type ListedInstances map[string]bool

// holderUnlisted reports whether the holder of a share is another instance that is
// missing from the platform's list.
func (c *Core) holderUnlisted(listed ListedInstances, instance string) bool {
	return instance != c.self.Instance && listed != nil && !listed[instance]
}

// heldByFormerProcess reports whether the holder of a share was an earlier process of
// this instance. That process has ended, since this one listens on its addresses. The
// result is false for a process that was paused: it cannot tell an earlier process
// from a later one.
func (c *Core) heldByFormerProcess(instance string) bool {
	return instance == c.self.Instance && !c.everPaused
}

// popIssueStart returns the time from which a gained share may issue, and removes its
// wait. A share without a claim was ceded to this entry or was already recorded as
// its own; it waits until the grants of its last issuer have expired.
func (c *Core) popIssueStart(now time.Time, waits map[int]time.Duration, share int) time.Time {
	if c.skipIssueWait {
		return now
	}
	wait, claimed := waits[share]
	if !claimed {
		wait = c.options.grantExpiryWait()
	}
	delete(waits, share)
	return now.Add(wait)
}

// mustReleaseShares reports whether the entry has to give up its shares and must not
// claim any: it is stopping, it has left the platform's list, or it was paused for so
// long that others may have considered it dead.
func (c *Core) mustReleaseShares() bool { return c.released || c.unlisted || c.paused }

// checkListing checks whether this entry is on the platform's list, and drops all
// shares when it has left. An entry that was paused may hold shares again if it is
// still listed after the takeover wait.
func (c *Core) checkListing(now time.Time, listed ListedInstances) {
	if listed == nil {
		return
	}
	if !listed[c.self.Instance] && !c.unlisted {
		c.unlisted = true
		c.dropShares(now)
	}
	if c.paused && !c.unlisted && !now.Before(c.rejoinAt) {
		c.paused = false
		c.claims.zoneSyncWanted = true
	}
}

func (c *Core) dropShares(now time.Time) {
	clear(c.reservedShares)
	clear(c.ownerShares)
	clear(c.claims.reservedIssueWaits)
	clear(c.claims.ownerIssueWaits)
	c.claims.zoneSyncWanted = true
	c.claims.zoneSyncAt = now
	c.configureBuckets(now)
}

// Release stops issuing. The next plans give up all shares.
func (c *Core) Release(now time.Time) {
	c.advanceClock(now)
	c.released = true
	for _, share := range c.OwnerShares() {
		c.stopIssuing(now, share)
	}
	c.dropShares(now)
}
