// Package storetest provides an in-memory store for tests of the store's users. A
// test sets the faults that the next calls encounter.
package storetest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"lovagescale/internal/store"
)

// Store implements store.Client without leases. It must be used from one
// goroutine.
type Store struct {
	// Unavailable makes every call except Renew fail with an *UnavailableError.
	Unavailable bool
	// LoseReplies is the number of next calls of CompareAndSet that are carried out but
	// lose their reply. DropWrites is the number of next calls that lose their reply and
	// are carried out only by DeliverDropped. Both return *OutcomeUnknownError.
	LoseReplies, DropWrites int
	// BeforeWrite, if set, runs once before the next CompareAndSet of the key BeforeWriteKey.
	BeforeWrite    func()
	BeforeWriteKey string

	revision uint64
	entries  map[string]store.Entry
	dropped  []func()
}

// New returns an empty store.
func New() *Store { return &Store{entries: make(map[string]store.Entry)} }

// Snapshot returns a copy of the entries that a test can pass to Restore.
func (s *Store) Snapshot() map[string]store.Entry { return maps.Clone(s.entries) }

// Restore replaces the entries with older ones, as a platform does when it restores
// a backup.
func (s *Store) Restore(entries map[string]store.Entry) { s.entries = maps.Clone(entries) }

// DeliverDropped carries out the dropped writes now, as if they arrived late.
func (s *Store) DeliverDropped() {
	for _, write := range s.dropped {
		write()
	}
	s.dropped = nil
}

func (s *Store) checkAvailable(operation string) error {
	if s.Unavailable {
		return &store.UnavailableError{Operation: operation, Cause: context.DeadlineExceeded}
	}
	return nil
}

// Get implements store.Client.
func (s *Store) Get(_ context.Context, key string) (store.Entry, error) {
	if err := s.checkAvailable(key); err != nil {
		return store.Entry{}, err
	}
	entry, found := s.entries[key]
	if !found {
		return store.Entry{}, &store.NotFoundError{Key: key}
	}
	return entry, nil
}

// List implements store.Client.
func (s *Store) List(_ context.Context, prefix string) ([]store.Entry, error) {
	if err := s.checkAvailable(prefix); err != nil {
		return nil, err
	}
	var entries []store.Entry
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, s.entries[key])
		}
	}
	return entries, nil
}

// CompareAndSet implements store.Client.
func (s *Store) CompareAndSet(_ context.Context, write store.Write) (uint64, error) {
	if run := s.BeforeWrite; run != nil && write.Key == s.BeforeWriteKey {
		s.BeforeWrite = nil
		run()
	}
	if err := s.checkAvailable(write.Key); err != nil {
		return 0, err
	}
	replyLost := &store.OutcomeUnknownError{Operation: write.Key, Cause: context.DeadlineExceeded}
	if s.DropWrites > 0 {
		s.DropWrites--
		s.dropped = append(s.dropped, func() { _, _ = s.applyWrite(write) })
		return 0, replyLost
	}
	revision, err := s.applyWrite(write)
	if s.LoseReplies > 0 {
		s.LoseReplies--
		return 0, replyLost
	}
	return revision, err
}

func (s *Store) applyWrite(write store.Write) (uint64, error) {
	if found := s.entries[write.Key].Revision; found != write.Expect {
		return 0, &store.ConflictError{Key: write.Key, Expect: write.Expect, Found: found}
	}
	s.revision++
	s.entries[write.Key] = store.Entry{Key: write.Key, Value: write.Value, Revision: s.revision}
	return s.revision, nil
}

// Delete implements store.Client.
func (s *Store) Delete(_ context.Context, key string, expect uint64) error {
	if err := s.checkAvailable(key); err != nil {
		return err
	}
	entry, found := s.entries[key]
	if found && entry.Revision != expect {
		return &store.ConflictError{Key: key, Expect: expect, Found: entry.Revision}
	}
	s.revision++
	delete(s.entries, key)
	return nil
}

// Watch implements store.Client. It never waits.
func (s *Store) Watch(ctx context.Context, key string, after uint64, _ time.Duration) (store.Entry, error) {
	entry, err := s.Get(ctx, key)
	if err == nil && entry.Revision <= after {
		return store.Entry{}, &store.NotChangedError{Key: key, After: after}
	}
	return entry, err
}

// Grant implements store.Client. It always fails.
func (s *Store) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	return "", &store.UnavailableError{Operation: "grant", Cause: context.DeadlineExceeded}
}

// Renew implements store.Client. It reports every lease as lapsed.
func (s *Store) Renew(_ context.Context, lease store.LeaseID) error {
	return &store.LeaseLapsedError{Lease: lease}
}
