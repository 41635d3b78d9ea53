package spread

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lovagescale/internal/configuration"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/membership"
)

// Options configures a Core. The zero value selects the defaults.
type Options struct {
	// PullTimeout is how long a pull waits for each of its replies before it is abandoned;
	// default 2 s.
	PullTimeout time.Duration
	// MaxReplyBytes limits the total size of the chunks in one pull reply. The first chunk is
	// always sent, whatever its size; default 512 KiB.
	MaxReplyBytes int
}

// Defaults of Options.
const (
	defaultPullTimeout   = 2 * time.Second
	defaultMaxReplyBytes = 512 << 10
)

// maxPendingWithdrawals limits the withdrawals that each exchange carries because the manifest
// does not record them yet. Withdraw rejects any beyond this limit.
const maxPendingWithdrawals = 64

// Core holds the configuration of one instance and the state of its propagation. It does no
// I/O and reads no clock: its methods take the time and return the calls to make as an
// Output. It is not safe for concurrent use.
type Core struct {
	self    membership.Member
	options Options
	random  *rand.Rand

	members     []membership.Member
	assembler   configuration.Assembler
	active      *configuration.Configuration
	manifest    configuration.Manifest
	manifestSum string
	chunks      configuration.Chunks
	history     history

	// syncedAt is the last time at which the active configuration was known to be at least
	// as new as the one in the store. It is valid if hasSynced is true.
	syncedAt  time.Time
	hasSynced bool
	// withdrawnKeys holds the identifiers of all keys known to be withdrawn.
	withdrawnKeys map[string]struct{}
	// pendingWithdrawals maps the identifiers of withdrawn keys whose withdrawal the active
	// manifest does not record yet to their withdrawal tokens.
	pendingWithdrawals map[string][]byte
	currentPull        *pull

	// acceptLowerRevisions injects a fault in tests: any revision other than the active one
	// is accepted.
	acceptLowerRevisions bool
}

// New returns a Core without a configuration and without other members.
func New(self membership.Member, random *rand.Rand, options Options) *Core {
	if options.PullTimeout == 0 {
		options.PullTimeout = defaultPullTimeout
	}
	if options.MaxReplyBytes == 0 {
		options.MaxReplyBytes = defaultMaxReplyBytes
	}
	return &Core{
		self:               self,
		options:            options,
		random:             random,
		chunks:             make(configuration.Chunks),
		withdrawnKeys:      make(map[string]struct{}),
		pendingWithdrawals: make(map[string][]byte),
	}
}

// SetMembers replaces the list of other members. It leaves out this instance and members
// that are gone.
func (c *Core) SetMembers(members []membership.Member) {
	c.members = c.members[:0]
	for _, member := range members {
		if member.Instance != c.self.Instance && member.State != instancelist.Gone {
			c.members = append(c.members, member)
		}
	}
}

// Revision returns the active revision, or 0 if there is none.
func (c *Core) Revision() uint64 { return c.manifest.Revision }

// Manifest returns the active manifest.
func (c *Core) Manifest() configuration.Manifest { return c.manifest }

// SyncedAt returns the last time at which the active configuration was known to be at least
// as new as the one in the store. It returns false if that was never known.
func (c *Core) SyncedAt() (time.Time, bool) { return c.syncedAt, c.hasSynced }

// Age returns the time since SyncedAt in milliseconds, or -1 if SyncedAt is not known.
func (c *Core) Age(now time.Time) int64 {
	if !c.hasSynced {
		return ageUnknown
	}
	return max(0, now.Sub(c.syncedAt).Milliseconds())
}

// MissingChunks returns the digests of the manifest's chunks that this instance does not
// hold. It returns none if the manifest's revision would not be accepted.
func (c *Core) MissingChunks(manifest configuration.Manifest) []string {
	if !c.accepts(manifest.Revision) {
		return nil
	}
	return c.chunks.Missing(manifest)
}

// accepts reports whether a revision may replace the active one.
func (c *Core) accepts(revision uint64) bool {
	if c.acceptLowerRevisions {
		return revision != c.manifest.Revision
	}
	return revision > c.manifest.Revision
}

// HandleStoreRead activates the manifest that a read of the store returned, if its revision
// is higher than the active one. The read was started at startedAt; chunks holds the chunks
// that were fetched for it. It returns a *configuration.ChunkMissingError or a
// *configuration.ChunkMalformedError if the chunks do not make up the manifest.
func (c *Core) HandleStoreRead(startedAt time.Time, manifest configuration.Manifest, chunks configuration.Chunks) (Output, error) {
	out, err := c.activate(manifest, chunks, "")
	if err == nil && manifest.Revision <= c.manifest.Revision {
		c.recordSync(startedAt)
	}
	return out, err
}

// HandleStoreUnchanged records that a read of the store, started at startedAt, found the
// manifest unchanged.
func (c *Core) HandleStoreUnchanged(startedAt time.Time) {
	if c.manifest.Revision > 0 {
		c.recordSync(startedAt)
	}
}

// recordSync moves syncedAt forward; earlier times are ignored.
func (c *Core) recordSync(at time.Time) {
	if !c.hasSynced || at.After(c.syncedAt) {
		c.syncedAt = at
		c.hasSynced = true
	}
}

// activate makes the manifest the active one if its revision is accepted, and notifies other
// instances. Parameter originZone is the zone of the peer that it came from, or "" for the
// store.
func (c *Core) activate(manifest configuration.Manifest, chunks configuration.Chunks, originZone string) (Output, error) {
	if !c.accepts(manifest.Revision) {
		return Output{}, nil
	}
	available := maps.Clone(c.chunks)
	maps.Copy(available, chunks)
	assembled, err := c.assembler.Assemble(manifest, available)
	if err != nil {
		return Output{}, err
	}
	c.history.add(c.manifest, manifest)
	c.manifest = manifest
	c.manifestSum = manifest.Sum()
	c.chunks = make(configuration.Chunks, len(manifest.Chunks))
	for _, digest := range manifest.Chunks {
		c.chunks[digest] = available[digest]
	}
	c.active = c.mergeWithdrawals(assembled)
	return Output{Activate: c.active, Exchanges: c.newExchangeCalls(c.notificationTargets(originZone))}, nil
}

// mergeWithdrawals adds the withdrawals that a new configuration records to the known ones
// and removes the pending ones that are recorded now or whose keys no longer exist. It returns
// the configuration with all known withdrawals applied.
func (c *Core) mergeWithdrawals(assembled *configuration.Configuration) *configuration.Configuration {
	for identifier, record := range assembled.Keys {
		if record.Withdrawn {
			c.withdrawnKeys[identifier] = struct{}{}
		}
	}
	for identifier := range c.pendingWithdrawals {
		record, known := assembled.Keys[identifier]
		if !known || record.Withdrawn {
			delete(c.pendingWithdrawals, identifier)
		}
	}
	for identifier := range c.withdrawnKeys {
		if record, known := assembled.Keys[identifier]; known && !record.Withdrawn {
			return assembled.WithKeysWithdrawn(c.withdrawnKeys)
		}
	}
	return assembled
}

// Withdraw applies a pushed withdrawal and reports whether this instance now treats the key
// as withdrawn. The withdrawal has no effect if the key is unknown, the token is wrong or
// too many withdrawals are pending.
func (c *Core) Withdraw(w Withdrawal) (bool, Output) {
	if _, known := c.withdrawnKeys[w.Identifier]; known {
		return true, Output{}
	}
	if c.active == nil || len(c.pendingWithdrawals) >= maxPendingWithdrawals {
		return false, Output{}
	}
	record, known := c.active.Keys[w.Identifier]
	if !known || !record.PermitsWithdrawal(w.Token) {
		return false, Output{}
	}
	c.withdrawnKeys[w.Identifier] = struct{}{}
	c.pendingWithdrawals[w.Identifier] = w.Token
	c.active = c.active.WithKeysWithdrawn(c.withdrawnKeys)
	return true, Output{Activate: c.active, Exchanges: c.newExchangeCalls(c.notificationTargets(""))}
}

// summary returns the summary of this instance for an exchange.
func (c *Core) summary(now time.Time) Summary {
	s := Summary{Instance: c.self.Instance, Revision: c.manifest.Revision, AgeMillis: c.Age(now)}
	for _, identifier := range slices.Sorted(maps.Keys(c.pendingWithdrawals)) {
		s.Withdrawals = append(s.Withdrawals, Withdrawal{Identifier: identifier, Token: c.pendingWithdrawals[identifier]})
	}
	return s
}

// newExchangeCalls returns an exchange to send to each peer. These carry no age, because it
// would be too low by the unknown time until the peer reads the message. Replies carry one:
// their receiver knows when it sent its request.
func (c *Core) newExchangeCalls(peers []membership.Member) []ExchangeCall {
	s := c.summary(time.Time{})
	s.AgeMillis = ageUnknown
	calls := make([]ExchangeCall, 0, len(peers))
	for _, peer := range peers {
		calls = append(calls, ExchangeCall{Peer: peer, Summary: s})
	}
	return calls
}
