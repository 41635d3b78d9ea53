// Package quarantine keeps requests that crash endpoints away from them.
//
// A request that was in flight when its endpoint dropped the connection gets a
// strike, also when the same endpoint came back and dropped it again. With
// Strikes of them within Memory it is quarantined for Term: the same request, told by its fingerprint
// (workspace, service, method, target and body, but not the idempotency key),
// is refused as not-run. Other requests of the workspace go on. Entries send
// each other their strikes, so that strikes at different entries add up.
//
// How it fails: a request that shares two crashes with the one that caused them
// is quarantined too; the router runs at most one struck request at an endpoint
// at a time to keep this rare. The table is bounded; when it is full the record
// that ends first makes room.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"lovagescale/internal/call"
)

// Options configure a Table. The zero value uses the defaults.
type Options struct {
	// Strikes is the number of connections that a request may cost; default 2.
	Strikes int
	// Memory is how long a strike counts; default 2 min.
	Memory time.Duration
	// Term is how long a quarantine lasts; default 10 min.
	Term time.Duration
	// Capacity bounds the records; default 4096.
	Capacity int
}

// Defaults of Options.
const (
	defaultStrikes  = 2
	defaultMemory   = 2 * time.Minute
	defaultTerm     = 10 * time.Minute
	defaultCapacity = 4096
)

// Fingerprint identifies equal requests.
type Fingerprint [16]byte

// Of returns the fingerprint of a call.
func Of(c *call.Call) Fingerprint {
	digest := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{
		[]byte(c.Workspace), []byte(c.Service), []byte(c.Request.Method), []byte(c.Request.Target), c.Request.Body,
	} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write(part)
	}
	var f Fingerprint
	copy(f[:], digest.Sum(nil))
	return f
}

// Strike is one connection that a request cost an endpoint.
type Strike struct {
	// ID tells strikes apart, so that one that is told twice counts once; 0
	// always counts.
	ID          uint64      `msgpack:"i"`
	Fingerprint Fingerprint `msgpack:"f"`
	// Endpoint is named for the logs.
	Endpoint string `msgpack:"e"`
}

// record is what is known of one fingerprint.
type record struct {
	strikes []Strike
	until   time.Time
}

func (r *record) has(id uint64) bool {
	return id != 0 && slices.ContainsFunc(r.strikes, func(s Strike) bool { return s.ID == id })
}

// Table is the set of struck and quarantined requests. It is not safe for
// concurrent use.
type Table struct {
	options Options
	records map[Fingerprint]*record
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	options.Strikes = cmp.Or(options.Strikes, defaultStrikes)
	options.Memory = cmp.Or(options.Memory, defaultMemory)
	options.Term = cmp.Or(options.Term, defaultTerm)
	options.Capacity = cmp.Or(options.Capacity, defaultCapacity)
	return &Table{options: options, records: make(map[Fingerprint]*record)}
}

// Add records a strike. It reports whether the strike counts, and so should be
// told to other entries.
func (t *Table) Add(now time.Time, s Strike) bool {
	t.expire(now)
	r, found := t.records[s.Fingerprint]
	if !found {
		t.makeRoom()
		r = &record{}
		t.records[s.Fingerprint] = r
	}
	if now.After(r.until) {
		r.strikes = nil
	}
	if len(r.strikes) >= t.options.Strikes || r.has(s.ID) {
		return false
	}
	r.strikes = append(r.strikes, s)
	r.until = now.Add(t.options.Memory)
	if len(r.strikes) >= t.options.Strikes {
		r.until = now.Add(t.options.Term)
	}
	return true
}

// Strikes returns at most limit strikes that still count, for an entry that
// missed them.
func (t *Table) Strikes(now time.Time, limit int) []Strike {
	var strikes []Strike
	for _, r := range t.records {
		if now.After(r.until) {
			continue
		}
		if len(strikes)+len(r.strikes) > limit {
			break
		}
		strikes = append(strikes, r.strikes...)
	}
	return strikes
}

// Struck returns the strikes of the request.
func (t *Table) Struck(now time.Time, f Fingerprint) int {
	r, found := t.records[f]
	if !found || now.After(r.until) {
		return 0
	}
	return len(r.strikes)
}

// Quarantined returns the time left of a quarantine, or 0.
func (t *Table) Quarantined(now time.Time, f Fingerprint) time.Duration {
	if t.Struck(now, f) < t.options.Strikes {
		return 0
	}
	return t.records[f].until.Sub(now)
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Count returns the number of requests in quarantine.
func (t *Table) Count(now time.Time) int {
	n := 0
	for f := range t.records {
		if t.Quarantined(now, f) > 0 {
			n++
		}
	}
	return n
}

func (t *Table) expire(now time.Time) {
	if len(t.records) < t.options.Capacity {
		return
	}
	for f, r := range t.records {
		if now.After(r.until) {
			delete(t.records, f)
		}
	}
}

// makeRoom drops the record that ends first when the table is full.
func (t *Table) makeRoom() {
	if len(t.records) < t.options.Capacity {
		return
	}
	var first Fingerprint
	var until time.Time
	for f, r := range t.records {
		if until.IsZero() || r.until.Before(until) {
			first, until = f, r.until
		}
	}
	delete(t.records, first)
}
