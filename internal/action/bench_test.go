package action

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"lovagescale/internal/call"
	"lovagescale/internal/refusal"
)

// BenchmarkActionStage measures the overhead of the stage for a new action.
func BenchmarkActionStage(b *testing.B) {
	f := newFixture(Options{Capacity: b.N + 1})
	f.stage.env.Log = f.stage.env.Log.Level(7)
	for i := range b.N {
		f.send("azul", selfIncarnation+"."+strconv.Itoa(i), "letter")
	}
}

// BenchmarkActionReplay measures a retry that is answered from the cache.
func BenchmarkActionReplay(b *testing.B) {
	f := newFixture(Options{})
	f.send("azul", selfIncarnation+".1", "letter")
	b.ResetTimer()
	for range b.N {
		f.send("azul", selfIncarnation+".1", "letter")
	}
}

// BenchmarkActionMemory reports the heap bytes of each recorded key, without its
// answer.
func BenchmarkActionMemory(b *testing.B) {
	const keys = DefaultCapacity
	for range b.N {
		before := heapBytes()
		core := NewCore(selfIncarnation, Options{})
		for i := range keys {
			c := &call.Call{Workspace: "azul", IdempotencyKey: selfIncarnation + "~gva51." + strconv.Itoa(i)}
			attempt, _ := core.Begin(time.Unix(1_700_000_000, 0), c, nil, nil)
			attempt.RunDone(time.Unix(1_700_000_000, 0), nil, refusal.New(502, refusal.UpstreamFailed, refusal.Unknown, ""))
		}
		b.ReportMetric(float64(heapBytes()-before)/keys, "B/key")
		runtime.KeepAlive(core)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkActionJournal reports the store calls and bytes that the journal of one
// entry causes, averaged over one hour of the fixture's clock.
func BenchmarkActionJournal(b *testing.B) {
	const seconds = 3600
	for _, members := range []int{11, 2300} {
		for _, rate := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("entries=%d/actions=%d", members, rate), func(b *testing.B) {
				for range b.N {
					f := newFixture(Options{Capacity: seconds*rate + 1})
					f.stage.env.Log = f.stage.env.Log.Level(7)
					writer := NewJournalWriter(f.stage, JournalOptions{})
					due := 0
					for second := range seconds {
						f.now = f.now.Add(time.Second)
						for i := range rate {
							f.send("azul", selfIncarnation+"."+strconv.Itoa(second*rate+i), "letter")
						}
						if second >= due {
							writer.flush(context.Background())
							due = second + int(writer.options.writeDelay(members, writer.lastWriteBytes).Seconds())
						}
					}
					b.ReportMetric(float64(f.store.writes)/seconds, "writes/s")
					b.ReportMetric(float64(f.store.calls)/seconds, "calls/s")
					b.ReportMetric(float64(f.store.bytes)/seconds, "B/s")
				}
			})
		}
	}
}
