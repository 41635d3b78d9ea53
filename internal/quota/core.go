package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// refuseTime is how long an entry refuses at once after it has found no token
// anywhere.
const refuseTime = 50 * time.Millisecond

// demandTime is the time over which demand is averaged.
const demandTime = 300 * time.Millisecond

// maxQueue bounds the requests of one workspace that wait for tokens.
const maxQueue = 4096

// Core holds the quota state of one entry. Its methods must be called from one
// goroutine, with a time that never goes back.
type Core struct {
	options Options
	self    Peer
	limits  Limits
	peers   []Peer
	spaces  map[string]*space
	names   []string // of spaces, ordered

	lastSeen time.Time
	// settled is true once the core has had a configuration; quotas that come
	// later wait out the grants of a quota of the same name that was removed.
	settled   bool
	settledAt time.Time
	released  bool
	// paused is true from a pause longer than the limit until rejoinAt or later.
	paused   bool
	rejoinAt time.Time
	// resumed is true from the first such pause on.
	resumed bool
	// unlisted is true once the entry has left the platform's list.
	unlisted bool

	slots  map[int]*slotHold
	shares map[int]*shareHold
	// fraction is what the reserved buckets were last configured with.
	fraction float64
	claims   claims
	owners   [ownerShares]string // the owner's incarnation as last heard
	next     int                 // rotates over the other entries
	// sequence is that of the last ask. It is never used twice, so that no late
	// grant can be taken for another.
	sequence uint64

	asks      []Outgoing
	decisions []Decision

	// These variants are broken on purpose; only tests set them.
	creditBeforeDebit bool
	leaseFromReply    bool
	skipHandoverWait  bool
}

// slotHold is a reserved share that this entry holds.
type slotHold struct {
	divisor int
	startAt time.Time
	// checked is true once the shares of all zones were seen to add up.
	checked bool
	// virgin is true of a share that nobody held before. It starts full.
	virgin bool
}

// shareHold is an owner share that this entry holds.
type shareHold struct {
	epoch   uint64
	startAt time.Time
	until   time.Time
	// beatAt is when the last renewal was sent.
	beatAt time.Time
	// fill is true until the buckets of a share that nobody held before were
	// filled.
	fill bool
}

// space is the quota state of one workspace.
type space struct {
	name     string
	parts    [sharesPerWorkspace]int
	limit    Limit
	since    time.Time
	reserved *bucket
	owned    map[int]*bucket
	sources  []*source
	queue    []waiter

	attempts int
	demand   float64 // requests per second
	// urgentAt is when many other entries may be asked at once again.
	urgentAt    time.Time
	refuseUntil time.Time
	usedAt      time.Time
	checkedOut  Units
}

type waiter struct {
	id       uint64
	deadline time.Time
}

// NewCore returns a core without configuration and shares.
func NewCore(now time.Time, self Peer, options Options) *Core {
	return &Core{
		options:  options.withDefaults(),
		self:     self,
		spaces:   make(map[string]*space),
		lastSeen: now,
		slots:    make(map[int]*slotHold),
		shares:   make(map[int]*shareHold),
		claims:   newClaims(),
	}
}

// touch must be called first by every method. After a pause longer than the
// limit it drops all shares, since they may have passed to others.
func (c *Core) touch(now time.Time) {
	if now.Sub(c.lastSeen) > c.options.PauseLimit {
		c.paused = true
		c.resumed = true
		c.rejoinAt = now.Add(c.options.handoverWait())
		c.dropShares(now)
	}
	c.lastSeen = now
	for part, hold := range c.shares {
		if !now.Before(hold.until) {
			delete(c.shares, part)
			c.reconfigure(now)
		}
	}
}

// Configure puts limits in force.
func (c *Core) Configure(now time.Time, limits Limits) {
	c.touch(now)
	since := now
	if c.settled {
		since = now.Add(widened(c.options.GrantTTL))
	} else {
		c.settledAt = now
	}
	c.settled = true
	c.claims.wanted = c.claims.wanted || len(c.slots) == 0
	c.limits = limits
	for _, name := range sortedNames(c.spaces) {
		s := c.spaces[name]
		if _, kept := limits.Workspaces[name]; !kept {
			c.refuseFrom(now, s, 0)
			delete(c.spaces, name)
		}
	}
	for name, limit := range limits.Workspaces {
		s, known := c.spaces[name]
		if !known {
			s = &space{name: name, parts: partsOf(name), since: since, owned: make(map[int]*bucket)}
			c.spaces[name] = s
		}
		s.limit = limit
	}
	c.names = sortedNames(c.spaces)
	for _, hold := range c.slots {
		if hold.divisor < limits.Zones {
			hold.divisor = limits.Zones
			c.claims.wanted = true
		}
	}
	c.reconfigure(now)
}

// SetPeers replaces the other entries that can be reached.
func (c *Core) SetPeers(now time.Time, peers []Peer) {
	c.touch(now)
	c.peers = slices.Clone(peers)
	// Entries of the own zone come first.
	slices.SortFunc(c.peers, func(a, b Peer) int {
		if near := cmp.Compare(c.distance(a), c.distance(b)); near != 0 {
			return near
		}
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
}

func (c *Core) distance(p Peer) int {
	if p.Zone == c.self.Zone {
		return 0
	}
	return 1
}

func (c *Core) reachable(incarnation string) bool {
	return slices.ContainsFunc(c.peers, func(p Peer) bool { return p.Incarnation == incarnation })
}

// reconfigure gives each bucket the rate and burst of its part.
func (c *Core) reconfigure(now time.Time) {
	c.fraction = c.reservedFraction(now)
	for _, s := range c.spaces {
		c.configureReserved(now, s, c.fraction)
		for part := range s.owned {
			if _, held := c.shares[part]; !held {
				delete(s.owned, part)
			}
		}
		for _, part := range s.parts {
			c.configureOwned(now, s, part)
		}
	}
	for _, hold := range c.shares {
		hold.fill = false
	}
}

// reservedFraction is the part of each quota that this entry's reserved shares
// issue.
func (c *Core) reservedFraction(now time.Time) float64 {
	var fraction float64
	for i := range slotsPerZone {
		hold, held := c.slots[i]
		if held && hold.checked && !now.Before(hold.startAt) {
			fraction += c.options.Reserved / float64(hold.divisor*slotsPerZone)
		}
	}
	return fraction
}

func (c *Core) configureReserved(now time.Time, s *space, fraction float64) {
	if len(c.slots) == 0 {
		s.reserved = nil
		return
	}
	if s.reserved == nil {
		s.reserved = newBucket(latest(now, s.since))
	}
	s.reserved.configure(now, s.limit.Rate*fraction, units(s.limit.Burst*fraction))
}

func (c *Core) configureOwned(now time.Time, s *space, part int) {
	hold, held := c.shares[part]
	if !held {
		return
	}
	b, known := s.owned[part]
	if !known {
		b = newBucket(latest(latest(now, s.since), hold.startAt))
		s.owned[part] = b
	}
	fraction := (1 - c.options.Reserved) / sharesPerWorkspace
	b.configure(now, s.limit.Rate*fraction, units(s.limit.Burst*fraction))
	if hold.fill && !s.since.After(now) {
		b.level = b.capacity
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func units(tokens float64) Units { return Units(math.Floor(tokens * float64(Token))) }

// partsOf returns the owner shares that serve a workspace.
func partsOf(workspace string) [sharesPerWorkspace]int {
	var parts [sharesPerWorkspace]int
	first := int(xxhash.Sum64String(workspace) % ownerShares)
	for i := range parts {
		parts[i] = (first + i*ownerShares/sharesPerWorkspace) % ownerShares
	}
	return parts
}

// available returns the tokens that the entry may spend now.
func (s *space) available(now time.Time) Units {
	var sum Units
	for _, src := range s.sources {
		sum += src.held(now)
	}
	for _, b := range s.buckets() {
		b.refill(now)
		sum += b.level
	}
	return sum
}

// buckets returns the parts that this entry issues, the reserved part last.
func (s *space) buckets() []*bucket {
	buckets := make([]*bucket, 0, sharesPerWorkspace+1)
	for _, part := range s.parts {
		if b, owned := s.owned[part]; owned {
			buckets = append(buckets, b)
		}
	}
	if s.reserved != nil {
		buckets = append(buckets, s.reserved)
	}
	return buckets
}

// source returns what is held of an issuer's part, or nil.
func (s *space) source(issuer string, part int) *source {
	for _, src := range s.sources {
		if src.issuer == issuer && src.part == part {
			return src
		}
	}
	return nil
}

// spend debits what is available: the grants that expire first, then the parts
// that this entry issues, the reserved share last.
func (s *space) spend(now time.Time, amount Units) {
	for amount > 0 {
		src := s.expiresFirst(now)
		if src == nil {
			break
		}
		take := min(amount, src.tokens)
		src.tokens -= take
		amount -= take
	}
	for _, b := range s.buckets() {
		take := min(amount, b.level)
		b.level -= take
		amount -= take
	}
}

// expiresFirst returns the source whose tokens expire first, or nil.
func (s *space) expiresFirst(now time.Time) *source {
	var first *source
	for _, src := range s.sources {
		if src.held(now) > 0 && (first == nil || src.expiresAt.Before(first.expiresAt)) {
			first = src
		}
	}
	return first
}

// Queued reports whether requests of a workspace wait for tokens.
func (c *Core) Queued(workspace string) bool {
	s, known := c.spaces[workspace]
	return known && len(s.queue) > 0
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Drain returns the asks to send and the decisions since the last call.
func (c *Core) Drain() ([]Outgoing, []Decision) {
	asks, decisions := c.asks, c.decisions
	c.asks, c.decisions = nil, nil
	return asks, decisions
}
