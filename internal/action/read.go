package action

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lovagescale/internal/control"
	"lovagescale/internal/store"
)

// Rates of the calls to the store that callers' retries may cost. All live
// entries share them.
const (
	journalReadsPerSecond = 200
	claimsPerSecond       = 100
)

// Bounds of the journals that are kept after a read.
const (
	journalFresh = 2 * time.Second
	maxJournals  = 32
)

// limiterBurstSeconds is the burst of a limiter, in seconds of its rate.
const limiterBurstSeconds = 10

// limiter bounds calls to the store to this entry's share of a rate. It starts
// with a full burst.
type limiter struct {
	perSecond float64
	members   func() int

	mu     sync.Mutex
	tokens *rate.Limiter
}

func newLimiter(perSecond float64, members func() int) *limiter {
	return &limiter{perSecond: perSecond, members: members}
}

func (l *limiter) allow(now time.Time) bool {
	share := l.perSecond / float64(max(1, l.members()))
	burst := max(1, int(share*limiterBurstSeconds))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tokens == nil {
		l.tokens = rate.NewLimiter(rate.Limit(share), burst)
	}
	l.tokens.SetLimitAt(now, rate.Limit(share))
	l.tokens.SetBurstAt(now, burst)
	return l.tokens.AllowN(now, 1)
}

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

func newJournalReader(client store.Client, now control.Clock, members func() int) *journalReader {
	return &journalReader{
		store: client,
		now:   now,
		limit: newLimiter(journalReadsPerSecond, members),
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
	journal, err := r.fetch(ctx, owner)
	if err != nil {
		return kept.journal
	}
	r.keep(owner, keptJournal{journal: journal, at: now})
	return journal
}

// fetch returns the journal in the store, or nil when there is none.
func (r *journalReader) fetch(ctx context.Context, owner string) (*Journal, error) {
	entry, err := r.store.Get(ctx, JournalKey(owner))
	if notFound(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return DecodeJournal(entry.Value)
}

func (r *journalReader) keep(owner string, kept keptJournal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.kept) >= maxJournals {
		clear(r.kept)
	}
	r.kept[owner] = kept
}
