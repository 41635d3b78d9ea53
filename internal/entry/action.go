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

// ActionSettings limit the table, the answer cache and the journal of actions. Zero
// fields get the defaults of package action.
type ActionSettings struct {
	// Capacity limits the number of idempotency keys in the table.
	Capacity int `toml:"capacity"`
	// Retention is the minimum time for which a finished key stays recorded, and for
	// which the store keeps a journal after its incarnation has gone.
	Retention unit.Duration `toml:"retention"`
	// AnswerBytes limits the size of one cached answer, AnswersBytes that of all.
	AnswerBytes  int `toml:"answer_bytes"`
	AnswersBytes int `toml:"answers_bytes"`
	// JournalInterval is the minimum time between two writes of the journal.
	JournalInterval unit.Duration `toml:"journal_interval"`
	// JournalFleetWritesPerSecond is the rate of journal writes that all live entries
	// share.
	JournalFleetWritesPerSecond float64 `toml:"journal_fleet_writes_per_second"`
	// JournalBytesPerSecond limits the bytes of this entry's journal writes.
	JournalBytesPerSecond int `toml:"journal_bytes_per_second"`
	// JournalBytes limits the size of the journal, JournalAnswerBytes that of one
	// answer in it.
	JournalBytes       int `toml:"journal_bytes"`
	JournalAnswerBytes int `toml:"journal_answer_bytes"`
}

// maxJournalBytes keeps the journal below the store's size limit for a value.
const maxJournalBytes = 900 << 10

// minRetention keeps the retention longer than the deadline of any request.
const minRetention = unit.Duration(time.Minute)

// Timeout and retry delay of the last journal write at a planned stop.
const (
	journalCloseTimeout    = 5 * time.Second
	journalCloseRetryDelay = 100 * time.Millisecond
)

// drainPollInterval is the time between two checks whether requests or actions are
// still in progress during a planned stop.
const drainPollInterval = 20 * time.Millisecond

func (s *ActionSettings) check(document *tomlfile.Document) {
	for _, limit := range []struct {
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
		if limit.value < 0 {
			document.Add("must not be negative", "action", limit.key)
		}
	}
	if s.JournalBytes > maxJournalBytes {
		document.Addf([]string{"action", "journal_bytes"}, "must be at most %d, which is below the store's size limit for a value", maxJournalBytes)
	}
	if s.JournalFleetWritesPerSecond < 0 {
		document.Add("must not be negative", "action", "journal_fleet_writes_per_second")
	}
	s.Retention = cmp.Or(s.Retention, unit.Duration(action.DefaultRetention))
	if s.Retention < minRetention {
		document.Addf([]string{"action", "retention"}, "must be at least %v", minRetention.Std())
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

// setUpActions creates the at-most-once stage of this incarnation and its journal
// writer.
func (e *Entry) setUpActions() {
	s := &e.settings.Action
	e.actions = action.NewStage(action.Environment{
		Incarnation: e.self.Incarnation,
		Now:         time.Now,
		Next:        e.handover,
		Locate:      e.locateOwner,
		Members:     func() int { return len(e.view.Load().Members) },
		Forward:     action.NewLinkForwarder(e.peers),
		Store:       store.NewHTTPClient(e.settings.Platform, "action", e.settings.StoreTimeout.Std()),
		Log:         e.log,
		Registry:    e.registry,
	}, s.options())
	e.journalWriter = action.NewJournalWriter(e.actions, action.JournalOptions{
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

// serveActions serves actions that other entries forward to this entry as their owner,
// and runs the journal writer. The returned function stops the writer, waits for
// actions in progress and writes the journal for the last time.
func (e *Entry) serveActions(ctx context.Context, links *link.Server) (stop func()) {
	links.Handle(action.TypeForward, e.actions.Handler())
	writerCtx, cancel := context.WithCancel(ctx)
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		e.journalWriter.Run(writerCtx)
	}()
	return func() {
		cancel()
		<-writerDone
		e.closeActions(ctx)
	}
}

// closeActions stops the start of further actions, waits for those in progress and
// writes the journal for the last time. The stop grace limits both.
func (e *Entry) closeActions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.StopGrace.Std())
	defer cancel()
	e.actions.Seal()
	for e.actions.State().InProgress > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
	written := e.closeJournal(ctx)
	e.log.Info().Bool("written", written).Int("in_progress", e.actions.State().InProgress).Msg("journal of actions closed")
}

// closeJournal writes the journal for the last time. It retries until the store holds
// all outcomes or journalCloseTimeout has passed, and reports which.
func (e *Entry) closeJournal(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, journalCloseTimeout)
	defer cancel()
	for !e.journalWriter.Close(ctx) {
		sleep(ctx, journalCloseRetryDelay)
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// actionDump is the state of actions in a state dump.
type actionDump struct {
	action.State
	// JournalUnwritten is the number of changes that would be lost if the process
	// ended now.
	JournalUnwritten uint64 `json:"journal_unwritten"`
}

func (e *Entry) dumpActions() actionDump {
	return actionDump{State: e.actions.State(), JournalUnwritten: e.journalWriter.Unwritten()}
}
