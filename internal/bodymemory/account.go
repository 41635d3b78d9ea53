package bodymemory

// Account is memory of one kind that many users reserve and release in parts. It is safe for
// concurrent use. A nil Account grants everything.
type Account struct {
	held  *Reservation
	limit int64
	// granted is set if memory is always given, also beyond the limit of all kinds.
	granted bool
}

// NewAccount returns an empty account of a kind that takes at most limit bytes.
func (m *Memory) NewAccount(kind Kind, limit int64) *Account {
	r := &Reservation{memory: m, kind: kind, shared: true, optional: kind == ReadAhead || kind == Buffers}
	m.mu.Lock()
	defer m.mu.Unlock()
	r.startedAt = m.now()
	m.link(r)
	return &Account{held: r, limit: limit}
}

// NewGrantedAccount returns an empty account of a kind whose memory is always given: its users bound
// it themselves. Others get less meanwhile.
func (m *Memory) NewGrantedAccount(kind Kind) *Account {
	a := m.NewAccount(kind, m.limit)
	a.granted = true
	return a
}

// Reserve reserves n more bytes. Without memory it returns a *NoMemoryError.
func (a *Account) Reserve(n int64) error {
	if a == nil {
		return nil
	}
	m := a.held.memory
	m.mu.Lock()
	if a.granted {
		m.add(a.held, n)
		m.mu.Unlock()
		return nil
	}
	if n > 0 && a.held.size+n > a.limit {
		m.mu.Unlock()
		return &NoMemoryError{Kind: a.held.kind, Bytes: n, Limit: a.limit}
	}
	given, err := m.resize(a.held, a.held.size+n)
	m.mu.Unlock()
	m.report(given)
	return err
}

// Release releases n reserved bytes.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.held.memory.mu.Lock()
	defer a.held.memory.mu.Unlock()
	a.held.memory.add(a.held, -n)
}
