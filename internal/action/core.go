package action

import (
	"slices"
	"time"

	"lovagescale/internal/call"
	"lovagescale/internal/refusal"
)

// Core is the state machine for the actions of one entry incarnation. It does
// not read the clock and does no I/O. Its methods and those of its attempts must
// be called by one goroutine at a time.
type Core struct {
	incarnation string
	options     Options
	table       table
	tombstones  tombstones
	outcomes    outcomes
	// ownerSequences holds the latest known tombstone sequence of other owners.
	ownerSequences map[string]uint64
	sealed         bool

	// injectedFaults enables deliberate faults; only tests set it.
	injectedFaults injectedFaults
}

// injectedFaults are deliberate faults that the stateful fuzz test must detect.
type injectedFaults struct {
	// recordAfterRun records a key only after its action has ended.
	recordAfterRun bool
	// unreachableIsNotRun reports "not-run" when the owner cannot be reached.
	unreachableIsNotRun bool
	// runForGoneOwner starts an action at another entry when its owner is gone.
	runForGoneOwner bool
	// ignoreTombstones starts a delayed attempt after its key was reported as
	// "not-run".
	ignoreTombstones bool
}

// maxOwnerSequences limits the owners whose tombstone sequence is kept. When it
// is reached, all are dropped; forwards then start from sequence 0.
const maxOwnerSequences = 4096

// NewCore returns the core of a new incarnation, which has recorded no key yet.
func NewCore(incarnation string, options Options) *Core {
	options = options.withDefaults()
	return &Core{
		incarnation:    incarnation,
		options:        options,
		table:          newTable(options),
		tombstones:     newTombstones(maxTombstones),
		outcomes:       outcomes{maxBytes: options.JournalBytes},
		ownerSequences: make(map[string]uint64),
	}
}

// Seal stops the start of further actions permanently. Actions in progress
// continue.
func (c *Core) Seal() {
	if !c.sealed {
		c.sealed = true
		c.outcomes.changes++
	}
}

// Changes returns the number of changes to the journal so far.
func (c *Core) Changes() uint64 { return c.outcomes.changes }

// Journal returns a copy of the journal and the number of changes that it
// includes.
func (c *Core) Journal() (*Journal, uint64) {
	return &Journal{
		Incarnation:       c.incarnation,
		Closed:            c.sealed && c.table.runningCount == 0,
		EvictionWatermark: c.outcomes.evictionWatermark,
		EvictedUnstamped:  c.outcomes.evictedUnstamped,
		Entries:           slices.Clone(c.outcomes.entries),
	}, c.outcomes.changes
}

// TombstoneSequence returns the sequence number of the latest "not-run" report.
// Other entries attach it to the attempts that they forward; see tombstones.
func (c *Core) TombstoneSequence() uint64 { return c.tombstones.sequence }

// RefusalOutcome returns the outcome to report for an action when its request is
// refused before it reaches the stage. It is "not-run" for an invalid key, which
// no entry accepts, and for a key that this entry owns and has not started; the
// latter is recorded as a tombstone. Any other key is "unknown", since an earlier
// request may have run it.
func (c *Core) RefusalOutcome(workspace, keyText string) refusal.Outcome {
	key, err := ParseKey(keyText)
	if err != nil {
		return refusal.NotRun
	}
	digest := DigestOf(workspace, keyText)
	if _, recorded := c.table.records[digest]; recorded || key.Owner != c.incarnation || c.table.mayHaveBeenEvicted(key.Stamp) {
		return refusal.Unknown
	}
	c.tombstones.add(digest)
	return refusal.NotRun
}

// State is the section about actions in a state dump.
type State struct {
	Records                  int   `json:"records"`
	Capacity                 int   `json:"capacity"`
	InProgress               int   `json:"in_progress"`
	Answers                  int   `json:"answers"`
	AnswersBytes             int   `json:"answers_bytes"`
	EvictionWatermark        Stamp `json:"floor_minute"`
	Sealed                   bool  `json:"sealed"`
	JournalOutcomes          int   `json:"journal_outcomes"`
	JournalBytes             int   `json:"journal_bytes"`
	JournalEvictionWatermark Stamp `json:"journal_floor_minute"`
	JournalChanges           int64 `json:"journal_changes"`
}

// State returns the state for a state dump.
func (c *Core) State() State {
	return State{
		Records:                  len(c.table.records),
		Capacity:                 c.options.Capacity,
		InProgress:               c.table.runningCount,
		Answers:                  len(c.table.answers.byDigest),
		AnswersBytes:             c.table.answers.bytes,
		EvictionWatermark:        c.table.evictionWatermark,
		Sealed:                   c.sealed,
		JournalOutcomes:          len(c.outcomes.entries),
		JournalBytes:             c.outcomes.bytes,
		JournalEvictionWatermark: c.outcomes.evictionWatermark,
		JournalChanges:           int64(c.outcomes.changes),
	}
}

// finish records that an action ended and adds its outcome to the journal.
func (c *Core) finish(now time.Time, a *Attempt, p phase, status int, result *call.Result) {
	c.table.finish(now, a.digest, p, status, result)
	c.outcomes.add(JournalEntry{
		Digest:  a.digest[:],
		Request: a.requestHash,
		Stamp:   a.key.Stamp,
		Ran:     p == phaseRan,
		Status:  uint16(status),
		Answer:  newJournalAnswer(result, c.options.JournalAnswerBytes),
	})
}

// finishNotRun removes the record of an action that did not run, so that its key
// may be sent again. On a sealed core this may close the journal, so it counts as
// a change.
func (c *Core) finishNotRun(digest Digest) {
	c.table.remove(digest)
	c.tombstones.add(digest)
	if c.sealed {
		c.outcomes.changes++
	}
}

// observeSequence stores a tombstone sequence received from another owner.
func (c *Core) observeSequence(owner string, sequence uint64) {
	if _, known := c.ownerSequences[owner]; !known && len(c.ownerSequences) >= maxOwnerSequences {
		clear(c.ownerSequences)
	}
	c.ownerSequences[owner] = max(c.ownerSequences[owner], sequence)
}
