package quota

import (
	"time"
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
