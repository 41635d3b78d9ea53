// Package storetest is a store in memory for tests of its users. Its faults are
// set by the test and act on the next calls.
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
	// Down refuses every call.
	Down bool
	// Lose makes the next writes take effect without a reply, Drop makes them
	// neither take effect nor get a reply.
	Lose, Drop int
	// Before, if set, runs once before the next write of the key.
	Before    func()
	BeforeKey string

	revision uint64
	entries  map[string]store.Entry
	delayed  []func()
}

// New returns an empty store.
func New() *Store { return &Store{entries: make(map[string]store.Entry)} }

// Snapshot returns a copy that a test can restore with Restore.
func (s *Store) Snapshot() map[string]store.Entry { return maps.Clone(s.entries) }

// Restore puts back old entries, as a platform's restore from a backup does.
func (s *Store) Restore(entries map[string]store.Entry) { s.entries = maps.Clone(entries) }

// DeliverDropped lets the dropped writes arrive late.
func (s *Store) DeliverDropped() {
	for _, write := range s.delayed {
		write()
	}
	s.delayed = nil
}

func (s *Store) available(operation string) error {
	if s.Down {
		return &store.UnavailableError{Operation: operation, Cause: context.DeadlineExceeded}
	}
	return nil
}

// Get implements store.Client.
func (s *Store) Get(_ context.Context, key string) (store.Entry, error) {
	if err := s.available(key); err != nil {
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
	if err := s.available(prefix); err != nil {
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
	if run := s.Before; run != nil && write.Key == s.BeforeKey {
		s.Before = nil
		run()
	}
	if err := s.available(write.Key); err != nil {
		return 0, err
	}
	lost := &store.OutcomeUnknownError{Operation: write.Key, Cause: context.DeadlineExceeded}
	if s.Drop > 0 {
		s.Drop--
		s.delayed = append(s.delayed, func() { _, _ = s.set(write) })
		return 0, lost
	}
	revision, err := s.set(write)
	if s.Lose > 0 {
		s.Lose--
		return 0, lost
	}
	return revision, err
}

func (s *Store) set(write store.Write) (uint64, error) {
	if found := s.entries[write.Key].Revision; found != write.Expect {
		return 0, &store.ConflictError{Key: write.Key, Expect: write.Expect, Found: found}
	}
	s.revision++
	s.entries[write.Key] = store.Entry{Key: write.Key, Value: write.Value, Revision: s.revision}
	return s.revision, nil
}

// Delete implements store.Client.
func (s *Store) Delete(_ context.Context, key string, expect uint64) error {
	if err := s.available(key); err != nil {
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

// Watch implements store.Client without waiting.
func (s *Store) Watch(ctx context.Context, key string, after uint64, _ time.Duration) (store.Entry, error) {
	entry, err := s.Get(ctx, key)
	if err == nil && entry.Revision <= after {
		return store.Entry{}, &store.NotChangedError{Key: key, After: after}
	}
	return entry, err
}

// Grant implements store.Client; it grants nothing.
func (s *Store) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	return "", &store.UnavailableError{Operation: "grant", Cause: context.DeadlineExceeded}
}

// Renew implements store.Client; every lease has lapsed.
func (s *Store) Renew(_ context.Context, lease store.LeaseID) error {
	return &store.LeaseLapsedError{Lease: lease}
}
