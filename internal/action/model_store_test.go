package action

import "lovagescale/internal/store"

// write is the store's compare-and-set. Its reply may be lost, and a write with
// a lost reply may take effect late.
func (w *world) write(write store.Write) (uint64, error) {
	if w.storeDown {
		return 0, &store.UnavailableError{Operation: "set"}
	}
	switch w.random.IntN(6) {
	case 0:
		w.post(nil, func() { _, _ = w.apply(write) })
		return 0, &store.OutcomeUnknownError{Operation: "set"}
	case 1:
		_, _ = w.apply(write)
		return 0, &store.OutcomeUnknownError{Operation: "set"}
	}
	return w.apply(write)
}

func (w *world) apply(write store.Write) (uint64, error) {
	if found := w.entries[write.Key].Revision; found != write.Expect {
		return 0, &store.ConflictError{Key: write.Key, Expect: write.Expect, Found: found}
	}
	w.revision++
	w.entries[write.Key] = store.Entry{Key: write.Key, Value: write.Value, Revision: w.revision}
	return w.revision, nil
}

func (w *world) get(key string) (store.Entry, error) {
	if w.storeDown {
		return store.Entry{}, &store.UnavailableError{Operation: "get"}
	}
	entry, found := w.entries[key]
	if !found {
		return store.Entry{}, &store.NotFoundError{Key: key}
	}
	return entry, nil
}

func (w *world) claim(n *node, t *Try, next func(Step)) {
	write, err := t.ClaimWrite(w.now)
	if err != nil {
		w.t.Fatal(err)
	}
	_, err = w.write(write)
	w.post(n, func() { next(t.Claimed(w.now, err)) })
}

func (w *world) readJournal(owner string) *Journal {
	entry, err := w.get(JournalKey(owner))
	if err != nil {
		return nil
	}
	journal, err := DecodeJournal(entry.Value)
	if err != nil {
		w.t.Fatal(err)
	}
	return journal
}

// writeJournal makes one call of the journal's upkeep.
func (w *world) writeJournal(n *node) {
	operation := n.writer.Next(w.now, n.core.Changes())
	switch operation.Kind {
	case Grant:
		n.writer.Granted(w.now, "lease", nil)
	case Renew:
		var err error
		if w.random.IntN(2) == 0 {
			err = &store.LeaseLapsedError{Lease: "lease"}
			delete(w.entries, JournalKey(n.name))
		}
		n.writer.Renewed(w.now, err)
	case Read:
		entry, err := w.get(JournalKey(n.name))
		n.writer.ReadBack(entry, err)
	case Write:
		journal, changes := n.core.Journal()
		value, err := journal.Encode()
		if err != nil {
			w.t.Fatal(err)
		}
		revision, err := w.write(store.Write{Key: JournalKey(n.name), Value: value, Expect: operation.Expect})
		n.writer.Wrote(changes, revision, err)
	}
}
