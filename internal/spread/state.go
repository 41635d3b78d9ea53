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

// Options configure a Core. The zero value uses the defaults.
type Options struct {
	// PullTimeout is the time after which an unanswered pull is given up;
	// default 2 s.
	PullTimeout time.Duration
	// MaxReplyBytes bounds the chunks in one pull reply; default 512 KiB. The
	// first chunk is always sent.
	MaxReplyBytes int
}

// Defaults of Options.
const (
	defaultPullTimeout   = 2 * time.Second
	defaultMaxReplyBytes = 512 << 10
)

// maxPending bounds the withdrawals that an exchange carries.
const maxPending = 64

// Core is the configuration of one instance and how it spreads. It reads no
// clock and opens no socket; it must be used from one goroutine.
type Core struct {
	self    membership.Member
	options Options
	random  *rand.Rand

	members   []membership.Member
	assembler configuration.Assembler
	current   *configuration.Configuration
	manifest  configuration.Manifest
	sum       string
	chunks    configuration.Chunks
	history   history

	// informed is when the state held was that of the store.
	informed    time.Time
	wasInformed bool
	// withdrawn holds every withdrawal known, pending those that the manifest
	// in force does not have.
	withdrawn map[string]struct{}
	pending   map[string][]byte
	pulling   *pull

	// acceptLower is a fault for tests: any other revision is taken.
	acceptLower bool
}

// New returns the state of an instance that knows nothing yet.
func New(self membership.Member, random *rand.Rand, options Options) *Core {
	if options.PullTimeout == 0 {
		options.PullTimeout = defaultPullTimeout
	}
	if options.MaxReplyBytes == 0 {
		options.MaxReplyBytes = defaultMaxReplyBytes
	}
	return &Core{
		self:      self,
		options:   options,
		random:    random,
		chunks:    make(configuration.Chunks),
		withdrawn: make(map[string]struct{}),
		pending:   make(map[string][]byte),
	}
}

// Members replaces the other members.
func (c *Core) Members(members []membership.Member) {
	c.members = c.members[:0]
	for _, member := range members {
		if member.Instance != c.self.Instance && member.State != instancelist.Gone {
			c.members = append(c.members, member)
		}
	}
}

// Revision returns the revision in force, 0 for none.
func (c *Core) Revision() uint64 { return c.manifest.Revision }

// Manifest returns the manifest in force.
func (c *Core) Manifest() configuration.Manifest { return c.manifest }

// Informed returns when the state held was that of the store; false for never.
func (c *Core) Informed() (time.Time, bool) { return c.informed, c.wasInformed }

// Age returns the time since Informed in milliseconds, or -1 for never.
func (c *Core) Age(now time.Time) int64 {
	if !c.wasInformed {
		return ageNever
	}
	return max(0, now.Sub(c.informed).Milliseconds())
}

// Lacks returns the digests of the manifest's chunks that are not held, or
// none when the manifest would not be taken.
func (c *Core) Lacks(manifest configuration.Manifest) []string {
	if !c.takes(manifest.Revision) {
		return nil
	}
	return c.chunks.Missing(manifest)
}

func (c *Core) takes(revision uint64) bool {
	if c.acceptLower {
		return revision != c.manifest.Revision
	}
	return revision > c.manifest.Revision
}

// StoreRead takes the manifest that a read of the store, begun at sentAt,
// returned, and the chunks of it that were fetched. It returns a
// *configuration.ChunkMissingError or *configuration.ChunkMalformedError.
func (c *Core) StoreRead(sentAt time.Time, manifest configuration.Manifest, chunks configuration.Chunks) (Output, error) {
	out, err := c.install(manifest, chunks, "")
	if err == nil && manifest.Revision <= c.manifest.Revision {
		c.inform(sentAt)
	}
	return out, err
}

// StoreUnchanged records that a read of the store, begun at sentAt, returned no
// other manifest than the one in force.
func (c *Core) StoreUnchanged(sentAt time.Time) {
	if c.manifest.Revision > 0 {
		c.inform(sentAt)
	}
}

func (c *Core) inform(at time.Time) {
	if !c.wasInformed || at.After(c.informed) {
		c.informed = at
		c.wasInformed = true
	}
}

// install puts a higher revision in force and tells others. Zone is the zone
// it came from, "" for the store.
func (c *Core) install(manifest configuration.Manifest, chunks configuration.Chunks, zone string) (Output, error) {
	if !c.takes(manifest.Revision) {
		return Output{}, nil
	}
	all := maps.Clone(c.chunks)
	maps.Copy(all, chunks)
	assembled, err := c.assembler.Assemble(manifest, all)
	if err != nil {
		return Output{}, err
	}
	c.history.add(c.manifest, manifest)
	c.manifest = manifest
	c.sum = manifest.Sum()
	c.chunks = make(configuration.Chunks, len(manifest.Chunks))
	for _, digest := range manifest.Chunks {
		c.chunks[digest] = all[digest]
	}
	c.current = c.rememberWithdrawn(assembled)
	return Output{Install: c.current, Exchanges: c.tell(c.audience(zone))}, nil
}

// rememberWithdrawn merges the withdrawals of a new configuration with those
// known before.
func (c *Core) rememberWithdrawn(assembled *configuration.Configuration) *configuration.Configuration {
	for identifier, record := range assembled.Keys {
		if record.Withdrawn {
			c.withdrawn[identifier] = struct{}{}
		}
	}
	for identifier := range c.pending {
		record, known := assembled.Keys[identifier]
		if !known || record.Withdrawn {
			delete(c.pending, identifier)
		}
	}
	for identifier := range c.withdrawn {
		if record, known := assembled.Keys[identifier]; known && !record.Withdrawn {
			return assembled.WithWithdrawn(c.withdrawn)
		}
	}
	return assembled
}

// Withdraw takes a pushed withdrawal and reports whether the key is withdrawn
// here for good. An unknown key or a wrong token has no effect.
func (c *Core) Withdraw(w Withdrawal) (bool, Output) {
	if _, known := c.withdrawn[w.Identifier]; known {
		return true, Output{}
	}
	if c.current == nil || len(c.pending) >= maxPending {
		return false, Output{}
	}
	record, known := c.current.Keys[w.Identifier]
	if !known || !record.Permits(w.Token) {
		return false, Output{}
	}
	c.withdrawn[w.Identifier] = struct{}{}
	c.pending[w.Identifier] = w.Token
	c.current = c.current.WithWithdrawn(c.withdrawn)
	return true, Output{Install: c.current, Exchanges: c.tell(c.audience(""))}
}

// summary is what this instance tells others.
func (c *Core) summary(now time.Time) Summary {
	s := Summary{Instance: c.self.Instance, Revision: c.manifest.Revision, AgeMillis: c.Age(now)}
	for _, identifier := range slices.Sorted(maps.Keys(c.pending)) {
		s.Withdrawals = append(s.Withdrawals, Withdrawal{Identifier: identifier, Token: c.pending[identifier]})
	}
	return s
}

// tell makes exchanges that carry no age: its reader may be slow, so that only
// replies carry one.
func (c *Core) tell(peers []membership.Member) []ExchangeCall {
	s := c.summary(time.Time{})
	s.AgeMillis = ageNever
	calls := make([]ExchangeCall, 0, len(peers))
	for _, peer := range peers {
		calls = append(calls, ExchangeCall{Peer: peer, Summary: s})
	}
	return calls
}
