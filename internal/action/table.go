package action

import (
	"cmp"
	"time"

	"lovagescale/internal/call"
)

// Options configure a Core. Zero fields get their default values.
type Options struct {
	// Capacity is the maximum number of recorded keys; default 400,000.
	Capacity int
	// Retention is the minimum time for which a finished key stays recorded;
	// default 1 h.
	Retention time.Duration
	// AnswerBytes is the maximum size of one cached answer; default 64 KiB.
	AnswerBytes int
	// AnswersBytes is the maximum size of all cached answers together; default
	// 16 MiB.
	AnswersBytes int
	// JournalBytes is the maximum size of the journal value; default 128 KiB.
	JournalBytes int
	// JournalAnswerBytes is the maximum size of one answer in the journal;
	// default 512 bytes.
	JournalAnswerBytes int
}

// Default values of Options.
const (
	DefaultCapacity           = 400_000
	DefaultRetention          = time.Hour
	DefaultAnswerBytes        = 64 << 10
	DefaultAnswersBytes       = 16 << 20
	DefaultJournalBytes       = 128 << 10
	DefaultJournalAnswerBytes = 512
)

func (o Options) withDefaults() Options {
	o.Capacity = cmp.Or(o.Capacity, DefaultCapacity)
	o.Retention = cmp.Or(o.Retention, DefaultRetention)
	o.AnswerBytes = cmp.Or(o.AnswerBytes, DefaultAnswerBytes)
	o.AnswersBytes = cmp.Or(o.AnswersBytes, DefaultAnswersBytes)
	o.JournalBytes = cmp.Or(o.JournalBytes, DefaultJournalBytes)
	o.JournalAnswerBytes = cmp.Or(o.JournalAnswerBytes, DefaultJournalAnswerBytes)
	return o
}

// The table is swept when at most 1/sweepReserveDivisor of its capacity is free. A
// sweep reads the whole table, so it is not repeated within sweepInterval.
const (
	sweepReserveDivisor = 8
	sweepInterval       = 10 * time.Second
)

// maxStampSkew is how far a stamp may be ahead of the owner's clock. A key with
// a later stamp is recorded like a key without a stamp and so is never evicted.
const maxStampSkew = Stamp(time.Hour / stampUnit)

// phase tells how far a recorded action got.
type phase uint8

const (
	phaseRunning phase = iota
	phaseRan
	phaseUnknown
)

// record is the table's entry for a key. The answer is stored separately, since
// it may be evicted earlier.
type record struct {
	requestHash uint64
	finishedAt  int64 // Unix seconds
	stamp       Stamp // 0 keeps the record for the lifetime of the process
	status      uint16
	phase       phase
}

// table records the keys whose actions were started. A record is removed when
// its action did not run. A finished record is evicted only when its key is
// refused as expired from then on.
type table struct {
	options      Options
	records      map[Digest]record
	answers      answerCache
	runningCount int
	// evictionWatermark is the highest stamp of an evicted record. An unrecorded
	// key with a stamp up to it may have run.
	evictionWatermark Stamp
	// nextSweep is the earliest time of the next sweep: the first time at which a
	// record can expire, but at least sweepInterval after the last sweep.
	nextSweep time.Time
}

func newTable(options Options) table {
	return table{options: options, records: make(map[Digest]record), answers: newAnswerCache(options)}
}

// insert records a key. It returns false when the table is full.
func (t *table) insert(now time.Time, digest Digest, requestHash uint64, stamp Stamp) bool {
	if len(t.records) >= t.options.Capacity-t.options.Capacity/sweepReserveDivisor {
		t.sweep(now)
	}
	if len(t.records) >= t.options.Capacity {
		return false
	}
	if stamp > StampOf(now)+maxStampSkew {
		stamp = 0
	}
	t.records[digest] = record{requestHash: requestHash, stamp: stamp}
	t.runningCount++
	return true
}

// mayHaveBeenEvicted reports whether the record of a key with the given stamp may have
// been evicted, so that an action whose key is not recorded may have run.
func (t *table) mayHaveBeenEvicted(stamp Stamp) bool {
	return stamp != 0 && stamp <= t.evictionWatermark
}

// remove deletes the record of a running action that turned out not to have run.
func (t *table) remove(digest Digest) {
	delete(t.records, digest)
	t.runningCount--
}

func (t *table) finish(now time.Time, digest Digest, p phase, status int, result *call.Result) {
	r := t.records[digest]
	r.phase = p
	r.status = uint16(status)
	r.finishedAt = now.Unix()
	t.records[digest] = r
	t.runningCount--
	if result != nil {
		t.answers.add(digest, result)
	}
}

// sweep evicts the records whose retention has ended.
func (t *table) sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(t.options.Retention)
	for digest, r := range t.records {
		if r.phase == phaseRunning || r.stamp == 0 {
			continue
		}
		expiry := r.expiry(t.options.Retention)
		if now.Before(expiry) {
			t.nextSweep = earlier(t.nextSweep, expiry)
			continue
		}
		t.evictionWatermark = max(t.evictionWatermark, r.stamp)
		delete(t.records, digest)
		t.answers.evict(digest)
	}
	t.answers.compact()
	t.nextSweep = later(t.nextSweep, now.Add(sweepInterval))
}

// expiry returns the end of the record's retention, which starts when the action
// ends or at its stamp, whichever is later.
func (r record) expiry(retention time.Duration) time.Time {
	stampSeconds := int64(r.stamp) * int64(stampUnit/time.Second)
	return time.Unix(max(r.finishedAt, stampSeconds), 0).Add(retention)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
