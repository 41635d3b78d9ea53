package action

import (
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/call"
	"lovagescale/internal/upstream"
)

// journalPrefix is the prefix of the store keys of journals.
const journalPrefix = "actions/journal/"

// JournalKey returns the store key of an incarnation's journal.
func JournalKey(incarnation string) string { return journalPrefix + incarnation }

// entryOverheadBytes estimates the msgpack size of an entry without its answer. The
// same size is added to an answer for its own encoding.
const entryOverheadBytes = 40

// JournalEntry is the outcome of one finished action.
type JournalEntry struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Digest   []byte
	// Request is the hash of the request; see hashRequest.
	Request uint64
	Stamp   Stamp
	// Ran is false when the outcome is unknown.
	Ran    bool
	Status uint16
	// Answer is nil when the journal does not keep it.
	Answer *JournalAnswer
}

// JournalAnswer is the first answer of an action, if it is at most
// Options.JournalAnswerBytes long. The status is in the entry.
type JournalAnswer struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Header   http.Header
	Body     []byte
	Endpoint string
	Instance string
	Zone     string
}

// Journal is the value that the store holds for one incarnation.
type Journal struct {
	Incarnation string `msgpack:"i"`
	// Closed is true when the incarnation starts no further action and has none in
	// progress.
	Closed bool `msgpack:"c"`
	// EvictionWatermark is the highest stamp of an outcome that was evicted to keep
	// the journal within its size limit.
	EvictionWatermark Stamp `msgpack:"f"`
	// EvictedUnstamped is true when an outcome without a stamp was evicted.
	EvictedUnstamped bool           `msgpack:"d"`
	Entries          []JournalEntry `msgpack:"e"`
}

// Find returns the entry of an action, if the journal has one.
func (j *Journal) Find(digest Digest) (JournalEntry, bool) {
	for i := range j.Entries {
		if string(j.Entries[i].Digest) == string(digest[:]) {
			return j.Entries[i], true
		}
	}
	return JournalEntry{}, false
}

// ProvesNotRun reports whether an action that has no entry in the journal has not
// run and never will: the journal is closed, and no outcome that may have been the
// action's was evicted.
func (j *Journal) ProvesNotRun(stamp Stamp) bool {
	if !j.Closed {
		return false
	}
	if stamp == 0 {
		return !j.EvictedUnstamped
	}
	return stamp > j.EvictionWatermark
}

// Encode encodes the journal as a store value.
func (j *Journal) Encode() ([]byte, error) { return msgpack.Marshal(j) }

// DecodeJournal decodes a store value.
func DecodeJournal(value []byte) (*Journal, error) {
	var j Journal
	if err := msgpack.Unmarshal(value, &j); err != nil {
		return nil, err
	}
	return &j, nil
}

// outcomes holds the journal entries of finished actions, oldest first, up to a
// total size. When they exceed it, answers are evicted first and then whole
// entries, in each case the oldest first.
type outcomes struct {
	maxBytes int
	bytes    int
	entries  []JournalEntry
	// firstWithAnswer is the index of the first entry that may have an answer.
	firstWithAnswer   int
	evictionWatermark Stamp
	evictedUnstamped  bool
	// changes counts the changes to the journal value, so that its writer can tell
	// whether the store is up to date.
	changes uint64
}

func (o *outcomes) add(entry JournalEntry) {
	o.entries = append(o.entries, entry)
	o.bytes += entry.size()
	o.changes++
	for o.bytes > o.maxBytes && len(o.entries) > 0 {
		o.evictOldest()
	}
}

// evictOldest removes the oldest answer, or the oldest entry when no answer is left.
func (o *outcomes) evictOldest() {
	if o.firstWithAnswer < len(o.entries) {
		entry := &o.entries[o.firstWithAnswer]
		o.bytes -= entry.size()
		entry.Answer = nil
		o.bytes += entry.size()
		o.firstWithAnswer++
		return
	}
	oldest := o.entries[0]
	o.entries = o.entries[1:]
	o.firstWithAnswer--
	o.bytes -= oldest.size()
	o.evictionWatermark = max(o.evictionWatermark, oldest.Stamp)
	if oldest.Stamp == 0 {
		o.evictedUnstamped = true
	}
}

func (e *JournalEntry) size() int {
	if e.Answer == nil {
		return entryOverheadBytes
	}
	return entryOverheadBytes + e.Answer.size()
}

func (a *JournalAnswer) size() int {
	return len(a.Body) + 2*headerBytes(a.Header) + len(a.Endpoint) + len(a.Instance) + len(a.Zone) + entryOverheadBytes
}

// newJournalAnswer returns the answer for the journal, or nil when there is none or
// it is too large.
func newJournalAnswer(result *call.Result, maxBytes int) *JournalAnswer {
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
	if answer.size() > maxBytes {
		return nil
	}
	return answer
}

// result returns the answer in the journal, marked as replayed, or nil.
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
