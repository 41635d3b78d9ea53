package entry

import (
	"cmp"
	"context"
	"time"

	"lovagescale/internal/action"
	"lovagescale/internal/link"
	"lovagescale/internal/store"
	"lovagescale/internal/tomlfile"
	"lovagescale/internal/unit"
)

// ActionSettings bound the table, the answers and the journal of actions. Zeros
// take the defaults of package action.
type ActionSettings struct {
	// Capacity bounds the remembered idempotency keys.
	Capacity int `toml:"capacity"`
	// Retention is how long a finished key is remembered at least, and how long
	// a journal outlives its incarnation.
	Retention unit.Duration `toml:"retention"`
	// AnswerBytes bounds one kept answer, AnswersBytes all of them.
	AnswerBytes  int `toml:"answer_bytes"`
	AnswersBytes int `toml:"answers_bytes"`
	// JournalInterval is the least time between two writes of the journal.
	JournalInterval unit.Duration `toml:"journal_interval"`
	// JournalFleetWritesPerSecond is shared by all live entries.
	JournalFleetWritesPerSecond float64 `toml:"journal_fleet_writes_per_second"`
	// JournalBytesPerSecond bounds the bytes of this entry's journal writes.
	JournalBytesPerSecond int `toml:"journal_bytes_per_second"`
	// JournalBytes bounds the journal value, JournalAnswerBytes one answer in it.
	JournalBytes       int `toml:"journal_bytes"`
	JournalAnswerBytes int `toml:"journal_answer_bytes"`
}

// maxJournalBytes keeps a journal below the store's bound of a value.
const maxJournalBytes = 900 << 10

// minRetention keeps a retention above the deadline of any request.
const minRetention = unit.Duration(time.Minute)

// Bounds of the last write of the journal at a planned stop.
const (
	journalCloseLimit = 5 * time.Second
	journalCloseRetry = 100 * time.Millisecond
)

// drainPoll is the time between two looks at the actions in progress.
const drainPoll = 20 * time.Millisecond

func (s *ActionSettings) check(text *tomlfile.Text) {
	for _, bound := range []struct {
		key   string
		value int
	}{
		{"capacity", s.Capacity},
		{"answer_bytes", s.AnswerBytes},
		{"answers_bytes", s.AnswersBytes},
		{"journal_bytes", s.JournalBytes},
		{"journal_bytes_per_second", s.JournalBytesPerSecond},
		{"journal_answer_bytes", s.JournalAnswerBytes},
	} {
		if bound.value < 0 {
			text.Add("must not be negative", "action", bound.key)
		}
	}
	if s.JournalBytes > maxJournalBytes {
		text.Addf([]string{"action", "journal_bytes"}, "must be at most %d, below the store's bound of a value", maxJournalBytes)
	}
	if s.JournalFleetWritesPerSecond < 0 {
		text.Add("must not be negative", "action", "journal_fleet_writes_per_second")
	}
	s.Retention = cmp.Or(s.Retention, unit.Duration(action.DefaultRetention))
	if s.Retention < minRetention {
		text.Addf([]string{"action", "retention"}, "must be at least %v", minRetention.Std())
	}
}

func (s *ActionSettings) options() action.Options {
	return action.Options{
		Capacity:           s.Capacity,
		Retention:          s.Retention.Std(),
		AnswerBytes:        s.AnswerBytes,
		AnswersBytes:       s.AnswersBytes,
		JournalBytes:       s.JournalBytes,
		JournalAnswerBytes: s.JournalAnswerBytes,
	}
}

// setUpActions creates the at-most-once stage of this incarnation and the
// upkeep of its journal.
func (e *Entry) setUpActions() {
	s := &e.settings.Action
	e.actions = action.NewStage(action.Environment{
		Incarnation: e.self.Incarnation,
		Now:         time.Now,
		Next:        e.handing,
		Locate:      e.locateOwner,
		Members:     func() int { return len(e.view.Load().Members) },
		Forward:     action.NewLinkForwarder(e.peers),
		Store:       store.NewHTTPClient(e.settings.Platform, "action", e.settings.StoreTimeout.Std()),
		Log:         e.log,
		Registry:    e.registry,
	}, s.options())
	e.journaling = action.NewJournalWriter(e.actions, action.JournalOptions{
		Interval:             s.JournalInterval.Std(),
		FleetWritesPerSecond: s.JournalFleetWritesPerSecond,
		BytesPerSecond:       s.JournalBytesPerSecond,
		Retention:            s.Retention.Std(),
	})
}

func (e *Entry) locateOwner(incarnation string) (string, bool) {
	member, found := e.view.Load().ByIncarnation(incarnation)
	return member.Link, found
}

// serveActions takes calls that other entries hand to their owner, and keeps
// the journal until the returned function ends it.
func (e *Entry) serveActions(ctx context.Context, links *link.Server) (end func()) {
	links.Handle(action.TypeForward, e.actions.Handler())
	running, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.journaling.Run(running)
	}()
	return func() {
		cancel()
		<-ended
		e.closeActions(ctx)
	}
}

// closeActions starts no action any more, waits for those in progress and
// writes the journal a last time.
func (e *Entry) closeActions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.StopGrace.Std())
	defer cancel()
	e.actions.Seal()
	for e.actions.State().InProgress > 0 && ctx.Err() == nil {
		wait(ctx, drainPoll)
	}
	written := e.closeJournal(ctx)
	e.log.Info().Bool("written", written).Int("in_progress", e.actions.State().InProgress).Msg("journal of actions closed")
}

// closeJournal writes the journal a last time and tries again for a while when
// the store does not answer.
func (e *Entry) closeJournal(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, journalCloseLimit)
	defer cancel()
	for !e.journaling.Close(ctx) {
		wait(ctx, journalCloseRetry)
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// actionDump is the state dump of actions.
type actionDump struct {
	action.State
	// JournalUnwritten counts the changes that would be lost with the process.
	JournalUnwritten uint64 `json:"journal_unwritten"`
}

func (e *Entry) dumpActions() actionDump {
	return actionDump{State: e.actions.State(), JournalUnwritten: e.journaling.Unwritten()}
}
