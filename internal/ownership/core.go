package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options configure a Core. The zero value uses the defaults.
type Options struct {
	// Hold is how long rights last without a tick of the control loop;
	// default 2 s.
	Hold time.Duration
	// Refresh is the time between unchanged statements; default 2 s.
	Refresh time.Duration
	// CancelMargin is how long an upstream may go on with a request whose
	// connection was closed; default 250 ms.
	CancelMargin time.Duration
	// BoundMargin is added to an endpoint's bound on a request; default 1 s.
	BoundMargin time.Duration
	// ListWait is how long a new or resumed instance waits for a list of
	// instances that contains it; default 5 s.
	ListWait time.Duration
}

// Defaults of Options.
const (
	defaultHold         = 2 * time.Second
	defaultRefresh      = 2 * time.Second
	defaultCancelMargin = 250 * time.Millisecond
	defaultBoundMargin  = time.Second
	defaultListWait     = 5 * time.Second
)

// unheardFactor multiplies the silence of a sibling that never spoke, which may
// not know yet that this instance exists.
const unheardFactor = 2

// phase is what this instance does with an endpoint.
type phase int

const (
	idle phase = iota
	claiming
	held
	yielding
)

// right is this instance's knowledge of one endpoint.
type right struct {
	// listed is false for an endpoint that the configuration does not have.
	listed bool
	// bound is the longest time that a request takes.
	bound time.Duration
	phase phase
	// preferred is the rendezvous owner among the live instances of generation.
	preferred  string
	generation uint64
	// since is the sequence of the first statement of the claim, 0 before it
	// is sent.
	since   uint64
	granted map[string]bool
	// used is true for a right that was lost by a pause and can still have
	// requests in flight.
	used bool
	// asked is the sibling that last claimed the endpoint while it was held.
	asked string
	// promised is the instance that holds this instance's grant, or "".
	promised     string
	blockedUntil time.Time
	// contested holds the siblings that hold the endpoint too.
	contested map[string]bool
}

// peer is what is known of a sibling that is not proved dead.
type peer struct {
	Peer
	sequence  uint64
	lastHeard time.Time
	// acked is when the last statement that the sibling answered was sent.
	acked time.Time
	// ackFrom is the first statement whose answer counts; earlier ones did not
	// name what this instance took over while the sibling was silent.
	ackFrom uint64
	spoke   bool
}

// Core is the ownership state of one incarnation. It belongs to one goroutine.
type Core struct {
	self        string
	incarnation string
	options     Options

	leaving  bool
	peers    map[string]*peer
	replaced map[string]string // last replaced incarnation by instance
	// buried holds dead instances that have not spoken since.
	buried map[string]bool
	// silent holds the listed siblings that were taken for dead by silence.
	silent map[string]bool
	rights map[string]*right

	// live names the live instances; generation counts its changes.
	live       string
	generation uint64

	sequence uint64
	sent     map[uint64]time.Time // when recent statements were sent
	changed  bool
	lastSent time.Time
	lastTick time.Time
	// usableFrom is when requests of an incarnation before this one are over.
	usableFrom time.Time
	// listSince is when the wait for a list began; zero when it has ended.
	listSince time.Time
}

// New returns a core without endpoints and peers.
func New(now time.Time, instance, incarnation string, options Options) *Core {
	options.Hold = cmp.Or(options.Hold, defaultHold)
	options.Refresh = cmp.Or(options.Refresh, defaultRefresh)
	options.CancelMargin = cmp.Or(options.CancelMargin, defaultCancelMargin)
	options.BoundMargin = cmp.Or(options.BoundMargin, defaultBoundMargin)
	options.ListWait = cmp.Or(options.ListWait, defaultListWait)
	return &Core{
		self:        instance,
		incarnation: incarnation,
		options:     options,
		peers:       make(map[string]*peer),
		replaced:    make(map[string]string),
		buried:      make(map[string]bool),
		silent:      make(map[string]bool),
		sent:        make(map[uint64]time.Time),
		rights:      make(map[string]*right),
		lastTick:    now,
		usableFrom:  now.Add(options.CancelMargin),
		listSince:   now,
	}
}

// SetEndpoints replaces the endpoints of the zone, each with its bound on the
// time of a request.
func (c *Core) SetEndpoints(now time.Time, bounds map[string]time.Duration) {
	for endpoint, bound := range bounds {
		r := c.right(endpoint)
		r.listed = true
		r.bound = max(r.bound, bound)
	}
	for endpoint, r := range c.rights {
		if _, found := bounds[endpoint]; !found {
			r.listed = false
		}
	}
	c.settle(now)
}

// SetLeaving makes this instance yield what a live sibling can take.
func (c *Core) SetLeaving(now time.Time) {
	c.leaving = true
	c.settle(now)
}

// SetPeers adds or updates siblings. A sibling that is left out is no longer
// live; it stays a peer until it is proved dead.
func (c *Core) SetPeers(now time.Time, peers []Peer) {
	for _, known := range c.peers {
		known.Live = false
	}
	for _, p := range peers {
		if p.Instance != c.self {
			c.setPeer(now, p)
		}
	}
	c.settle(now)
}

func (c *Core) setPeer(now time.Time, p Peer) {
	if p.Incarnation != "" && p.Incarnation == c.replaced[p.Instance] {
		return
	}
	known, found := c.peers[p.Instance]
	if found && p.Incarnation != "" && known.Incarnation != "" && p.Incarnation != known.Incarnation {
		c.replace(now, known)
		found = false
	}
	if !found {
		delete(c.buried, p.Instance)
		c.peers[p.Instance] = &peer{Peer: p, lastHeard: now, acked: now}
		c.changed = true
		return
	}
	if p.Incarnation == "" {
		p.Incarnation = known.Incarnation
	}
	if p.Link == "" {
		p.Link = known.Link
	}
	known.Peer = p
}

// replace records that a new incarnation of the instance runs.
func (c *Core) replace(now time.Time, known *peer) {
	c.replaced[known.Instance] = known.Incarnation
	c.bury(now, known.Instance, Closed)
}

// Died records a proof that the incarnation has ended. It has no effect once
// another incarnation of the instance is known.
func (c *Core) Died(now time.Time, instance, incarnation string, proof Proof) {
	known, found := c.peers[instance]
	if !found || known.Incarnation != incarnation {
		return
	}
	c.bury(now, instance, proof)
	c.settle(now)
}

// bury forgets a dead sibling and blocks what it can have used.
func (c *Core) bury(now time.Time, instance string, proof Proof) {
	delete(c.peers, instance)
	c.buried[instance] = true
	delete(c.silent, instance)
	for _, r := range c.rights {
		delete(r.granted, instance)
		delete(r.contested, instance)
		if r.promised != instance && (r.promised != "" || r.phase == held || r.phase == yielding) {
			continue
		}
		if r.promised == instance {
			r.promised = ""
		}
		wait := c.options.CancelMargin
		if proof != Closed {
			wait = r.bound + c.options.BoundMargin
		}
		if until := now.Add(wait); until.After(r.blockedUntil) {
			r.blockedUntil = until
		}
	}
}

// Listed takes the platform's list of instances of the zone. A sibling that is
// neither listed nor heard of counts as dead.
func (c *Core) Listed(now time.Time, instances []Peer) {
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		listed[instance.Instance] = true
		_, known := c.peers[instance.Instance]
		if !known && !c.buried[instance.Instance] && instance.Instance != c.self {
			c.setPeer(now, Peer{Instance: instance.Instance, Link: instance.Link})
		}
	}
	if listed[c.self] {
		c.listSince = time.Time{}
	}
	for instance := range c.buried {
		if !listed[instance] {
			delete(c.buried, instance)
			delete(c.silent, instance)
		}
	}
	for _, known := range c.sortedPeers() {
		if !listed[known.Instance] && now.Sub(known.lastHeard) > c.silence() {
			c.bury(now, known.Instance, Vanished)
		}
	}
	c.settle(now)
}

// buryTheSilent takes over from listed siblings that are silent for long. It
// cannot be told whether they run, so both sides go on with a part of the slots
// (Share).
func (c *Core) buryTheSilent(now time.Time) {
	for _, known := range c.sortedPeers() {
		limit := c.silence() + c.options.BoundMargin
		if !known.spoke {
			limit *= unheardFactor
		}
		if now.Sub(known.lastHeard) > limit {
			c.bury(now, known.Instance, Silent)
			c.silent[known.Instance] = true
		}
	}
}

// Share returns the part of the endpoint's slots that this instance may use:
// slots/of, and the remainder as well if first. Siblings that may hold the
// endpoint at the same time count in of.
func (c *Core) Share(now time.Time, endpoint string) (of int, first bool) {
	others := make(map[string]bool)
	for instance := range c.silent {
		others[instance] = true
	}
	for instance, known := range c.peers {
		if now.Sub(known.acked) > c.silence() {
			others[instance] = true
		}
	}
	if r, found := c.rights[endpoint]; found {
		for instance := range r.contested {
			others[instance] = true
		}
	}
	first = true
	for instance := range others {
		first = first && outranks(endpoint, c.self, instance)
	}
	return len(others) + 1, first
}

// silence is the time after which an unlisted sibling counts as dead. It
// outlasts the rights of a sibling that was paused after its last statement.
func (c *Core) silence() time.Duration { return 2*c.options.Hold + c.options.Refresh }

// Idle records that this instance has no request in flight at an endpoint that
// it yields.
func (c *Core) Idle(now time.Time, endpoint string) {
	if r, found := c.rights[endpoint]; found && r.phase == yielding {
		c.drop(r)
		c.settle(now)
	}
}

// Held returns the endpoints that may get requests, in order.
func (c *Core) Held() []string { return c.in(held) }

// Yielding returns the endpoints that wait for Idle, in order.
func (c *Core) Yielding() []string { return c.in(yielding) }

// Expiry is the time after which traffic must not use Held.
func (c *Core) Expiry() time.Time { return c.lastTick.Add(c.options.Hold) }

func (c *Core) in(wanted phase) []string {
	var endpoints []string
	for endpoint, r := range c.rights {
		if r.phase == wanted {
			endpoints = append(endpoints, endpoint)
		}
	}
	slices.Sort(endpoints)
	return endpoints
}

func (c *Core) right(endpoint string) *right {
	r, found := c.rights[endpoint]
	if !found {
		r = &right{}
		c.rights[endpoint] = r
	}
	return r
}

func (c *Core) sortedPeers() []*peer {
	sorted := make([]*peer, 0, len(c.peers))
	for _, instance := range slices.Sorted(maps.Keys(c.peers)) {
		sorted = append(sorted, c.peers[instance])
	}
	return sorted
}

// Incarnation returns the incarnation whose state this is.
func (c *Core) Incarnation() string { return c.incarnation }
