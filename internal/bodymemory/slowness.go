package bodymemory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minReaderAge is the age below which a response is not closed in favor of others: a
	// shorter time says little about how fast its caller reads.
	minReaderAge = 2 * time.Second
	// stallTimeout is how long a caller may read nothing while memory is scarce.
	stallTimeout = 5 * time.Second
)

// readerState is what decides whether a reader is disconnected.
type readerState struct {
	held, bytesRead int64
	// age is how long the response has been written, quiet how long nothing was read, as
	// far as that was observed.
	age, quiet time.Duration
}

// rate returns the bytes that the caller has read per second.
func (s readerState) rate() float64 { return float64(s.bytesRead) / s.age.Seconds() }

// slowestReaders returns the indices of the readers to disconnect so that need bytes become
// free, the slowest one first, and of equally slow ones the one that holds more. It returns
// nothing if those that are old enough do not hold need bytes together.
func slowestReaders(readers []readerState, need int64) []int {
	var candidates []int
	held := int64(0)
	for i, r := range readers {
		if r.age >= minReaderAge {
			candidates = append(candidates, i)
			held += r.held
		}
	}
	if held < need {
		return nil
	}
	slices.SortFunc(candidates, func(a, b int) int {
		return cmp.Or(cmp.Compare(readers[a].rate(), readers[b].rate()), cmp.Compare(readers[b].held, readers[a].held))
	})
	for n, i := range candidates {
		need -= readers[i].held
		if need <= 0 {
			return candidates[:n+1]
		}
	}
	return nil
}

// stalled reports whether a reader is disconnected while memory is scarce.
func stalled(r readerState) bool { return r.quiet >= stallTimeout }

// scarce reports whether more than half of the limit is in use.
func scarce(used, limit int64) bool { return used > limit/2 }
