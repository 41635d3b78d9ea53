package action

import (
	"net/http"
	"slices"

	"lovagescale/internal/call"
)

// answerCache holds the first answers of actions, up to a total size in bytes.
// The oldest are evicted first; the table keeps the record of an evicted answer.
type answerCache struct {
	maxAnswerBytes int
	maxBytes       int
	bytes          int
	byDigest       map[Digest]*call.Result
	insertionOrder []Digest
}

func newAnswerCache(options Options) answerCache {
	return answerCache{
		maxAnswerBytes: options.AnswerBytes,
		maxBytes:       options.AnswersBytes,
		byDigest:       make(map[Digest]*call.Result),
	}
}

func (a *answerCache) add(digest Digest, result *call.Result) {
	size := resultSize(result)
	if size > a.maxAnswerBytes || size > a.maxBytes {
		return
	}
	a.byDigest[digest] = result
	a.insertionOrder = append(a.insertionOrder, digest)
	a.bytes += size
	for a.bytes > a.maxBytes {
		a.evictOldest()
	}
}

func (a *answerCache) evictOldest() {
	oldest := a.insertionOrder[0]
	a.insertionOrder = a.insertionOrder[1:]
	a.evict(oldest)
}

// evict removes an answer. Its digest stays in insertionOrder, where evictOldest
// has no effect on it, until compact removes it.
func (a *answerCache) evict(digest Digest) {
	result, found := a.byDigest[digest]
	if !found {
		return
	}
	a.bytes -= resultSize(result)
	delete(a.byDigest, digest)
}

// compact removes the digests of evicted answers from insertionOrder.
func (a *answerCache) compact() {
	a.insertionOrder = slices.DeleteFunc(a.insertionOrder, func(d Digest) bool { return a.byDigest[d] == nil })
}

// replay returns a copy of the cached answer marked as replayed, or nil if there
// is none.
func (a *answerCache) replay(digest Digest) *call.Result {
	result, found := a.byDigest[digest]
	if !found {
		return nil
	}
	replayed := *result
	replayed.Replayed = true
	return &replayed
}

// resultOverheadBytes is added to the size of an answer for the data structures that
// hold it.
const resultOverheadBytes = 256

func resultSize(result *call.Result) int {
	return resultOverheadBytes + len(result.Answer.Body) + headerBytes(result.Answer.Header)
}

func headerBytes(header http.Header) int {
	size := 0
	for name, values := range header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
