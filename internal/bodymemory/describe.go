package bodymemory

import (
	"cmp"
	"slices"
	"time"
)

// maxHolders bounds the holders in a Description.
const maxHolders = 10

// Description is the state in the dump for operators.
type Description struct {
	Limit int64 `json:"limit"`
	Used  int64 `json:"used"`
	// ByKind are the reserved bytes by kind.
	ByKind map[string]int64 `json:"by_kind"`
	// Holders are the largest reservations, the largest one first.
	Holders []Holder `json:"holders"`
}

// Holder describes one reservation.
type Holder struct {
	Owner
	Kind  string `json:"kind"`
	Bytes int64  `json:"bytes"`
	// AgeMillis is the time since the reservation was made.
	AgeMillis int64 `json:"age_ms"`
	// Reading is set while the response is written to its caller, since ReadingMillis. The
	// caller has read BytesRead of it, and nothing for QuietMillis as far as observed.
	Reading       bool  `json:"reading"`
	ReadingMillis int64 `json:"reading_ms,omitempty"`
	BytesRead     int64 `json:"bytes_read,omitempty"`
	QuietMillis   int64 `json:"quiet_ms,omitempty"`
}

// Describe returns the state for the dump.
func (m *Memory) Describe() Description {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	d := Description{Limit: m.limit, Used: m.used, ByKind: make(map[string]int64, kindCount)}
	for kind, used := range m.byKind {
		d.ByKind[Kind(kind).String()] = used
	}
	var all []*Reservation
	for r := m.first; r != nil; r = r.next {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Reservation) int { return cmp.Compare(b.size, a.size) })
	for _, r := range all[:min(len(all), maxHolders)] {
		d.Holders = append(d.Holders, r.describe(now))
	}
	return d
}

// describe returns the state of a reservation. The caller must hold mu.
func (r *Reservation) describe(now time.Time) Holder {
	h := Holder{Owner: r.owner, Kind: r.kind.String(), Bytes: r.size, AgeMillis: now.Sub(r.startedAt).Milliseconds()}
	if r.reader.conn == nil {
		return h
	}
	r.reader.sample(now)
	s := r.state(now)
	h.Reading, h.ReadingMillis, h.BytesRead, h.QuietMillis = true, s.age.Milliseconds(), s.bytesRead, s.quiet.Milliseconds()
	return h
}
