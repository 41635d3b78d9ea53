package action

import (
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/call"
	"lovagescale/internal/upstream"
)

// journalPrefix starts the store key of each incarnation's journal.
const journalPrefix = "actions/journal/"

// JournalKey returns the store key of an incarnation's journal.
func JournalKey(incarnation string) string { return journalPrefix + incarnation }

// entryOverhead is the size of an entry without its answer, in msgpack.
const entryOverhead = 40

// JournalEntry is the outcome of one finished action.
type JournalEntry struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Digest   []byte
	Request  uint64
	Stamp    Stamp
	// Ran is false when the outcome is unknown.
	Ran    bool
	Status uint16
	// Answer is nil when it is not kept.
	Answer *JournalAnswer
}

// JournalAnswer is a first answer that fits the bound.
type JournalAnswer struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Header   http.Header
	Body     []byte
	Endpoint string
	Instance string
	Zone     string
}

// Journal is the journal value of one incarnation.
type Journal struct {
	Incarnation string `msgpack:"i"`
	// Closed is true when the incarnation starts no action any more and has
	// none in progress.
	Closed bool `msgpack:"c"`
	// Floor is the highest stamp of an outcome that was left out for space.
	Floor Stamp `msgpack:"f"`
	// Dropped is true when an outcome without a stamp was left out.
	Dropped bool           `msgpack:"d"`
	Entries []JournalEntry `msgpack:"e"`
}

// Find returns the outcome of an action.
func (j *Journal) Find(digest Digest) (JournalEntry, bool) {
	for i := range j.Entries {
		if string(j.Entries[i].Digest) == string(digest[:]) {
			return j.Entries[i], true
		}
	}
	return JournalEntry{}, false
}

// ProvesNotRun reports whether an action that is not in the journal has not
// run and never will.
func (j *Journal) ProvesNotRun(stamp Stamp) bool {
	if !j.Closed {
		return false
	}
	if stamp == 0 {
		return !j.Dropped
	}
	return stamp > j.Floor
}

// Encode returns the journal as a store value.
func (j *Journal) Encode() ([]byte, error) { return msgpack.Marshal(j) }

// DecodeJournal reads a store value.
func DecodeJournal(value []byte) (*Journal, error) {
	var j Journal
	if err := msgpack.Unmarshal(value, &j); err != nil {
		return nil, err
	}
	return &j, nil
}

// outcomes are the finished actions of the journal, oldest first, within its
// bound in bytes. For space, first answers and then outcomes are left out, the
// oldest first.
type outcomes struct {
	limit   int
	bytes   int
	entries []JournalEntry
	// answersFrom is the index of the first entry that may have an answer.
	answersFrom int
	floor       Stamp
	dropped     bool
	// changes counts the outcomes added, so that a writer sees new ones.
	changes uint64
}

func (o *outcomes) add(entry JournalEntry) {
	o.entries = append(o.entries, entry)
	o.bytes += entry.size()
	o.changes++
	for o.bytes > o.limit && len(o.entries) > 0 {
		o.shrink()
	}
}

// shrink leaves out the oldest answer, or the oldest outcome when there is no
// answer left.
func (o *outcomes) shrink() {
	if o.answersFrom < len(o.entries) {
		entry := &o.entries[o.answersFrom]
		o.bytes -= entry.size()
		entry.Answer = nil
		o.bytes += entry.size()
		o.answersFrom++
		return
	}
	oldest := o.entries[0]
	o.entries = o.entries[1:]
	o.answersFrom--
	o.bytes -= oldest.size()
	o.floor = max(o.floor, oldest.Stamp)
	if oldest.Stamp == 0 {
		o.dropped = true
	}
}

func (e *JournalEntry) size() int {
	if e.Answer == nil {
		return entryOverhead
	}
	return entryOverhead + e.Answer.size()
}

func (a *JournalAnswer) size() int {
	return len(a.Body) + 2*headerBytes(a.Header) + len(a.Endpoint) + len(a.Instance) + len(a.Zone) + entryOverhead
}

func journalAnswer(result *call.Result, limit int) *JournalAnswer {
	if result == nil {
		return nil
	}
	answer := &JournalAnswer{
		Header:   result.Answer.Header,
		Body:     result.Answer.Body,
		Endpoint: result.Endpoint,
		Instance: result.Instance,
		Zone:     result.Zone,
	}
	if answer.size() > limit {
		return nil
	}
	return answer
}

// result returns the journalled answer, or nil.
func (e *JournalEntry) result() *call.Result {
	if e.Answer == nil {
		return nil
	}
	return &call.Result{
		Answer:   &upstream.Answer{Status: int(e.Status), Header: e.Answer.Header, Body: e.Answer.Body},
		Endpoint: e.Answer.Endpoint,
		Instance: e.Answer.Instance,
		Zone:     e.Answer.Zone,
		Replayed: true,
	}
}
