package action

import (
	"slices"
	"time"

	"lovagescale/internal/call"
	"lovagescale/internal/refusal"
)

// Core is the state of actions of one entry incarnation. It reads no clock and
// sends nothing. Its methods and those of its tries must be called by one
// goroutine at a time.
type Core struct {
	self     string
	options  Options
	table    table
	refused  tombstones
	outcomes outcomes
	// readings are the latest readings of other owners' tombstones.
	readings map[string]uint64
	sealed   bool

	// broken switches deliberate faults on, in tests only.
	broken broken
}

// broken are faults that the stateful fuzzing must find.
type broken struct {
	// sentFirst records a key only after its action has ended.
	sentFirst bool
	// softened says "not-run" of an owner that cannot be reached.
	softened bool
	// adopts starts actions of an owner that is gone.
	adopts bool
	// unordered ignores the order of a late try and a "not-run".
	unordered bool
}

// maxReadings bounds the owners whose readings are kept.
const maxReadings = 4096

// NewCore returns the state of a new incarnation, which owns no key yet.
func NewCore(incarnation string, options Options) *Core {
	options = options.withDefaults()
	return &Core{
		self:     incarnation,
		options:  options,
		table:    newTable(options),
		refused:  newTombstones(maxTombstones),
		outcomes: outcomes{limit: options.JournalBytes},
		readings: make(map[string]uint64),
	}
}

// Seal ends the start of actions for good. Those in progress go on.
func (c *Core) Seal() {
	if !c.sealed {
		c.sealed = true
		c.outcomes.changes++
	}
}

// Changes counts the changes of the journal.
func (c *Core) Changes() uint64 { return c.outcomes.changes }

// Journal returns a copy of the journal, with the count of changes that it
// holds.
func (c *Core) Journal() (*Journal, uint64) {
	return &Journal{
		Incarnation: c.self,
		Closed:      c.sealed && c.table.running == 0,
		Floor:       c.outcomes.floor,
		Dropped:     c.outcomes.dropped,
		Entries:     slices.Clone(c.outcomes.entries),
	}, c.outcomes.changes
}

// Reading returns the reading that tries of other entries are ordered by.
func (c *Core) Reading() uint64 { return c.refused.reading }

// Vouch returns the outcome that a refusal may state of an action that this
// entry has not started for the present request. It is "not-run" only if this
// entry owns the key and has not started it.
func (c *Core) Vouch(workspace, text string) refusal.Outcome {
	key, err := ParseKey(text)
	if err != nil {
		return refusal.NotRun
	}
	digest := DigestOf(workspace, text)
	if _, known := c.table.records[digest]; known || key.Owner != c.self || c.table.forgotten(key.Stamp) {
		return refusal.Unknown
	}
	c.refused.add(digest)
	return refusal.NotRun
}

// State is the state of actions in a state dump.
type State struct {
	Records       int   `json:"records"`
	Capacity      int   `json:"capacity"`
	InProgress    int   `json:"in_progress"`
	Answers       int   `json:"answers"`
	AnswersBytes  int   `json:"answers_bytes"`
	Floor         Stamp `json:"floor_minute"`
	Sealed        bool  `json:"sealed"`
	Outcomes      int   `json:"journal_outcomes"`
	JournalBytes  int   `json:"journal_bytes"`
	JournalFloor  Stamp `json:"journal_floor_minute"`
	JournalChange int64 `json:"journal_changes"`
}

// State returns the state for a dump.
func (c *Core) State() State {
	return State{
		Records:       len(c.table.records),
		Capacity:      c.options.Capacity,
		InProgress:    c.table.running,
		Answers:       len(c.table.answers.kept),
		AnswersBytes:  c.table.answers.bytes,
		Floor:         c.table.floor,
		Sealed:        c.sealed,
		Outcomes:      len(c.outcomes.entries),
		JournalBytes:  c.outcomes.bytes,
		JournalFloor:  c.outcomes.floor,
		JournalChange: int64(c.outcomes.changes),
	}
}

// finish records the end of an action and journals its outcome.
func (c *Core) finish(now time.Time, t *Try, p phase, status int, result *call.Result) {
	c.table.finish(now, t.digest, p, status, result)
	c.outcomes.add(JournalEntry{
		Digest:  t.digest[:],
		Request: t.request,
		Stamp:   t.key.Stamp,
		Ran:     p == ran,
		Status:  uint16(status),
		Answer:  journalAnswer(result, c.options.JournalAnswerBytes),
	})
}

// notRun takes an action that did not run out of the table.
func (c *Core) notRun(digest Digest) {
	c.table.cancel(digest)
	c.refused.add(digest)
	if c.sealed {
		c.outcomes.changes++
	}
}

// learn keeps the reading of another owner.
func (c *Core) learn(owner string, reading uint64) {
	if _, known := c.readings[owner]; !known && len(c.readings) >= maxReadings {
		clear(c.readings)
	}
	c.readings[owner] = max(c.readings[owner], reading)
}
