package action

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lovagescale/internal/control"
	"lovagescale/internal/store"
)

// Rate limits of the store calls that callers' retries can cause. All live
// entries share them.
const (
	journalReadsPerSecond = 200
	claimsPerSecond       = 100
)

// Limits of the cache of journals that were read.
const (
	journalCacheTTL   = 2 * time.Second
	maxCachedJournals = 32
)

// limiterBurstSeconds is the burst of a limiter, as the time in which its rate
// allows as many calls.
const limiterBurstSeconds = 10

// limiter limits store calls to this entry's equal share of a rate for all live
// entries. It starts with a full burst.
type limiter struct {
	perSecond float64
	members   func() int

	mu     sync.Mutex
	bucket *rate.Limiter
}

func newLimiter(perSecond float64, members func() int) *limiter {
	return &limiter{perSecond: perSecond, members: members}
}

func (l *limiter) allow(now time.Time) bool {
	share := l.perSecond / float64(max(1, l.members()))
	burst := max(1, int(share*limiterBurstSeconds))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(share), burst)
	}
	l.bucket.SetLimitAt(now, rate.Limit(share))
	l.bucket.SetBurstAt(now, burst)
	return l.bucket.AllowN(now, 1)
}

// journalReader reads the journals of owners that cannot be reached, within a rate
// limit, and caches them.
type journalReader struct {
	store   store.Client
	now     control.Clock
	limiter *limiter

	mu    sync.Mutex
	cache map[string]cachedJournal
}

type cachedJournal struct {
	journal *Journal
	readAt  time.Time
}

func newJournalReader(client store.Client, now control.Clock, members func() int) *journalReader {
	return &journalReader{
		store:   client,
		now:     now,
		limiter: newLimiter(journalReadsPerSecond, members),
		cache:   make(map[string]cachedJournal),
	}
}

// read returns the owner's journal, or nil when there is none. When the rate limit
// is reached or the read fails, it returns the cached journal even if that is
// older than journalCacheTTL, or nil.
func (r *journalReader) read(ctx context.Context, owner string) *Journal {
	now := r.now()
	r.mu.Lock()
	cached, found := r.cache[owner]
	r.mu.Unlock()
	if found && now.Sub(cached.readAt) < journalCacheTTL {
		return cached.journal
	}
	if !r.limiter.allow(now) {
		return cached.journal
	}
	journal, err := r.fetch(ctx, owner)
	if err != nil {
		return cached.journal
	}
	r.addToCache(owner, cachedJournal{journal: journal, readAt: now})
	return journal
}

// fetch reads the journal from the store. It returns nil when there is none.
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

// addToCache stores a journal, after clearing a cache that is full.
func (r *journalReader) addToCache(owner string, cached cachedJournal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.cache) >= maxCachedJournals {
		clear(r.cache)
	}
	r.cache[owner] = cached
}
