package action

import "lovagescale/internal/store"

// write makes a compare-and-set call to the store. Its reply may be lost, and a
// write with a lost reply may take effect later.
func (s *simulation) write(write store.Write) (uint64, error) {
	if s.storeDown {
		return 0, &store.UnavailableError{Operation: "set"}
	}
	switch s.rng.IntN(6) {
	case 0:
		s.enqueue(nil, func() { _, _ = s.compareAndSet(write) })
		return 0, &store.OutcomeUnknownError{Operation: "set"}
	case 1:
		_, _ = s.compareAndSet(write)
		return 0, &store.OutcomeUnknownError{Operation: "set"}
	}
	return s.compareAndSet(write)
}

func (s *simulation) compareAndSet(write store.Write) (uint64, error) {
	if found := s.storeEntries[write.Key].Revision; found != write.Expect {
		return 0, &store.ConflictError{Key: write.Key, Expect: write.Expect, Found: found}
	}
	s.revision++
	s.storeEntries[write.Key] = store.Entry{Key: write.Key, Value: write.Value, Revision: s.revision}
	return s.revision, nil
}

func (s *simulation) get(key string) (store.Entry, error) {
	if s.storeDown {
		return store.Entry{}, &store.UnavailableError{Operation: "get"}
	}
	entry, found := s.storeEntries[key]
	if !found {
		return store.Entry{}, &store.NotFoundError{Key: key}
	}
	return entry, nil
}

func (s *simulation) claim(n *node, attempt *Attempt, next func(Step)) {
	write, err := attempt.ClaimWrite(s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	_, err = s.write(write)
	s.enqueue(n, func() { next(attempt.ClaimDone(s.now, err)) })
}

func (s *simulation) readJournal(owner string) *Journal {
	entry, err := s.get(JournalKey(owner))
	if err != nil {
		return nil
	}
	journal, err := DecodeJournal(entry.Value)
	if err != nil {
		s.t.Fatal(err)
	}
	return journal
}

// writeJournal makes the store call that is due for the node's journal. A renewal
// finds the lease lapsed in half of the cases.
func (s *simulation) writeJournal(n *node) {
	operation := n.writer.Next(s.now, n.core.Changes())
	switch operation.Kind {
	case OpGrantLease:
		n.writer.GrantDone(s.now, "lease", nil)
	case OpRenewLease:
		var err error
		if s.rng.IntN(2) == 0 {
			err = &store.LeaseLapsedError{Lease: "lease"}
			delete(s.storeEntries, JournalKey(n.name))
		}
		n.writer.RenewDone(s.now, err)
	case OpReadJournal:
		entry, err := s.get(JournalKey(n.name))
		n.writer.ReadDone(entry, err)
	case OpWriteJournal:
		journal, changes := n.core.Journal()
		value, err := journal.Encode()
		if err != nil {
			s.t.Fatal(err)
		}
		revision, err := s.write(store.Write{Key: JournalKey(n.name), Value: value, Expect: operation.Expect})
		n.writer.WriteDone(changes, revision, err)
	}
}
