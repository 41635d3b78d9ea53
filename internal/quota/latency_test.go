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

// BenchmarkQuotaNoisyLatency measures the latency that the stage adds to requests of
// one workspace at 90% of its rate, alone and beside another workspace that sends
// five times its rate, at an entry that issues all shares.
func BenchmarkQuotaNoisyLatency(b *testing.B) {
	const rate, duration = 1000, 3 * time.Second
	for _, noiseFactor := range []int{0, 5} {
		b.Run(fmt.Sprintf("Times%d", noiseFactor), func(b *testing.B) {
			for b.Loop() {
				stage, stop := startStage(map[string]Limit{"azul": {rate, 2 * rate}, "verde": {rate, 2 * rate}})
				var sending sync.WaitGroup
				sending.Go(func() { sendRequests(stage, "verde", noiseFactor*rate, duration) })
				histogram, refused := sendRequests(stage, "azul", rate*9/10, duration)
				sending.Wait()
				stop()
				b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-ns")
				b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-ns")
				b.ReportMetric(float64(refused), "refused")
			}
		})
	}
}

// startStage starts a stage over a core that holds all shares. It returns the stage
// and a function that stops it.
func startStage(limits map[string]Limit) (*Stage, func()) {
	next := call.StageFunc(func(context.Context, *call.Call) (*call.Result, error) { return nil, nil })
	loop := control.NewLoop("bench")
	stage := NewStage(next, time.Now, loop, metrics.NewRegistry(), nil)
	now := time.Now()
	core := NewCore(now, Peer{Incarnation: "a-1", Instance: "a", Zone: "z"}, Options{})
	driver := NewDriver(core, time.Now, stage, metrics.NewRegistry(), func(string, []GrantRequest) {})
	driver.Update(func(now time.Time, c *Core) {
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

// sendRequests sends requests at a constant rate, each in its own goroutine. It
// returns their latencies and the number that was refused.
func sendRequests(stage *Stage, workspace string, rate int, duration time.Duration) (*hdrhistogram.Histogram, int) {
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
