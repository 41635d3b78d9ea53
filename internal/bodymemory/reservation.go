package bodymemory

import "time"

// Owner is the request for which memory is reserved, as logs and the dump name it.
type Owner struct {
	Request   string `json:"request"`
	Workspace string `json:"workspace,omitempty"`
	Route     string `json:"route,omitempty"`
	// Caller is the network address of the caller.
	Caller string `json:"caller,omitempty"`
}

// Reservation is memory that is reserved for one body. It is safe for concurrent use. The
// methods of a nil Reservation do nothing and succeed: its memory is not limited.
type Reservation struct {
	memory *Memory
	kind   Kind
	// shared is set for the reservation of an Account. optional is set for one that others do
	// not give way to.
	shared, optional bool

	// memory.mu guards what follows.
	size           int64
	startedAt      time.Time
	released       bool
	owner          Owner
	reader         Reader
	receiver       *receiver
	next, previous *Reservation
}

// Size returns the reserved bytes.
func (r *Reservation) Size() int64 {
	if r == nil {
		return 0
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	return r.size
}

// Grow reserves n more bytes. Without memory it returns a *NoMemoryError and the reservation
// stays as it is.
func (r *Reservation) Grow(n int64) error {
	return r.change(func() int64 { return r.size + n })
}

// SetSize reserves size bytes in total and returns what is reserved beyond them. Without
// memory it returns a *NoMemoryError and the reservation stays as it is.
func (r *Reservation) SetSize(size int64) error {
	return r.change(func() int64 { return size })
}

func (r *Reservation) change(size func() int64) error {
	if r == nil {
		return nil
	}
	m := r.memory
	m.mu.Lock()
	if r.released {
		m.mu.Unlock()
		return nil // the caller was disconnected, so that the body is dropped
	}
	disconnected, err := m.resize(r, size())
	m.mu.Unlock()
	m.report(disconnected)
	return err
}

// ForceSize counts size bytes that are in use already, even beyond the limit.
func (r *Reservation) ForceSize(size int64) {
	if r == nil {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if !r.released {
		r.memory.add(r, size-r.size)
	}
}

// SetOwner sets the request that the reservation belongs to.
func (r *Reservation) SetOwner(owner Owner) {
	if r == nil {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.owner = owner
}

// Release returns the memory. Further calls have no effect.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.release(r)
}

// release returns the memory of a reservation. The caller must hold mu.
func (m *Memory) release(r *Reservation) {
	if r.released {
		return
	}
	m.add(r, -r.size)
	m.unlink(r)
	r.reader.conn = nil
	r.receiver = nil
}
