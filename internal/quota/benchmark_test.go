package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/control"
)

// benchmarkSeed seeds the random arrivals and choices of benchmarks that use one
// seed.
const benchmarkSeed = 1

// loadRun offers the same requests to the simulated entries, to one reference bucket
// for the whole quota, and to an even split of the quota over the entries.
type loadRun struct {
	simulation *simulation
	random     *rand.Rand
	limit      Limit
	reference  *referenceBucket
	evenSplit  map[*node]*referenceBucket
	offered    int
	// evenSplitRefused counts requests that the even split refuses and the reference
	// bucket admits.
	evenSplitRefused int
	referenceRefused int
}

const (
	benchmarkZones     = 6
	entriesPerZone     = 2
	benchmarkWorkspace = "azul"
)

// regionLatency returns 1 ms within a region of two zones and 28 ms between regions.
func regionLatency(from, to *node) time.Duration {
	if from.Zone[len("zone-"):] == to.Zone[len("zone-"):] || zoneNumber(from)/2 == zoneNumber(to)/2 {
		return time.Millisecond
	}
	return 28 * time.Millisecond
}

func zoneNumber(n *node) int {
	var z int
	_, _ = fmt.Sscanf(n.Zone, "zone-%d", &z)
	return z
}

func newLoadRun(limits map[string]Limit, seed uint64) *loadRun {
	random := rand.New(rand.NewPCG(seed, seed))
	l := &loadRun{random: random, limit: limits[benchmarkWorkspace], evenSplit: make(map[*node]*referenceBucket)}
	l.simulation = newSimulation(Options{}, benchmarkZones, entriesPerZone, limits, random.IntN)
	l.simulation.latency = regionLatency
	const warmup = 40 * time.Second
	l.simulation.advance(warmup, 25*time.Millisecond)
	l.reference = l.newReferenceBucket(1)
	for _, n := range l.simulation.nodes {
		l.evenSplit[n] = l.newReferenceBucket(len(l.simulation.nodes))
	}
	return l
}

func (l *loadRun) newReferenceBucket(divisor int) *referenceBucket {
	limit := Limit{Rate: l.limit.Rate / float64(divisor), Burst: l.limit.Burst / float64(divisor)}
	b := &referenceBucket{level: limit.Burst, updatedAt: l.simulation.now}
	b.addLimit(limit, l.simulation.now.Add(time.Hour))
	return b
}

// run offers Poisson arrivals at a rate for the total time. The entries of the zone
// that zoneAt returns receive them.
func (l *loadRun) run(total time.Duration, rate float64, zoneAt func(passed time.Duration) int) {
	const step = 5 * time.Millisecond
	for passed := time.Duration(0); passed < total; passed += step {
		for range l.poisson(rate * step.Seconds()) {
			n := l.simulation.nodes[zoneAt(passed)*entriesPerZone+l.random.IntN(entriesPerZone)]
			l.offered++
			withinQuota := l.reference.take(l.simulation.now)
			if !withinQuota {
				l.referenceRefused++
			}
			if !l.evenSplit[n].take(l.simulation.now) && withinQuota {
				l.evenSplitRefused++
			}
			l.simulation.request(n, benchmarkWorkspace)
		}
		l.simulation.advance(step, step)
	}
	l.simulation.advance(2*time.Second, step)
}

// poisson draws a number of arrivals from a Poisson distribution.
func (l *loadRun) poisson(mean float64) int {
	limit, product, count := math.Exp(-mean), l.random.Float64(), 0
	for product > limit {
		product *= l.random.Float64()
		count++
	}
	return count
}

func (l *loadRun) report(b *testing.B) {
	if l.simulation.violation != "" {
		b.Fatal(l.simulation.violation)
	}
	refused := max(0, l.simulation.refusedByWorkspace[benchmarkWorkspace]-l.referenceRefused)
	b.ReportMetric(100*float64(refused)/float64(l.offered), "%false-refusals")
	b.ReportMetric(100*float64(l.evenSplitRefused)/float64(l.offered), "%even-split")
	b.ReportMetric(float64(l.offered), "offered")
}

func fixedZone(time.Duration) int { return 0 }

func movingZone(passed time.Duration) int { return int(passed/(5*time.Second)) % benchmarkZones }

// BenchmarkQuotaFalseRefusals measures, at 90% of the rate, the refusals of requests
// that an undivided quota would have admitted, and those of a static even split for
// the same arrivals.
func BenchmarkQuotaFalseRefusals(b *testing.B) {
	const rate, total = 180, 2 * time.Minute
	for _, run := range []struct {
		name   string
		burst  float64
		outage bool
		zoneAt func(time.Duration) int
	}{
		{"OneZone", 400, false, fixedZone},
		{"MovingEvery5s", 400, false, movingZone},
		{"StoreOutage", 400, true, fixedZone},
		{"StoreOutageMoving", 400, true, movingZone},
		{"Burst1s", 200, false, fixedZone},
		{"BurstQuarterSecond", 50, false, fixedZone},
	} {
		for seed := uint64(1); seed <= 3; seed++ {
			b.Run(fmt.Sprintf("%s/Seed%d", run.name, seed), func(b *testing.B) {
				for b.Loop() {
					l := newLoadRun(map[string]Limit{benchmarkWorkspace: {Rate: 200, Burst: run.burst}}, seed)
					l.simulation.storeDown = run.outage
					l.run(total, rate, run.zoneAt)
					l.report(b)
				}
			})
		}
	}
}

// BenchmarkQuotaTick measures the periodic work of an entry for different numbers of
// workspaces.
func BenchmarkQuotaTick(b *testing.B) {
	for _, workspaces := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("Workspaces%d", workspaces), func(b *testing.B) {
			limits := make(map[string]Limit)
			for i := range workspaces {
				limits[fmt.Sprintf("workspace-%d", i)] = Limit{Rate: 10, Burst: 20}
			}
			s := newSimulation(Options{}, 2, 1, limits, rand.New(rand.NewPCG(benchmarkSeed, benchmarkSeed)).IntN)
			s.advance(40*time.Second, 25*time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				s.now = s.now.Add(25 * time.Millisecond)
				s.nodes[0].core.Tick(s.now, 25*time.Millisecond)
			}
		})
	}
}

// BenchmarkQuotaMemory measures the memory for an idle workspace at an entry that
// holds all shares.
func BenchmarkQuotaMemory(b *testing.B) {
	const workspaces = 10_000
	limits := make(map[string]Limit)
	for i := range workspaces {
		limits[fmt.Sprintf("workspace-%d", i)] = Limit{Rate: 10, Burst: 20}
	}
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newCoreWithAllShares()
		c.Configure(start, Limits{Revision: 2, Zones: 1, Workspaces: limits})
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/workspaces, "B/workspace")
		runtime.KeepAlive(c)
	}
}

// BenchmarkQuotaNoisyWorkspace compares the refusals of one workspace with and
// without another workspace that sends five times its rate.
func BenchmarkQuotaNoisyWorkspace(b *testing.B) {
	for _, noiseFactor := range []int{0, 5} {
		b.Run(fmt.Sprintf("Times%d", noiseFactor), func(b *testing.B) {
			for b.Loop() {
				l := newLoadRun(map[string]Limit{benchmarkWorkspace: {Rate: 200, Burst: 400}, "verde": {Rate: 200, Burst: 400}}, benchmarkSeed)
				const step = 5 * time.Millisecond // one request per step is the rate
				for range 12 {
					l.run(time.Second, 180, fixedZone)
					for range int(4 * time.Second / step) {
						for i := range noiseFactor {
							l.simulation.request(l.simulation.nodes[i], "verde")
						}
						l.simulation.advance(step, step)
					}
				}
				l.report(b)
				b.ReportMetric(float64(l.simulation.refusedByWorkspace["verde"]), "noisy-refused")
			}
		})
	}
}

// BenchmarkQuotaControlCost measures the rates of store calls and of messages between
// entries, in idle fleets and in fleets with demand.
func BenchmarkQuotaControlCost(b *testing.B) {
	for _, fleet := range []struct{ zones, perZone, demand int }{
		{3, 2, 0}, {6, 2, 0}, {12, 2, 0}, {6, 8, 0}, {6, 32, 0}, {6, 2, 180}, {6, 8, 180},
	} {
		b.Run(fmt.Sprintf("Zones%dEntries%dDemand%d", fleet.zones, fleet.zones*fleet.perZone, fleet.demand), func(b *testing.B) {
			for b.Loop() {
				random := rand.New(rand.NewPCG(benchmarkSeed, benchmarkSeed))
				s := newSimulation(Options{}, fleet.zones, fleet.perZone, map[string]Limit{benchmarkWorkspace: {Rate: 200, Burst: 400}}, random.IntN)
				s.latency = regionLatency
				s.advance(90*time.Second, 25*time.Millisecond)
				s.storeCalls, s.messages = 0, 0
				const total, step = time.Minute, 5 * time.Millisecond
				for passed := time.Duration(0); passed < total; passed += step {
					if random.Float64() < float64(fleet.demand)*step.Seconds() {
						s.request(s.nodes[random.IntN(len(s.nodes))], benchmarkWorkspace)
					}
					s.advance(step, step)
				}
				b.ReportMetric(float64(s.storeCalls)/total.Seconds(), "store-calls/s")
				b.ReportMetric(float64(s.messages)/total.Seconds(), "messages/s")
			}
		})
	}
}

// BenchmarkQuotaTake measures taking a token from a pool on the request path.
func BenchmarkQuotaTake(b *testing.B) {
	s := NewStage(nil, time.Now, control.NewLoop("bench"), metrics.NewRegistry(), nil)
	s.setWorkspaces(map[string]Limit{benchmarkWorkspace: {}})
	full := &allotment{expiresAt: time.Now().Add(time.Hour)}
	full.left.Store(math.MaxInt64)
	s.currentPools()[benchmarkWorkspace].allotment.Store(full)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if result, _ := s.currentPools()[benchmarkWorkspace].take(time.Now); result != admitted {
				b.Error("a request was not admitted")
			}
		}
	})
}
