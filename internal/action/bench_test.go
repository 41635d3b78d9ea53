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

// BenchmarkActionStage measures what the stage adds to a new action.
func BenchmarkActionStage(b *testing.B) {
	f := newFixture(Options{Capacity: b.N + 1})
	f.stage.env.Log = f.stage.env.Log.Level(7)
	for i := range b.N {
		f.send("azul", ownName+"."+strconv.Itoa(i), "letter")
	}
}

// BenchmarkActionReplay measures a retry of an action that ran.
func BenchmarkActionReplay(b *testing.B) {
	f := newFixture(Options{})
	f.send("azul", ownName+".1", "letter")
	b.ResetTimer()
	for range b.N {
		f.send("azul", ownName+".1", "letter")
	}
}

// BenchmarkActionMemory reports the bytes of heap for each remembered key,
// without its answer.
func BenchmarkActionMemory(b *testing.B) {
	const keys = DefaultCapacity
	for range b.N {
		before := heap()
		core := NewCore(ownName, Options{})
		for i := range keys {
			c := &call.Call{Workspace: "azul", IdempotencyKey: ownName + "~gva51." + strconv.Itoa(i)}
			try, _ := core.Begin(time.Unix(1_700_000_000, 0), c, nil, nil)
			try.Ran(time.Unix(1_700_000_000, 0), nil, refusal.New(502, refusal.UpstreamFailed, refusal.Unknown, ""))
		}
		b.ReportMetric(float64(heap()-before)/keys, "B/key")
		runtime.KeepAlive(core)
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkActionJournal reports the calls and bytes that one entry's journal
// costs the store, over an hour of the fixture's clock.
func BenchmarkActionJournal(b *testing.B) {
	const seconds = 3600
	for _, members := range []int{11, 2300} {
		for _, rate := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("entries=%d/actions=%d", members, rate), func(b *testing.B) {
				for range b.N {
					f := newFixture(Options{Capacity: seconds*rate + 1})
					f.stage.env.Log = f.stage.env.Log.Level(7)
					journaling := NewJournaling(f.stage, JournalOptions{})
					due := 0
					for second := range seconds {
						f.now = f.now.Add(time.Second)
						for i := range rate {
							f.send("azul", ownName+"."+strconv.Itoa(second*rate+i), "letter")
						}
						if second >= due {
							journaling.round(context.Background())
							due = second + int(journaling.options.pause(members, journaling.bytes).Seconds())
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
