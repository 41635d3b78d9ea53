package bodymemory

import (
	"os"
	"runtime/debug"
	"time"
)

const (
	// trimPeakDivisor is the divisor of the limit that gives the smallest peak after which
	// memory is returned to the operating system.
	trimPeakDivisor = 8
	// trimDelay is how long use must be below a quarter of the peak, so that memory is not
	// returned between two peaks.
	trimDelay = time.Second
	// trimInterval bounds the processor time of the collections: one takes some
	// milliseconds.
	trimInterval = 5 * time.Second
)

// trimmer decides when memory that was used at a peak is returned to the operating system.
type trimmer struct {
	lowSince, trimmedAt time.Time
}

// due reports whether memory is to be returned now. peak is the highest use since that was
// last the case.
func (t *trimmer) due(now time.Time, used, peak, limit int64) bool {
	if peak < limit/trimPeakDivisor || used >= peak/4 {
		t.lowSince = time.Time{}
		return false
	}
	if t.lowSince.IsZero() {
		t.lowSince = now
	}
	if now.Sub(t.lowSince) < trimDelay || now.Sub(t.trimmedAt) < trimInterval {
		return false
	}
	t.lowSince, t.trimmedAt = time.Time{}, now
	return true
}

// TrimDue reports whether the memory of a peak is to be returned to the operating system
// now. It is to be called several times a second.
func (m *Memory) TrimDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.trimmer.due(m.now(), m.used, m.peak, m.limit) {
		return false
	}
	m.peak = m.used
	return true
}

// heapPercent is the part of the memory of a process that its heap, stacks and garbage may take. The
// rest is for the pages of the program and for the kernel.
const heapPercent = 62

// HeapLimit returns what the heap, stacks and garbage of a process with the given memory may take.
func HeapLimit(memoryBytes int64) int64 { return memoryBytes * heapPercent / 100 }

// LimitHeap makes the garbage collector run more often as the process approaches the memory
// of its instance. A limit that the operator has set with GOMEMLIMIT stays.
func LimitHeap(memoryBytes int64) {
	if memoryBytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(HeapLimit(memoryBytes))
	}
}
