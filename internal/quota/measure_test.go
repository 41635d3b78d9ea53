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

// measureSeed draws the arrivals and choices of all measurements.
const measureSeed = 1

// load is one run of demand against the cores, one true bucket and an even
// split over the entries.
type load struct {
	world   *world
	random  *rand.Rand
	limit   Limit
	truth   *oracle
	split   map[*node]*oracle
	offered int
	// splitRefused counts what the even split refuses and the true bucket admits.
	splitRefused int
	trueRefused  int
}

const (
	measureZones   = 6
	measurePerZone = 2
	measureName    = "azul"
)

// regionLatency is 1 ms within a region of two zones and 28 ms between regions.
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

func newLoad(limits map[string]Limit, seed uint64) *load {
	random := rand.New(rand.NewPCG(seed, seed))
	l := &load{random: random, limit: limits[measureName], split: make(map[*node]*oracle)}
	l.world = newWorld(Options{}, measureZones, measurePerZone, limits, random.IntN)
	l.world.latency = regionLatency
	const settle = 40 * time.Second
	l.world.advance(settle, 25*time.Millisecond)
	l.truth = l.bucket(1)
	for _, n := range l.world.nodes {
		l.split[n] = l.bucket(len(l.world.nodes))
	}
	return l
}

func (l *load) bucket(parts int) *oracle {
	part := Limit{Rate: l.limit.Rate / float64(parts), Burst: l.limit.Burst / float64(parts)}
	o := &oracle{level: part.Burst, at: l.world.now}
	o.use(part, l.world.now.Add(time.Hour))
	return o
}

// run offers Poisson arrivals for a time to the entries of the zone that
// zoneAt names.
func (l *load) run(total time.Duration, rate float64, zoneAt func(passed time.Duration) int) {
	const step = 5 * time.Millisecond
	for passed := time.Duration(0); passed < total; passed += step {
		for range l.poisson(rate * step.Seconds()) {
			n := l.world.nodes[zoneAt(passed)*measurePerZone+l.random.IntN(measurePerZone)]
			l.offered++
			within := l.truth.take(l.world.now)
			if !within {
				l.trueRefused++
			}
			if !l.split[n].take(l.world.now) && within {
				l.splitRefused++
			}
			l.world.request(n, measureName)
		}
		l.world.advance(step, step)
	}
	l.world.advance(2*time.Second, step)
}

// poisson returns a number of arrivals with the mean.
func (l *load) poisson(mean float64) int {
	limit, product, count := math.Exp(-mean), l.random.Float64(), 0
	for product > limit {
		product *= l.random.Float64()
		count++
	}
	return count
}

func (l *load) report(b *testing.B) {
	if l.world.violation != "" {
		b.Fatal(l.world.violation)
	}
	refused := max(0, l.world.refusedOf[measureName]-l.trueRefused)
	b.ReportMetric(100*float64(refused)/float64(l.offered), "%false-refusals")
	b.ReportMetric(100*float64(l.splitRefused)/float64(l.offered), "%even-split")
	b.ReportMetric(float64(l.offered), "offered")
}

func oneZone(time.Duration) int { return 0 }

func moving(passed time.Duration) int { return int(passed/(5*time.Second)) % measureZones }

// BenchmarkQuotaFalseRefusals measures refusals within the rate at 90% of it,
// beside those of a static even split for the same arrivals.
func BenchmarkQuotaFalseRefusals(b *testing.B) {
	const rate, total = 180, 2 * time.Minute
	for _, run := range []struct {
		name   string
		burst  float64
		outage bool
		zoneAt func(time.Duration) int
	}{
		{"OneZone", 400, false, oneZone},
		{"MovingEvery5s", 400, false, moving},
		{"StoreOutage", 400, true, oneZone},
		{"StoreOutageMoving", 400, true, moving},
		{"Burst1s", 200, false, oneZone},
		{"BurstQuarterSecond", 50, false, oneZone},
	} {
		for seed := uint64(1); seed <= 3; seed++ {
			b.Run(fmt.Sprintf("%s/Seed%d", run.name, seed), func(b *testing.B) {
				for b.Loop() {
					l := newLoad(map[string]Limit{measureName: {Rate: 200, Burst: run.burst}}, seed)
					l.world.storeDown = run.outage
					l.run(total, rate, run.zoneAt)
					l.report(b)
				}
			})
		}
	}
}

// BenchmarkQuotaTick measures the periodic work of an entry by workspaces.
func BenchmarkQuotaTick(b *testing.B) {
	for _, workspaces := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("Workspaces%d", workspaces), func(b *testing.B) {
			limits := make(map[string]Limit)
			for i := range workspaces {
				limits[fmt.Sprintf("workspace-%d", i)] = Limit{Rate: 10, Burst: 20}
			}
			w := newWorld(Options{}, 2, 1, limits, rand.New(rand.NewPCG(measureSeed, measureSeed)).IntN)
			w.advance(40*time.Second, 25*time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				w.now = w.now.Add(25 * time.Millisecond)
				w.nodes[0].core.Tick(w.now, 25*time.Millisecond)
			}
		})
	}
}

// BenchmarkQuotaMemory measures the state of an idle workspace at an entry that
// holds all parts.
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
		c := loneCore()
		c.Configure(start, Limits{Revision: 2, Zones: 1, Workspaces: limits})
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/workspaces, "B/workspace")
		runtime.KeepAlive(c)
	}
}

// BenchmarkQuotaNoisyWorkspace compares the refusals of one workspace with and
// without another that sends five times its rate.
func BenchmarkQuotaNoisyWorkspace(b *testing.B) {
	for _, noise := range []int{0, 5} {
		b.Run(fmt.Sprintf("Times%d", noise), func(b *testing.B) {
			for b.Loop() {
				l := newLoad(map[string]Limit{measureName: {Rate: 200, Burst: 400}, "verde": {Rate: 200, Burst: 400}}, measureSeed)
				const step = 5 * time.Millisecond // one request per step is the rate
				for range 12 {
					l.run(time.Second, 180, oneZone)
					for range int(4 * time.Second / step) {
						for i := range noise {
							l.world.request(l.world.nodes[i], "verde")
						}
						l.world.advance(step, step)
					}
				}
				l.report(b)
				b.ReportMetric(float64(l.world.refusedOf["verde"]), "noisy-refused")
			}
		})
	}
}

// BenchmarkQuotaControlCost counts calls of the store and messages of idle
// fleets and of one with demand.
func BenchmarkQuotaControlCost(b *testing.B) {
	for _, size := range []struct{ zones, perZone, demand int }{
		{3, 2, 0}, {6, 2, 0}, {12, 2, 0}, {6, 8, 0}, {6, 32, 0}, {6, 2, 180}, {6, 8, 180},
	} {
		b.Run(fmt.Sprintf("Zones%dEntries%dDemand%d", size.zones, size.zones*size.perZone, size.demand), func(b *testing.B) {
			for b.Loop() {
				random := rand.New(rand.NewPCG(measureSeed, measureSeed))
				w := newWorld(Options{}, size.zones, size.perZone, map[string]Limit{measureName: {Rate: 200, Burst: 400}}, random.IntN)
				w.latency = regionLatency
				w.advance(90*time.Second, 25*time.Millisecond)
				w.storeCalls, w.messages = 0, 0
				const total, step = time.Minute, 5 * time.Millisecond
				for passed := time.Duration(0); passed < total; passed += step {
					if random.Float64() < float64(size.demand)*step.Seconds() {
						w.request(w.nodes[random.IntN(len(w.nodes))], measureName)
					}
					w.advance(step, step)
				}
				b.ReportMetric(float64(w.storeCalls)/total.Seconds(), "store-calls/s")
				b.ReportMetric(float64(w.messages)/total.Seconds(), "messages/s")
			}
		})
	}
}

// BenchmarkQuotaTake measures a charge on the request path.
func BenchmarkQuotaTake(b *testing.B) {
	s := New(nil, time.Now, control.NewLoop("bench"), metrics.NewRegistry(), nil)
	s.keep(map[string]Limit{measureName: {}})
	full := &cell{expiresAt: time.Now().Add(time.Hour)}
	full.left.Store(math.MaxInt64)
	s.all()[measureName].cell.Store(full)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if v, _ := s.all()[measureName].take(time.Now); v != admitted {
				b.Error("a request was not admitted")
			}
		}
	})
}
