package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// refusalPeriod is how long an entry refuses requests at once after it has found no
// token at any issuer.
const refusalPeriod = 50 * time.Millisecond

// demandTimeConstant is the time constant of the moving average of demand.
const demandTimeConstant = 300 * time.Millisecond

// maxQueuedRequests bounds the requests of one workspace that wait for tokens.
const maxQueuedRequests = 4096

// Core holds the quota state of one entry. Its methods must be called from one
// goroutine, with times that never decrease.
type Core struct {
	options        Options
	self           Peer
	limits         Limits
	peers          []Peer
	workspaces     map[string]*workspaceQuota
	workspaceNames []string // keys of workspaces, sorted

	lastCallAt time.Time
	// configured is true once a configuration has been applied. Workspaces that a
	// later configuration adds issue no tokens until the grants of a removed
	// workspace of the same name have expired.
	configured   bool
	configuredAt time.Time
	released     bool
	// paused becomes true after a pause longer than PauseLimit, and false once the
	// entry is still listed at or after rejoinAt.
	paused   bool
	rejoinAt time.Time
	// everPaused is true from the first such pause on.
	everPaused bool
	// unlisted is true once the entry has left the platform's list.
	unlisted bool

	reservedShares map[int]*heldReservedShare
	ownerShares    map[int]*heldOwnerShare
	// configuredFraction is the reserved fraction that the reserved buckets were last
	// configured with.
	configuredFraction float64
	claims             claimState
	knownOwners        [ownerShareCount]string // incarnation of each owner, as last learned
	nextPeer           int                     // position of the next entry to ask, modulo len(peers)
	// lastSequence is the sequence of the last grant request. No sequence is used
	// twice, so a late grant cannot be taken for the reply to another request.
	lastSequence uint64

	outgoing  []OutgoingRequest
	decisions []Decision

	// These faulty variants are set only by tests, which check that the faults are
	// found.
	creditBeforeDebit bool
	expiryFromReply   bool
	skipIssueWait     bool
}

// heldReservedShare is a reserved share that this entry holds.
type heldReservedShare struct {
	divisor    int
	issueStart time.Time
	// zonesChecked is true once the reserved shares of all zones were seen to add up
	// to no more than the whole.
	zonesChecked bool
	// neverHeld is true for a share that nobody held before. Its part of the reserved
	// bucket starts full.
	neverHeld bool
}

// heldOwnerShare is an owner share that this entry holds.
type heldOwnerShare struct {
	epoch          uint64
	issueStart     time.Time
	leaseExpiresAt time.Time
	// renewedAt is when the call that read the table for the last renewal was sent.
	renewedAt time.Time
	// fillBuckets is true for a share that nobody held before, until configureBuckets
	// has filled its buckets.
	fillBuckets bool
}

// workspaceQuota is the quota state of one workspace.
type workspaceQuota struct {
	name        string
	ownerShares [ownerSharesPerWorkspace]int
	limit       Limit
	// issueStart is the earliest time at which the buckets may issue tokens.
	issueStart     time.Time
	reservedBucket *bucket
	ownerBuckets   map[int]*bucket
	remoteShares   []*remoteShare
	queue          []queuedRequest

	// attempts is the number of requests since the last tick.
	attempts int
	demand   float64 // requests per second
	// nextUrgentAt is the earliest time for the next urgent grant requests to other
	// entries.
	nextUrgentAt time.Time
	// refuseUntil is the time until which new requests without a token are refused at
	// once.
	refuseUntil time.Time
	lastUsedAt  time.Time
	// checkedOut is the amount that the last CheckOut handed to the request path.
	checkedOut Microtokens
}

type queuedRequest struct {
	id       uint64
	deadline time.Time
}

// NewCore returns a core without configuration and shares.
func NewCore(now time.Time, self Peer, options Options) *Core {
	return &Core{
		options:        options.withDefaults(),
		self:           self,
		workspaces:     make(map[string]*workspaceQuota),
		lastCallAt:     now,
		reservedShares: make(map[int]*heldReservedShare),
		ownerShares:    make(map[int]*heldOwnerShare),
		claims:         newClaimState(),
	}
}

// advanceClock must be called before the state is used at a new time. It drops owner
// shares whose lease has expired. After a pause longer than PauseLimit it drops all
// shares, since others may have taken them over.
func (c *Core) advanceClock(now time.Time) {
	if now.Sub(c.lastCallAt) > c.options.PauseLimit {
		c.paused = true
		c.everPaused = true
		c.rejoinAt = now.Add(c.options.takeoverWait())
		c.dropShares(now)
	}
	c.lastCallAt = now
	for share, held := range c.ownerShares {
		if !now.Before(held.leaseExpiresAt) {
			delete(c.ownerShares, share)
			c.configureBuckets(now)
		}
	}
}

// Configure applies limits.
func (c *Core) Configure(now time.Time, limits Limits) {
	c.advanceClock(now)
	issueStart := now
	if c.configured {
		issueStart = now.Add(withClockMargin(c.options.GrantTTL))
	} else {
		c.configuredAt = now
	}
	c.configured = true
	c.claims.zoneSyncWanted = c.claims.zoneSyncWanted || len(c.reservedShares) == 0
	c.limits = limits
	for _, name := range sortedKeys(c.workspaces) {
		q := c.workspaces[name]
		if _, kept := limits.Workspaces[name]; !kept {
			c.refuseQueueFrom(now, q, 0)
			delete(c.workspaces, name)
		}
	}
	for name, limit := range limits.Workspaces {
		q, known := c.workspaces[name]
		if !known {
			q = &workspaceQuota{name: name, ownerShares: ownerSharesOf(name), issueStart: issueStart, ownerBuckets: make(map[int]*bucket)}
			c.workspaces[name] = q
		}
		q.limit = limit
	}
	c.workspaceNames = sortedKeys(c.workspaces)
	for _, held := range c.reservedShares {
		if held.divisor < limits.Zones {
			held.divisor = limits.Zones
			c.claims.zoneSyncWanted = true
		}
	}
	c.configureBuckets(now)
}

// SetPeers replaces the list of other entries that can be reached.
func (c *Core) SetPeers(now time.Time, peers []Peer) {
	c.advanceClock(now)
	c.peers = slices.Clone(peers)
	// Entries of the same zone come first.
	slices.SortFunc(c.peers, func(a, b Peer) int {
		if order := cmp.Compare(c.zoneDistance(a), c.zoneDistance(b)); order != 0 {
			return order
		}
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
}

func (c *Core) zoneDistance(p Peer) int {
	if p.Zone == c.self.Zone {
		return 0
	}
	return 1
}

func (c *Core) reachable(incarnation string) bool {
	return slices.ContainsFunc(c.peers, func(p Peer) bool { return p.Incarnation == incarnation })
}

// configureBuckets sets the rate and capacity of each bucket to its share of the
// quota.
func (c *Core) configureBuckets(now time.Time) {
	c.configuredFraction = c.reservedFraction(now)
	for _, q := range c.workspaces {
		c.configureReservedBucket(now, q, c.configuredFraction)
		for share := range q.ownerBuckets {
			if _, ok := c.ownerShares[share]; !ok {
				delete(q.ownerBuckets, share)
			}
		}
		for _, share := range q.ownerShares {
			c.configureOwnerBucket(now, q, share)
		}
	}
	for _, held := range c.ownerShares {
		held.fillBuckets = false
	}
}

// reservedFraction returns the fraction of each quota that the reserved shares of
// this entry issue.
func (c *Core) reservedFraction(now time.Time) float64 {
	var fraction float64
	for i := range reservedSharesPerZone {
		held, ok := c.reservedShares[i]
		if ok && held.zonesChecked && !now.Before(held.issueStart) {
			fraction += c.options.ReservedFraction / float64(held.divisor*reservedSharesPerZone)
		}
	}
	return fraction
}

func (c *Core) configureReservedBucket(now time.Time, q *workspaceQuota, fraction float64) {
	if len(c.reservedShares) == 0 {
		q.reservedBucket = nil
		return
	}
	if q.reservedBucket == nil {
		q.reservedBucket = newBucket(latest(now, q.issueStart))
	}
	q.reservedBucket.configure(now, q.limit.Rate*fraction, toMicrotokens(q.limit.Burst*fraction))
}

func (c *Core) configureOwnerBucket(now time.Time, q *workspaceQuota, share int) {
	held, ok := c.ownerShares[share]
	if !ok {
		return
	}
	b, known := q.ownerBuckets[share]
	if !known {
		b = newBucket(latest(latest(now, q.issueStart), held.issueStart))
		q.ownerBuckets[share] = b
	}
	fraction := (1 - c.options.ReservedFraction) / ownerSharesPerWorkspace
	b.configure(now, q.limit.Rate*fraction, toMicrotokens(q.limit.Burst*fraction))
	if held.fillBuckets && !q.issueStart.After(now) {
		b.level = b.capacity
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func toMicrotokens(tokens float64) Microtokens {
	return Microtokens(math.Floor(tokens * float64(Token)))
}

// ownerSharesOf returns the owner shares that serve a workspace.
func ownerSharesOf(workspace string) [ownerSharesPerWorkspace]int {
	var shares [ownerSharesPerWorkspace]int
	first := int(xxhash.Sum64String(workspace) % ownerShareCount)
	for i := range shares {
		shares[i] = (first + i*ownerShareCount/ownerSharesPerWorkspace) % ownerShareCount
	}
	return shares
}

// available returns the tokens that the entry may spend now.
func (q *workspaceQuota) available(now time.Time) Microtokens {
	var sum Microtokens
	for _, remote := range q.remoteShares {
		sum += remote.held(now)
	}
	for _, b := range q.buckets() {
		b.refill(now)
		sum += b.level
	}
	return sum
}

// buckets returns the buckets that this entry issues from, the reserved one last.
func (q *workspaceQuota) buckets() []*bucket {
	buckets := make([]*bucket, 0, ownerSharesPerWorkspace+1)
	for _, share := range q.ownerShares {
		if b, owned := q.ownerBuckets[share]; owned {
			buckets = append(buckets, b)
		}
	}
	if q.reservedBucket != nil {
		buckets = append(buckets, q.reservedBucket)
	}
	return buckets
}

// findRemoteShare returns the state of a share of another issuer, or nil.
func (q *workspaceQuota) findRemoteShare(issuer string, share int) *remoteShare {
	for _, remote := range q.remoteShares {
		if remote.issuer == issuer && remote.share == share {
			return remote
		}
	}
	return nil
}

// spend debits the available tokens: first the grants that expire first, then the
// buckets of owner shares, and the reserved bucket last.
func (q *workspaceQuota) spend(now time.Time, amount Microtokens) {
	for amount > 0 {
		remote := q.firstToExpire(now)
		if remote == nil {
			break
		}
		debit := min(amount, remote.tokens)
		remote.tokens -= debit
		amount -= debit
	}
	for _, b := range q.buckets() {
		debit := min(amount, b.level)
		b.level -= debit
		amount -= debit
	}
}

// firstToExpire returns the remote share whose tokens expire first, or nil.
func (q *workspaceQuota) firstToExpire(now time.Time) *remoteShare {
	var first *remoteShare
	for _, remote := range q.remoteShares {
		if remote.held(now) > 0 && (first == nil || remote.expiresAt.Before(first.expiresAt)) {
			first = remote
		}
	}
	return first
}

// HasQueuedRequests reports whether requests of a workspace wait for tokens.
func (c *Core) HasQueuedRequests(workspace string) bool {
	q, known := c.workspaces[workspace]
	return known && len(q.queue) > 0
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Drain returns the grant requests to send and the decisions made since the last
// call.
func (c *Core) Drain() ([]OutgoingRequest, []Decision) {
	requests, decisions := c.outgoing, c.decisions
	c.outgoing, c.decisions = nil, nil
	return requests, decisions
}
