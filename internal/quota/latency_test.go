package quota

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/call"
	"lovagescale/internal/control"
)

// BenchmarkQuotaNoisyLatency measures the time that the stage adds to requests
// of one workspace at 90% of its rate, alone and beside another that sends five
// times its rate, at an entry that issues all parts.
func BenchmarkQuotaNoisyLatency(b *testing.B) {
	const rate, duration = 1000, 3 * time.Second
	for _, noise := range []int{0, 5} {
		b.Run(fmt.Sprintf("Times%d", noise), func(b *testing.B) {
			for b.Loop() {
				stage, end := runStage(map[string]Limit{"azul": {rate, 2 * rate}, "verde": {rate, 2 * rate}})
				var sending sync.WaitGroup
				sending.Go(func() { send(stage, "verde", noise*rate, duration) })
				histogram, refused := send(stage, "azul", rate*9/10, duration)
				sending.Wait()
				end()
				b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-ns")
				b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-ns")
				b.ReportMetric(float64(refused), "refused")
			}
		})
	}
}

// runStage runs a stage over a core that holds all parts.
func runStage(limits map[string]Limit) (*Stage, func()) {
	next := call.StageFunc(func(context.Context, *call.Call) (*call.Result, error) { return nil, nil })
	loop := control.NewLoop("bench")
	stage := New(next, time.Now, loop, metrics.NewRegistry(), nil)
	now := time.Now()
	core := NewCore(now, Peer{Incarnation: "a-1", Instance: "a", Zone: "z"}, Options{})
	driver := NewDriver(core, time.Now, stage, metrics.NewRegistry(), func(string, []Ask) {})
	driver.Change(func(now time.Time, c *Core) {
		c.Configure(now, Limits{Revision: 1, Zones: 1, Workspaces: limits})
		zone := c.PlanZone(now, now, ZoneRecord{}, nil)
		c.ZoneStored(now, zone)
		c.CheckZones(now, []ZoneRecord{zone.Record})
		c.OwnersStored(now, c.PlanOwners(now, now, OwnerTable{}, nil))
	})
	ctx, cancel := context.WithCancel(context.Background())
	go loop.Run(ctx)
	go loop.Every(ctx, 25*time.Millisecond, driver.Tick)
	return stage, cancel
}

// send sends requests at a rate, each in its own goroutine.
func send(stage *Stage, workspace string, rate int, duration time.Duration) (*hdrhistogram.Histogram, int) {
	histogram := hdrhistogram.New(1, int64(10*time.Second), 3)
	refused := 0
	var mu sync.Mutex
	var requests sync.WaitGroup
	started := time.Now()
	for i := 0; i < int(float64(rate)*duration.Seconds()); i++ {
		time.Sleep(time.Until(started.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		requests.Go(func() {
			sent := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := stage.Serve(ctx, &call.Call{Workspace: workspace, Deadline: sent.Add(time.Second)})
			mu.Lock()
			defer mu.Unlock()
			_ = histogram.RecordValue(int64(time.Since(sent)))
			if err != nil {
				refused++
			}
		})
	}
	requests.Wait()
	return histogram, refused
}
