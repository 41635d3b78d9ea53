// Package bodymemory limits the memory that an instance holds for callers: their connections,
// large heads, request bodies, responses and requests that were read ahead, under a single limit
// that follows from the memory of the instance.
//
// Failure modes: without memory a reservation fails with a *NoMemoryError, and the request is
// refused before it is sent. Before that, bodies that are still being received give way if that
// frees enough: those that make no progress, then those that hold more than what is asked for.
// Their requests are refused, since they have not run. After them the callers that read their
// responses most slowly are disconnected. Large reservations leave a part of the limit to
// small ones, so that a few callers with large responses do not stop all others.
package bodymemory

import (
	"fmt"
	"sync"
	"time"
)

// limitPercent is the part of a process's memory for its Memory. The rest is for the process itself,
// for garbage that is not collected yet and for the kernel. The smallest instances have room for the
// largest body that the users allow while it is copied to the last of its buffers.
const limitPercent = 45

// Reservations above largeBytes use at most 1-1/smallShareDivisor of the limit.
const (
	largeBytes        = 64 << 10
	smallShareDivisor = 8
)

// LimitOf returns the limit in bytes for a process with the given memory.
func LimitOf(memoryBytes int64) int64 { return memoryBytes * limitPercent / 100 }

// Kind is what memory is reserved for.
type Kind uint8

// The kinds of reservations.
const (
	RequestBody Kind = iota
	Response
	ReadAhead
	// Connections are their goroutines and the buffers of the HTTP library.
	Connections
	// Heads are those of many fields and of many bytes.
	Heads
	// Buffers are those of the kernel for connections with large bodies or responses.
	Buffers
	// LinkMessages are messages of other processes of the system.
	LinkMessages
	kindCount
)

var kindNames = [kindCount]string{"request_bodies", "responses", "read_ahead", "connections", "heads", "buffers", "link_messages"}

// AccountLimit returns the largest part of the limit for what can wait or be done without: large
// heads, requests that were read ahead, larger buffers and messages of other processes.
func (m *Memory) AccountLimit() int64 { return m.limit / accountDivisor }

// accountDivisor is the divisor of the limit for AccountLimit.
const accountDivisor = 4

// String returns the name of the kind in metrics and in the dump.
func (k Kind) String() string { return kindNames[k] }

// NoMemoryError reports a reservation that would exceed the limit.
type NoMemoryError struct {
	Kind Kind
	// Bytes is what the reservation would have grown by.
	Bytes, Limit int64
}

// Error implements the error interface.
func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("%d more bytes of %s would exceed the limit of %d bytes", e.Bytes, e.Kind, e.Limit)
}

// Memory is the memory that an instance holds for callers. It is safe for concurrent use.
type Memory struct {
	limit int64
	now   func() time.Time
	// onDisconnect is called without mu for each caller that was disconnected.
	onDisconnect func(Disconnection)

	mu         sync.Mutex
	used, peak int64
	byKind     [kindCount]int64
	// first is the head of the list of all reservations that are not released.
	first   *Reservation
	trimmer trimmer
}

// New returns a Memory with a limit in bytes.
func New(limit int64) *Memory { return &Memory{limit: limit, now: time.Now} }

// OnDisconnect sets the function that is called for each caller that was disconnected. It
// must be called before the first reservation.
func (m *Memory) OnDisconnect(f func(Disconnection)) { m.onDisconnect = f }

// Limit returns the limit in bytes.
func (m *Memory) Limit() int64 { return m.limit }

// Used returns the bytes that are reserved.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// UsedBy returns the bytes that are reserved for a kind.
func (m *Memory) UsedBy(kind Kind) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byKind[kind]
}

// Reserve reserves n bytes. Without memory it returns a *NoMemoryError.
func (m *Memory) Reserve(kind Kind, n int64) (*Reservation, error) {
	r := &Reservation{memory: m, kind: kind}
	m.mu.Lock()
	r.startedAt = m.now()
	m.link(r)
	disconnected, err := m.resize(r, n)
	if err != nil {
		m.unlink(r)
	}
	m.mu.Unlock()
	m.report(disconnected)
	if err != nil {
		return nil, err
	}
	return r, nil
}

// resize sets the size of a reservation. If it grows beyond the limit, bodies that are being
// received give way first, and then the slowest readers are disconnected. The caller must hold
// mu and report what was disconnected.
func (m *Memory) resize(r *Reservation, size int64) ([]Disconnection, error) {
	n := size - r.size
	excess := n - (m.limitFor(size) - m.used) // a sum could overflow: callers state lengths up to 2^63-1
	if n <= 0 || excess <= 0 {
		m.add(r, n)
		return nil, nil
	}
	if r.optional {
		return nil, &NoMemoryError{Kind: r.kind, Bytes: n, Limit: m.limit}
	}
	asked := size
	if r.shared {
		asked = n
	}
	disconnected := m.stopReceivers(r, asked, excess)
	if excess = n - (m.limitFor(size) - m.used); excess > 0 {
		disconnected = append(disconnected, m.disconnectSlowest(excess)...)
	}
	if n > m.limitFor(size)-m.used {
		return disconnected, &NoMemoryError{Kind: r.kind, Bytes: n, Limit: m.limit}
	}
	m.add(r, n)
	return disconnected, nil
}

// limitFor returns the limit that applies to a reservation of the given size.
func (m *Memory) limitFor(size int64) int64 {
	if size > largeBytes {
		return m.limit - m.limit/smallShareDivisor
	}
	return m.limit
}

// add changes the size of a reservation. The caller must hold mu.
func (m *Memory) add(r *Reservation, n int64) {
	r.size += n
	m.used += n
	m.byKind[r.kind] += n
	m.peak = max(m.peak, m.used)
}

// link adds a reservation to the list. The caller must hold mu.
func (m *Memory) link(r *Reservation) {
	r.next = m.first
	if r.next != nil {
		r.next.previous = r
	}
	m.first = r
}

// unlink removes a reservation from the list. The caller must hold mu.
func (m *Memory) unlink(r *Reservation) {
	if r.previous != nil {
		r.previous.next = r.next
	} else {
		m.first = r.next
	}
	if r.next != nil {
		r.next.previous = r.previous
	}
	r.next, r.previous = nil, nil
	r.released = true
}

func (m *Memory) report(disconnected []Disconnection) {
	if m.onDisconnect == nil {
		return
	}
	for _, d := range disconnected {
		m.onDisconnect(d)
	}
}
