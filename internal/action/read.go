package action

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lovagescale/internal/control"
	"lovagescale/internal/store"
)

// Bounds of the calls that callers' retries may cost the store, per entry.
const (
	journalReadsPerSecond = 2
	claimsPerSecond       = 20
	// journalFresh is how long a journal that was read is used again.
	journalFresh = 2 * time.Second
	// maxJournals bounds the journals that are kept.
	maxJournals = 32
)

// limiter bounds calls to the store, with a burst of ten seconds.
type limiter struct{ tokens *rate.Limiter }

const limiterBurstSeconds = 10

func newLimiter(perSecond int) *limiter {
	return &limiter{tokens: rate.NewLimiter(rate.Limit(perSecond), perSecond*limiterBurstSeconds)}
}

func (l *limiter) allow(now time.Time) bool { return l.tokens.AllowN(now, 1) }

// journalReader reads journals of owners that cannot be reached, within a rate.
type journalReader struct {
	store store.Client
	now   control.Clock
	limit *limiter

	mu   sync.Mutex
	kept map[string]keptJournal
}

type keptJournal struct {
	journal *Journal
	at      time.Time
}

func newJournalReader(client store.Client, now control.Clock) *journalReader {
	return &journalReader{
		store: client,
		now:   now,
		limit: newLimiter(journalReadsPerSecond),
		kept:  make(map[string]keptJournal),
	}
}

// read returns the owner's journal, or nil when there is none or it cannot be
// read now.
func (r *journalReader) read(ctx context.Context, owner string) *Journal {
	now := r.now()
	r.mu.Lock()
	kept, found := r.kept[owner]
	r.mu.Unlock()
	if found && now.Sub(kept.at) < journalFresh {
		return kept.journal
	}
	if !r.limit.allow(now) {
		return kept.journal
	}
	entry, err := r.store.Get(ctx, JournalKey(owner))
	if err != nil {
		return kept.journal
	}
	journal, err := DecodeJournal(entry.Value)
	if err != nil {
		return kept.journal
	}
	r.keep(owner, keptJournal{journal: journal, at: now})
	return journal
}

func (r *journalReader) keep(owner string, kept keptJournal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.kept) >= maxJournals {
		clear(r.kept)
	}
	r.kept[owner] = kept
}
