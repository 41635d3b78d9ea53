// Package quarantine keeps requests that crash endpoints away from them.
//
// A request that was in flight when its endpoint dropped the connection gets a
// strike. Repeated strikes at the same endpoint count too, as when it restarted
// and dropped the connection again. A request that gets Options.StrikeThreshold
// strikes, each within Options.StrikeTTL of the previous one, is quarantined for
// Options.Duration: requests with the same fingerprint (workspace, service, method,
// target and body, but not the idempotency key) are refused as "not-run". Other
// requests of the workspace are not affected. Entries send each other their
// strikes, so that strikes at different entries add up.
//
// Failure modes: a request that was in flight in two crashes caused by another one
// is quarantined too. To keep this rare, the router runs at most one request with
// strikes at an endpoint at a time. The table has a limited size; when it is full,
// the record that expires first is evicted.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"lovagescale/internal/call"
)

// Options configure a Table. Zero fields get their default values.
type Options struct {
	// StrikeThreshold is the number of strikes at which a request is quarantined;
	// default 2.
	StrikeThreshold int
	// StrikeTTL is how long strikes count after the latest one; default 2 min.
	StrikeTTL time.Duration
	// Duration is how long a quarantine lasts; default 10 min.
	Duration time.Duration
	// Capacity is the maximum number of fingerprints with strikes; default 4096.
	Capacity int
}

// Default values of Options.
const (
	defaultStrikeThreshold = 2
	defaultStrikeTTL       = 2 * time.Minute
	defaultDuration        = 10 * time.Minute
	defaultCapacity        = 4096
)

// Fingerprint is the hash of a request; requests with the same workspace, service,
// method, target and body have the same fingerprint.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a call.
func FingerprintOf(c *call.Call) Fingerprint {
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

// Strike records that an endpoint dropped the connection during a request.
type Strike struct {
	// ID identifies the strike, so that one that is received twice counts once. A
	// strike with ID 0 always counts.
	ID          uint64      `msgpack:"i"`
	Fingerprint Fingerprint `msgpack:"f"`
	// Endpoint identifies the endpoint. It does not affect the quarantine.
	Endpoint string `msgpack:"e"`
}

// record holds the strikes of one fingerprint.
type record struct {
	strikes []Strike
	// expiresAt is the end of the quarantine, or of the strikes' TTL below the
	// threshold.
	expiresAt time.Time
}

func (r *record) hasStrike(id uint64) bool {
	return id != 0 && slices.ContainsFunc(r.strikes, func(s Strike) bool { return s.ID == id })
}

// Table holds the requests that have strikes or are quarantined. It is not safe
// for concurrent use.
type Table struct {
	options Options
	records map[Fingerprint]*record
}

// NewTable returns an empty table.
func NewTable(options Options) *Table {
	options.StrikeThreshold = cmp.Or(options.StrikeThreshold, defaultStrikeThreshold)
	options.StrikeTTL = cmp.Or(options.StrikeTTL, defaultStrikeTTL)
	options.Duration = cmp.Or(options.Duration, defaultDuration)
	options.Capacity = cmp.Or(options.Capacity, defaultCapacity)
	return &Table{options: options, records: make(map[Fingerprint]*record)}
}

// Add records a strike. It reports whether the strike is new and counts, so that it
// should be sent to other entries. Strikes of a request in quarantine do not count.
func (t *Table) Add(now time.Time, s Strike) bool {
	t.removeExpired(now)
	r, found := t.records[s.Fingerprint]
	if !found {
		t.evictIfFull()
		r = &record{}
		t.records[s.Fingerprint] = r
	}
	if now.After(r.expiresAt) {
		r.strikes = nil
	}
	if len(r.strikes) >= t.options.StrikeThreshold || r.hasStrike(s.ID) {
		return false
	}
	r.strikes = append(r.strikes, s)
	r.expiresAt = now.Add(t.options.StrikeTTL)
	if len(r.strikes) >= t.options.StrikeThreshold {
		r.expiresAt = now.Add(t.options.Duration)
	}
	return true
}

// ActiveStrikes returns at most limit strikes that still count, to be sent to an entry
// that missed them.
func (t *Table) ActiveStrikes(now time.Time, limit int) []Strike {
	var strikes []Strike
	for _, r := range t.records {
		if now.After(r.expiresAt) {
			continue
		}
		if len(strikes)+len(r.strikes) > limit {
			break
		}
		strikes = append(strikes, r.strikes...)
	}
	return strikes
}

// StrikeCount returns the number of strikes of the request that still count.
func (t *Table) StrikeCount(now time.Time, f Fingerprint) int {
	r, found := t.records[f]
	if !found || now.After(r.expiresAt) {
		return 0
	}
	return len(r.strikes)
}

// RemainingTime returns the time left until the end of the request's quarantine, or 0
// if it is not quarantined.
func (t *Table) RemainingTime(now time.Time, f Fingerprint) time.Duration {
	if t.StrikeCount(now, f) < t.options.StrikeThreshold {
		return 0
	}
	return t.records[f].expiresAt.Sub(now)
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// QuarantinedCount returns the number of requests in quarantine.
func (t *Table) QuarantinedCount(now time.Time) int {
	count := 0
	for f := range t.records {
		if t.RemainingTime(now, f) > 0 {
			count++
		}
	}
	return count
}

// removeExpired removes expired records when the table is full.
func (t *Table) removeExpired(now time.Time) {
	if len(t.records) < t.options.Capacity {
		return
	}
	for f, r := range t.records {
		if now.After(r.expiresAt) {
			delete(t.records, f)
		}
	}
}

// evictIfFull removes the record that expires first when the table is full.
func (t *Table) evictIfFull() {
	if len(t.records) < t.options.Capacity {
		return
	}
	var firstToExpire Fingerprint
	var earliestExpiry time.Time
	for f, r := range t.records {
		if earliestExpiry.IsZero() || r.expiresAt.Before(earliestExpiry) {
			firstToExpire, earliestExpiry = f, r.expiresAt
		}
	}
	delete(t.records, firstToExpire)
}
