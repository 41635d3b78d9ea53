package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options configures a Core. The zero value selects the defaults.
type Options struct {
	// TickTimeout is how long held endpoints may be used without a tick of the
	// control loop; default 2 s.
	TickTimeout time.Duration
	// RefreshInterval is the time between statements that do not change; default 2 s.
	RefreshInterval time.Duration
	// CancelMargin is how long an upstream may continue to process a request whose
	// connection was closed; default 250 ms.
	CancelMargin time.Duration
	// RequestTimeoutMargin is added to an endpoint's request timeout to bound how long
	// requests of a lost or unresponsive instance may be in flight. It is also added to
	// the silence limit, after which a listed sibling is declared dead; default 1 s.
	RequestTimeoutMargin time.Duration
	// ListWait is how long a new or resumed instance waits for a platform list that
	// contains it before it claims endpoints; default 5 s.
	ListWait time.Duration
}

// Defaults of Options.
const (
	defaultTickTimeout          = 2 * time.Second
	defaultRefreshInterval      = 2 * time.Second
	defaultCancelMargin         = 250 * time.Millisecond
	defaultRequestTimeoutMargin = time.Second
	defaultListWait             = 5 * time.Second
)

// neverHeardFactor multiplies the silence after which a listed sibling is declared dead
// if it has never been heard, since it may not know yet that this instance exists.
const neverHeardFactor = 2

// phase is the relation of this instance to an endpoint.
type phase int

const (
	unowned  phase = iota // neither held nor claimed
	claiming              // waits for grants
	held                  // may get requests
	yielding              // gets no new requests and is released once drained
)

// endpointState is the state of one endpoint at this instance.
type endpointState struct {
	configured bool // whether the current configuration contains the endpoint
	// requestTimeout is the longest request timeout configured so far, since earlier
	// requests may still be in flight.
	requestTimeout time.Duration
	phase          phase
	// preferred is the preferred owner among the live instances of the generation.
	preferred  string
	generation uint64
	// claimSequence is the sequence number of the first statement with the claim, or
	// 0 before it is sent.
	claimSequence uint64
	grantedBy     map[string]bool
	// usedBeforePause is set if the endpoint was held before a pause and may still
	// have requests in flight from that time.
	usedBeforePause bool
	// lastClaimant is the last sibling that claimed the endpoint while it was held.
	lastClaimant string
	// grantedTo is the sibling to which this instance has granted the endpoint, or "".
	grantedTo string
	// blockedUntil is when requests of a dead sibling to the endpoint are over.
	blockedUntil time.Time
	// alsoHeldBy holds the siblings that may use the endpoint at the same time,
	// according to their last replies.
	alsoHeldBy map[string]bool
}

// siblingState is the state of a sibling that has not been declared dead.
type siblingState struct {
	Sibling
	lastSequence uint64
	lastHeard    time.Time
	// ackedSentAt is when the latest statement that the sibling has replied to was sent.
	ackedSentAt time.Time
	// ackFromSequence is the sequence number of the first statement whose reply
	// counts. Earlier statements did not name the endpoints that this instance took
	// over while the sibling was silent.
	ackFromSequence uint64
	everHeard       bool
}

// Core is the ownership state of one incarnation. It reads no clock and performs no
// I/O. It is not safe for concurrent use.
type Core struct {
	self        string
	incarnation string
	options     Options

	leaving  bool
	siblings map[string]*siblingState
	replaced map[string]string // last replaced incarnation by instance
	// dead holds the instances that were declared dead and not heard since.
	dead map[string]bool
	// unresponsive holds the siblings that were declared dead for their silence
	// although they are listed.
	unresponsive map[string]bool
	endpoints    map[string]*endpointState

	// liveNames joins the names of the live instances; generation counts its changes.
	liveNames  string
	generation uint64

	sequence         uint64
	sentAt           map[uint64]time.Time // when recent statements were sent, by sequence
	statementChanged bool                 // since the last statement
	lastSent         time.Time
	lastTick         time.Time
	// usableFrom is when requests of this instance's previous incarnation are over.
	usableFrom time.Time
	// listWaitSince is when the wait for the platform's list began, or zero if a list
	// has contained this instance since.
	listWaitSince time.Time
}

// New returns a core without endpoints and siblings.
func New(now time.Time, instance, incarnation string, options Options) *Core {
	options.TickTimeout = cmp.Or(options.TickTimeout, defaultTickTimeout)
	options.RefreshInterval = cmp.Or(options.RefreshInterval, defaultRefreshInterval)
	options.CancelMargin = cmp.Or(options.CancelMargin, defaultCancelMargin)
	options.RequestTimeoutMargin = cmp.Or(options.RequestTimeoutMargin, defaultRequestTimeoutMargin)
	options.ListWait = cmp.Or(options.ListWait, defaultListWait)
	return &Core{
		self:          instance,
		incarnation:   incarnation,
		options:       options,
		siblings:      make(map[string]*siblingState),
		replaced:      make(map[string]string),
		dead:          make(map[string]bool),
		unresponsive:  make(map[string]bool),
		sentAt:        make(map[uint64]time.Time),
		endpoints:     make(map[string]*endpointState),
		lastTick:      now,
		usableFrom:    now.Add(options.CancelMargin),
		listWaitSince: now,
	}
}

// SetEndpoints replaces the configured endpoints of the zone, given with their
// request timeouts.
func (c *Core) SetEndpoints(now time.Time, requestTimeouts map[string]time.Duration) {
	for endpoint, requestTimeout := range requestTimeouts {
		e := c.ensureEndpoint(endpoint)
		e.configured = true
		e.requestTimeout = max(e.requestTimeout, requestTimeout)
	}
	for endpoint, e := range c.endpoints {
		if _, found := requestTimeouts[endpoint]; !found {
			e.configured = false
		}
	}
	c.updatePhases(now)
}

// SetLeaving marks this instance as leaving, so that it yields its endpoints to live
// siblings.
func (c *Core) SetLeaving(now time.Time) {
	c.leaving = true
	c.updatePhases(now)
}

// SetSiblings adds or updates siblings. A sibling that is omitted is no longer live
// but remains known until it is declared dead.
func (c *Core) SetSiblings(now time.Time, siblings []Sibling) {
	for _, sibling := range c.siblings {
		sibling.Live = false
	}
	for _, update := range siblings {
		if update.Instance != c.self {
			c.setSibling(now, update)
		}
	}
	c.updatePhases(now)
}

// setSibling adds or updates a sibling. It ignores an incarnation that has been
// replaced; a new incarnation replaces the known one.
func (c *Core) setSibling(now time.Time, update Sibling) {
	if update.Incarnation != "" && update.Incarnation == c.replaced[update.Instance] {
		return
	}
	sibling, found := c.siblings[update.Instance]
	if found && update.Incarnation != "" && sibling.Incarnation != "" && update.Incarnation != sibling.Incarnation {
		c.recordReplacement(now, sibling)
		found = false
	}
	if !found {
		delete(c.dead, update.Instance)
		c.siblings[update.Instance] = &siblingState{Sibling: update, lastHeard: now, ackedSentAt: now}
		c.statementChanged = true
		return
	}
	if update.Incarnation == "" {
		update.Incarnation = sibling.Incarnation
	}
	if update.Link == "" {
		update.Link = sibling.Link
	}
	sibling.Sibling = update
}

// recordReplacement declares the known incarnation of a sibling dead because a new
// incarnation of the instance is running.
func (c *Core) recordReplacement(now time.Time, sibling *siblingState) {
	c.replaced[sibling.Instance] = sibling.Incarnation
	c.declareDead(now, sibling.Instance, ProcessEnded)
}

// ReportDeath reports evidence that the incarnation has died. It has no effect unless
// the instance is a known sibling with this incarnation.
func (c *Core) ReportDeath(now time.Time, instance, incarnation string, evidence DeathEvidence) {
	sibling, found := c.siblings[instance]
	if !found || sibling.Incarnation != incarnation {
		return
	}
	c.declareDead(now, instance, evidence)
	c.updatePhases(now)
}

// declareDead removes a sibling, ends the grants that it was given and blocks the
// endpoints that it may have used.
func (c *Core) declareDead(now time.Time, instance string, evidence DeathEvidence) {
	delete(c.siblings, instance)
	c.dead[instance] = true
	delete(c.unresponsive, instance)
	for _, e := range c.endpoints {
		delete(e.grantedBy, instance)
		delete(e.alsoHeldBy, instance)
		if e.grantedTo != instance && (e.grantedTo != "" || e.phase == held || e.phase == yielding) {
			continue
		}
		if e.grantedTo == instance {
			e.grantedTo = ""
		}
		wait := c.options.CancelMargin
		if evidence != ProcessEnded {
			wait = e.requestTimeout + c.options.RequestTimeoutMargin
		}
		if until := now.Add(wait); until.After(e.blockedUntil) {
			e.blockedUntil = until
		}
	}
}

// SetInstanceList processes the platform's list of the zone's instances, which may
// include this one. A sibling that is neither listed nor heard is declared dead.
func (c *Core) SetInstanceList(now time.Time, instances []Sibling) {
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		listed[instance.Instance] = true
		_, known := c.siblings[instance.Instance]
		if !known && !c.dead[instance.Instance] && instance.Instance != c.self {
			c.setSibling(now, Sibling{Instance: instance.Instance, Link: instance.Link})
		}
	}
	if listed[c.self] {
		c.listWaitSince = time.Time{}
	}
	for instance := range c.dead {
		if !listed[instance] {
			delete(c.dead, instance)
			delete(c.unresponsive, instance)
		}
	}
	for _, sibling := range c.sortedSiblings() {
		if !listed[sibling.Instance] && now.Sub(sibling.lastHeard) > c.silenceLimit() {
			c.declareDead(now, sibling.Instance, HostLost)
		}
	}
	c.updatePhases(now)
}

// declareUnresponsiveDead declares siblings dead that have been silent for long, even
// if they are listed. They may be running, so both sides continue with a part of the
// slots (SlotShare).
func (c *Core) declareUnresponsiveDead(now time.Time) {
	for _, sibling := range c.sortedSiblings() {
		limit := c.silenceLimit() + c.options.RequestTimeoutMargin
		if !sibling.everHeard {
			limit *= neverHeardFactor
		}
		if now.Sub(sibling.lastHeard) > limit {
			c.declareDead(now, sibling.Instance, Unresponsive)
			c.unresponsive[sibling.Instance] = true
		}
	}
}

// SlotShare returns the part of the endpoint's slots that this instance may use:
// slots/divisor, plus the remainder of the division if takesRemainder is true. The
// divisor counts this instance and the siblings that may hold the endpoint at the
// same time.
func (c *Core) SlotShare(now time.Time, endpoint string) (divisor int, takesRemainder bool) {
	others := make(map[string]bool)
	for instance := range c.unresponsive {
		others[instance] = true
	}
	for instance, sibling := range c.siblings {
		if now.Sub(sibling.ackedSentAt) > c.silenceLimit() {
			others[instance] = true
		}
	}
	if e, found := c.endpoints[endpoint]; found {
		for instance := range e.alsoHeldBy {
			others[instance] = true
		}
	}
	takesRemainder = true
	for instance := range others {
		takesRemainder = takesRemainder && outranks(endpoint, c.self, instance)
	}
	return len(others) + 1, takesRemainder
}

// silenceLimit returns the silence after which an unlisted sibling is declared dead,
// and the time without a reply after which a sibling is counted in SlotShare. By then a
// sibling that was paused after its last statement has lost its endpoints.
func (c *Core) silenceLimit() time.Duration {
	return 2*c.options.TickTimeout + c.options.RefreshInterval
}

// ReportDrained reports that this instance has no request in flight at a yielding
// endpoint, which is then released.
func (c *Core) ReportDrained(now time.Time, endpoint string) {
	if e, found := c.endpoints[endpoint]; found && e.phase == yielding {
		c.relinquish(e)
		c.updatePhases(now)
	}
}

// Held returns the endpoints that may get requests, sorted.
func (c *Core) Held() []string { return c.inPhase(held) }

// Yielding returns the endpoints that wait for ReportDrained, sorted.
func (c *Core) Yielding() []string { return c.inPhase(yielding) }

// Expiry returns the time after which the held endpoints must not get requests.
func (c *Core) Expiry() time.Time { return c.lastTick.Add(c.options.TickTimeout) }

func (c *Core) inPhase(wanted phase) []string {
	var endpoints []string
	for endpoint, e := range c.endpoints {
		if e.phase == wanted {
			endpoints = append(endpoints, endpoint)
		}
	}
	slices.Sort(endpoints)
	return endpoints
}

// ensureEndpoint returns the state of the endpoint and creates it if necessary.
func (c *Core) ensureEndpoint(endpoint string) *endpointState {
	e, found := c.endpoints[endpoint]
	if !found {
		e = &endpointState{}
		c.endpoints[endpoint] = e
	}
	return e
}

func (c *Core) sortedSiblings() []*siblingState {
	sorted := make([]*siblingState, 0, len(c.siblings))
	for _, instance := range slices.Sorted(maps.Keys(c.siblings)) {
		sorted = append(sorted, c.siblings[instance])
	}
	return sorted
}

// Incarnation returns the incarnation of this instance.
func (c *Core) Incarnation() string { return c.incarnation }
