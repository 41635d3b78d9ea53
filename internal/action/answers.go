package action

import (
	"net/http"
	"slices"

	"lovagescale/internal/call"
)

// answers keeps the first answers of actions within a bound in bytes. The
// oldest are dropped first; the record of a dropped answer stays.
type answers struct {
	perAnswer int
	limit     int
	bytes     int
	kept      map[Digest]*call.Result
	order     []Digest
}

func newAnswers(options Options) answers {
	return answers{
		perAnswer: options.AnswerBytes,
		limit:     options.AnswersBytes,
		kept:      make(map[Digest]*call.Result),
	}
}

func (a *answers) keep(digest Digest, result *call.Result) {
	size := sizeOf(result)
	if size > a.perAnswer || size > a.limit {
		return
	}
	a.kept[digest] = result
	a.order = append(a.order, digest)
	a.bytes += size
	for a.bytes > a.limit {
		a.dropOldest()
	}
}

func (a *answers) dropOldest() {
	oldest := a.order[0]
	a.order = a.order[1:]
	a.drop(oldest)
}

// drop forgets an answer. Its place in the order stays and is skipped later.
func (a *answers) drop(digest Digest) {
	result, found := a.kept[digest]
	if !found {
		return
	}
	a.bytes -= sizeOf(result)
	delete(a.kept, digest)
}

// compact removes the dropped answers from the order.
func (a *answers) compact() {
	a.order = slices.DeleteFunc(a.order, func(d Digest) bool { return a.kept[d] == nil })
}

// replay returns a copy of the kept answer, or nil.
func (a *answers) replay(digest Digest) *call.Result {
	result, found := a.kept[digest]
	if !found {
		return nil
	}
	replayed := *result
	replayed.Replayed = true
	return &replayed
}

// resultOverhead is added to an answer's size for its structures.
const resultOverhead = 256

func sizeOf(result *call.Result) int {
	return resultOverhead + len(result.Answer.Body) + headerBytes(result.Answer.Header)
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
