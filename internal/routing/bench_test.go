package routing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/call"
	"lovagescale/internal/configuration"
	"lovagescale/internal/ownership"
	"lovagescale/internal/refusal"
	"lovagescale/internal/upstream"
)

// Sizes of the benchmark: the registry of the Consorcio. Times are scaled up so
// that one machine carries the load.
const (
	benchSlots     = 7
	benchWork      = 40 * time.Millisecond // mean of an exponential distribution
	benchLoad      = 0.7
	benchTimeout   = 1500 * time.Millisecond
	benchWarm      = 2 * time.Second
	benchMeasured  = 8 * time.Second
	benchEntries   = 2 // in each zone
	benchSeed      = 1
	slowFactor     = 10
	hopInRegion    = 1400 * time.Microsecond
	hopOfRegions   = 35 * time.Millisecond
	zonesOfRegion  = 2
	benchWorkspace = 8
)

// benchZones holds the endpoints of each zone.
var benchZones = []int{5, 5, 5, 5, 4, 4}

// benchEndpoint is an upstream that counts arrivals above its slots.
type benchEndpoint struct {
	server    *http.Server
	address   string
	factor    atomic.Int64
	inFlight  atomic.Int64
	overloads atomic.Int64
	mu        sync.Mutex
	random    *rand.Rand
}

func startEndpoint(b *testing.B, seed uint64) *benchEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	e := &benchEndpoint{address: listener.Addr().String(), random: rand.New(rand.NewPCG(benchSeed, seed))}
	e.factor.Store(1)
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	b.Cleanup(func() { _ = e.server.Close() })
	return e
}

func (e *benchEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.inFlight.Add(1) > benchSlots {
		e.overloads.Add(1)
	}
	defer e.inFlight.Add(-1)
	e.mu.Lock()
	work := time.Duration(e.random.ExpFloat64() * float64(benchWork))
	e.mu.Unlock()
	select {
	case <-time.After(work * time.Duration(e.factor.Load())):
		w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	case <-r.Context().Done():
	}
}

// fleet is the entries of all zones with one way to route.
type fleet struct {
	zones   [][]*benchEndpoint
	entries [][]call.Stage
}

// policy makes the stage of an entry.
type policy func(f *fleet, c *configuration.Configuration, zone, entry int) call.Stage

func zoneName(zone int) string { return fmt.Sprint("z", zone) }

// routed is the router, with options and with or without ownership.
func routed(owned bool, options Options) policy {
	return func(f *fleet, c *configuration.Configuration, zone, entry int) call.Stage {
		random := rand.New(rand.NewPCG(benchSeed, uint64(zone*benchEntries+entry)))
		router := NewWithOptions(fmt.Sprint("i", entry), zoneName(zone), random, metrics.NewRegistry(), options)
		if owned {
			var held []Right
			for key := range Endpoints(c, zoneName(zone)) {
				if ownership.Preferred(key, []string{"i0", "i1"}) == fmt.Sprint("i", entry) {
					held = append(held, Right{Key: key, Of: 1})
				}
			}
			router.SetOwned(held, time.Now().Add(time.Hour))
		}
		router.Apply(c)
		return router
	}
}

// plain is a baseline that picks among all endpoints of the zone by its own
// counts, and tries another after a failure.
type plain struct {
	pick     func(counts []int64, turn int) int
	pools    []*upstream.Pool
	inFlight []atomic.Int64
	turn     atomic.Int64
}

func baseline(pick func(counts []int64, turn int) int) policy {
	return func(f *fleet, _ *configuration.Configuration, zone, _ int) call.Stage {
		p := &plain{pick: pick, inFlight: make([]atomic.Int64, len(f.zones[zone]))}
		for _, e := range f.zones[zone] {
			p.pools = append(p.pools, upstream.NewPool(e.address, benchSlots, 0))
		}
		return p
	}
}

func roundRobin(counts []int64, turn int) int {
	for i := range counts {
		if n := (turn + i) % len(counts); counts[n] < benchSlots {
			return n
		}
	}
	return -1
}

func leastInFlight(counts []int64, _ int) int {
	best := 0
	for i := range counts {
		if counts[i] < counts[best] {
			best = i
		}
	}
	if counts[best] >= benchSlots {
		return -1
	}
	return best
}

func (p *plain) Serve(ctx context.Context, c *call.Call) (*call.Result, error) {
	for range defaultMaxTries {
		counts := make([]int64, len(p.pools))
		for i := range counts {
			counts[i] = p.inFlight[i].Load()
		}
		n := p.pick(counts, int(p.turn.Add(1)))
		if n < 0 {
			break
		}
		p.inFlight[n].Add(1)
		request := c.Request
		answer, err := p.pools[n].Exchange(ctx, &request)
		p.inFlight[n].Add(-1)
		if err == nil {
			return &call.Result{Answer: answer}, nil
		}
	}
	return nil, noCapacity(c.Service)
}

func newFleet(b *testing.B, p policy) *fleet {
	f := &fleet{}
	endpoints := make(map[string][]string)
	for zone, n := range benchZones {
		f.zones = append(f.zones, nil)
		for i := range n {
			e := startEndpoint(b, uint64(zone*10+i))
			f.zones[zone] = append(f.zones[zone], e)
			endpoints[zoneName(zone)] = append(endpoints[zoneName(zone)], e.address)
		}
	}
	c := &configuration.Configuration{Revision: 1, Services: map[string]configuration.Service{
		"s": {Name: "s", Slots: benchSlots, Connections: 390, Timeout: benchTimeout, Endpoints: endpoints},
	}}
	for zone := range benchZones {
		var entries []call.Stage
		for entry := range benchEntries {
			entries = append(entries, p(f, c, zone, entry))
		}
		f.entries = append(f.entries, entries)
	}
	return f
}

// serve routes a call like the entries do: own endpoints, the sibling, the
// other zone of the region, then zones of other regions. In another zone the
// entry that receives the call can hand it to its sibling.
func (f *fleet) serve(ctx context.Context, zone, entry int, c *call.Call) error {
	var err error
	second := (zone + zonesOfRegion) % len(benchZones)
	third := (zone + 2*zonesOfRegion) % len(benchZones)
	for hop, at := range [][2]int{
		{zone, entry}, {zone, 1 - entry}, {zone ^ 1, entry}, {zone ^ 1, 1 - entry},
		{second, entry}, {second, 1 - entry}, {third, entry}, {third, 1 - entry},
	} {
		switch hop {
		case 2:
			time.Sleep(hopInRegion)
		case 4, 6:
			time.Sleep(hopOfRegions)
		}
		_, err = f.entries[at[0]][at[1]].Serve(ctx, c)
		var refused *refusal.Refusal
		if err == nil || !errors.As(err, &refused) || refused.Outcome != refusal.NotRun || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// outcome is what callers saw.
type outcome struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	refused int
}

// run sends Poisson arrivals at benchLoad of all slots. The fault strikes after
// the warm-up; what follows is measured.
func (f *fleet) run(b *testing.B, fault func(f *fleet)) *outcome {
	random := rand.New(rand.NewPCG(benchSeed, benchSeed))
	endpoints := 0
	for _, n := range benchZones {
		endpoints += n
	}
	rate := benchLoad * float64(endpoints*benchSlots) / benchWork.Seconds()
	o := &outcome{latency: hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)}
	var calls sync.WaitGroup
	started := time.Now()
	due := started
	struck := false
	for n := 0; due.Sub(started) < benchWarm+benchMeasured; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		if !struck && due.Sub(started) >= benchWarm {
			struck = true
			fault(f)
		}
		zone, entry, workspace := pickZone(random, endpoints), random.IntN(benchEntries), random.IntN(benchWorkspace)
		arrived, measured := due, struck
		calls.Go(func() {
			err := f.one(zone, entry, fmt.Sprint("w", workspace), n)
			if measured {
				o.add(time.Since(arrived), err)
			}
		})
	}
	calls.Wait()
	return o
}

// pickZone draws a zone by its share of the endpoints.
func pickZone(random *rand.Rand, endpoints int) int {
	n := random.IntN(endpoints)
	for zone, size := range benchZones {
		if n < size {
			return zone
		}
		n -= size
	}
	return 0
}

func (f *fleet) one(zone, entry int, workspace string, n int) error {
	deadline := time.Now().Add(benchTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	id := fmt.Sprint(n)
	return f.serve(ctx, zone, entry, &call.Call{
		ID: id, Workspace: workspace, Service: "s", Kind: configuration.Lookup, Deadline: deadline,
		Request: upstream.Request{ID: id, Method: http.MethodGet, Target: "/" + id, Header: http.Header{}},
	})
}

func (o *outcome) add(latency time.Duration, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.refused++
	}
	_ = o.latency.RecordValue(min(latency.Microseconds(), o.latency.HighestTrackableValue()))
}

func (f *fleet) overloads() int64 {
	sum := int64(0)
	for _, e := range slices.Concat(f.zones...) {
		sum += e.overloads.Load()
	}
	return sum
}

// BenchmarkRouting prints the latency that callers see, refusals and overload
// events, healthy and under faults, for the router and the baselines.
func BenchmarkRouting(b *testing.B) {
	faults := []struct {
		name   string
		strike func(f *fleet)
	}{
		{"healthy", func(*fleet) {}},
		{"zone_lost", func(f *fleet) {
			for _, e := range f.zones[0] {
				_ = e.server.Close()
			}
		}},
		{"fifth_slow", func(f *fleet) {
			for _, zone := range f.zones {
				zone[0].factor.Store(slowFactor)
			}
		}},
	}
	policies := []struct {
		name string
		make policy
	}{
		{"router", routed(true, Options{})},
		{"no_hedging", routed(true, Options{HedgeBelow: -1})},
		{"no_ownership", routed(false, Options{})},
		{"round_robin", baseline(roundRobin)},
		{"least_in_flight", baseline(leastInFlight)},
	}
	for _, p := range policies {
		for _, fault := range faults {
			b.Run(p.name+"/"+fault.name, func(b *testing.B) {
				for b.Loop() {
					f := newFleet(b, p.make)
					o := f.run(b, fault.strike)
					for _, q := range []float64{50, 99, 99.9} {
						b.ReportMetric(float64(o.latency.ValueAtQuantile(q))/1000, fmt.Sprintf("p%v_ms", q))
					}
					b.ReportMetric(float64(f.overloads()), "overloads")
					b.ReportMetric(float64(o.refused), "refused")
					b.ReportMetric(float64(o.latency.TotalCount()), "requests")
				}
			})
		}
	}
}
