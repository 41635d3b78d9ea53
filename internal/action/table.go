package action

import (
	"cmp"
	"time"

	"lovagescale/internal/call"
)

// Options configure a Core. The zero value uses the defaults.
type Options struct {
	// Capacity bounds the remembered keys; default 400,000.
	Capacity int
	// Retention is how long a finished key is remembered at least; default 1 h.
	Retention time.Duration
	// AnswerBytes bounds one kept answer; default 64 KiB.
	AnswerBytes int
	// AnswersBytes bounds all kept answers together; default 16 MiB.
	AnswersBytes int
	// JournalBytes bounds the journal value; default 128 KiB.
	JournalBytes int
	// JournalAnswerBytes bounds one answer in the journal; default 512.
	JournalAnswerBytes int
}

// Defaults of Options.
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

// Sweeping starts when all but a part of the capacity is in use, and is not
// repeated within an interval, since it reads the whole table.
const (
	sweepMargin   = 8 // a part of the capacity
	sweepInterval = 10 * time.Second
)

// maxStampAhead is how far a stamp may be ahead of the owner's clock. A key
// with a later one is kept like a key without a stamp.
const maxStampAhead = Stamp(time.Hour / stampUnit)

// phase is what is known of a recorded action.
type phase uint8

const (
	running phase = iota
	ran
	unknown
)

// record is what the table keeps of a key. The answer is kept apart, since it
// may be dropped earlier.
type record struct {
	request  uint64
	finished int64 // Unix seconds
	stamp    Stamp // 0 keeps the record as long as the process
	status   uint16
	phase    phase
}

// table remembers the keys that were started. A record leaves it only when its
// key would be refused as expired from then on.
type table struct {
	options Options
	records map[Digest]record
	answers answers
	running int
	// floor is the highest stamp of a forgotten record. An unrecorded key with
	// a stamp up to it may have run.
	floor Stamp
	// nextSweep is the earliest time at which a record can expire.
	nextSweep time.Time
}

func newTable(options Options) table {
	return table{options: options, records: make(map[Digest]record), answers: newAnswers(options)}
}

// start records a key. It reports false when the table is full.
func (t *table) start(now time.Time, digest Digest, request uint64, stamp Stamp) bool {
	if len(t.records) >= t.options.Capacity-t.options.Capacity/sweepMargin {
		t.sweep(now)
	}
	if len(t.records) >= t.options.Capacity {
		return false
	}
	if stamp > StampOf(now)+maxStampAhead {
		stamp = 0
	}
	t.records[digest] = record{request: request, stamp: stamp}
	t.running++
	return true
}

// forgotten reports whether an unrecorded key with the stamp may have run.
func (t *table) forgotten(stamp Stamp) bool { return stamp != 0 && stamp <= t.floor }

// cancel removes a record whose action did not run.
func (t *table) cancel(digest Digest) {
	delete(t.records, digest)
	t.running--
}

func (t *table) finish(now time.Time, digest Digest, p phase, status int, result *call.Result) {
	r := t.records[digest]
	r.phase = p
	r.status = uint16(status)
	r.finished = now.Unix()
	t.records[digest] = r
	t.running--
	if result != nil {
		t.answers.keep(digest, result)
	}
}

// sweep forgets the records past their retention.
func (t *table) sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(t.options.Retention)
	for digest, r := range t.records {
		if r.phase == running || r.stamp == 0 {
			continue
		}
		expiry := r.expiry(t.options.Retention)
		if now.Before(expiry) {
			t.nextSweep = earlier(t.nextSweep, expiry)
			continue
		}
		t.floor = max(t.floor, r.stamp)
		delete(t.records, digest)
		t.answers.drop(digest)
	}
	t.answers.compact()
	t.nextSweep = later(t.nextSweep, now.Add(sweepInterval))
}

// expiry is a retention after the end of the action or after its stamp,
// whichever is later.
func (r record) expiry(retention time.Duration) time.Time {
	stamped := int64(r.stamp) * int64(stampUnit/time.Second)
	return time.Unix(max(r.finished, stamped), 0).Add(retention)
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
