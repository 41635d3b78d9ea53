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

// Sizes of the benchmark. They are those of the registry service of the Consorcio, with the
// times scaled up so that one machine can carry the load.
const (
	benchSlots             = 7
	benchMeanWork          = 40 * time.Millisecond // mean of an exponential distribution
	benchLoad              = 0.7                   // share of all slots
	benchTimeout           = 1500 * time.Millisecond
	benchWarmUp            = 2 * time.Second
	benchMeasurement       = 8 * time.Second
	benchEntries           = 2 // in each zone
	benchSeed              = 1
	slowFactor             = 10 // slowdown of the endpoints that the fault slows
	hopDelayInRegion       = 1400 * time.Microsecond
	hopDelayBetweenRegions = 35 * time.Millisecond
	zonesPerRegion         = 2
	benchWorkspaces        = 8
)

// endpointsPerZone holds the number of endpoints in each zone.
var endpointsPerZone = []int{5, 5, 5, 5, 4, 4}

// benchEndpoint is an upstream that counts the requests that arrive while all its slots
// are in use.
type benchEndpoint struct {
	server    *http.Server
	address   string
	slowdown  atomic.Int64 // factor on the time of work
	inFlight  atomic.Int64
	overloads atomic.Int64
	mu        sync.Mutex
	random    *rand.Rand
}

func startBenchEndpoint(b *testing.B, seed uint64) *benchEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	e := &benchEndpoint{address: listener.Addr().String(), random: rand.New(rand.NewPCG(benchSeed, seed))}
	e.slowdown.Store(1)
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
	work := time.Duration(e.random.ExpFloat64() * float64(benchMeanWork))
	e.mu.Unlock()
	select {
	case <-time.After(work * time.Duration(e.slowdown.Load())):
		w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	case <-r.Context().Done():
	}
}

// fleet is the endpoints and entries of all zones. All entries use one routing policy.
type fleet struct {
	zones   [][]*benchEndpoint
	entries [][]call.Stage
}

// routingPolicy creates the stage with which an entry routes calls.
type routingPolicy func(f *fleet, c *configuration.Configuration, zone, entry int) call.Stage

func zoneName(zone int) string { return fmt.Sprint("z", zone) }

// routerPolicy routes with a Router. If owned is false, every entry uses all endpoints of
// its zone.
func routerPolicy(owned bool, options Options) routingPolicy {
	return func(f *fleet, c *configuration.Configuration, zone, entry int) call.Stage {
		random := rand.New(rand.NewPCG(benchSeed, uint64(zone*benchEntries+entry)))
		router := NewWithOptions(fmt.Sprint("i", entry), zoneName(zone), random, metrics.NewRegistry(), options)
		if owned {
			var held []Right
			for key := range EndpointTimeouts(c, zoneName(zone)) {
				if ownership.Preferred(key, []string{"i0", "i1"}) == fmt.Sprint("i", entry) {
					held = append(held, Right{Key: key, SlotDivisor: 1})
				}
			}
			router.SetRights(held, time.Now().Add(time.Hour))
		}
		router.ApplyConfiguration(c)
		return router
	}
}

// baselineStage picks among all endpoints of the zone by its own in-flight counts and picks
// again after a failure.
type baselineStage struct {
	pick     func(counts []int64, requestNumber int) int
	pools    []*upstream.Pool
	inFlight []atomic.Int64
	requests atomic.Int64
}

func baselinePolicy(pick func(counts []int64, requestNumber int) int) routingPolicy {
	return func(f *fleet, _ *configuration.Configuration, zone, _ int) call.Stage {
		stage := &baselineStage{pick: pick, inFlight: make([]atomic.Int64, len(f.zones[zone]))}
		for _, e := range f.zones[zone] {
			stage.pools = append(stage.pools, upstream.NewPool(e.address, benchSlots, 0))
		}
		return stage
	}
}

func roundRobin(counts []int64, requestNumber int) int {
	for i := range counts {
		if n := (requestNumber + i) % len(counts); counts[n] < benchSlots {
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

func (s *baselineStage) Serve(ctx context.Context, c *call.Call) (*call.Result, error) {
	for range defaultMaxAttempts {
		counts := make([]int64, len(s.pools))
		for i := range counts {
			counts[i] = s.inFlight[i].Load()
		}
		n := s.pick(counts, int(s.requests.Add(1)))
		if n < 0 {
			break
		}
		s.inFlight[n].Add(1)
		request := c.Request
		answer, err := s.pools[n].Exchange(ctx, &request)
		s.inFlight[n].Add(-1)
		if err == nil {
			return &call.Result{Answer: answer}, nil
		}
	}
	return nil, noCapacityRefusal(c.Service)
}

func newFleet(b *testing.B, policy routingPolicy) *fleet {
	f := &fleet{}
	endpoints := make(map[string][]string)
	for zone, n := range endpointsPerZone {
		f.zones = append(f.zones, nil)
		for i := range n {
			e := startBenchEndpoint(b, uint64(zone*10+i))
			f.zones[zone] = append(f.zones[zone], e)
			endpoints[zoneName(zone)] = append(endpoints[zoneName(zone)], e.address)
		}
	}
	c := &configuration.Configuration{Revision: 1, Services: map[string]configuration.Service{
		"s": {Name: "s", Slots: benchSlots, Connections: 390, Timeout: benchTimeout, Endpoints: endpoints},
	}}
	for zone := range endpointsPerZone {
		var entries []call.Stage
		for entry := range benchEntries {
			entries = append(entries, policy(f, c, zone, entry))
		}
		f.entries = append(f.entries, entries)
	}
	return f
}

// serve routes a call as the entries do: to the endpoints of the entry itself, of its
// sibling, of the other zone in the region, then of a zone in each other region. In another
// zone the entry that receives the call may hand it over to its sibling.
func (f *fleet) serve(ctx context.Context, zone, entry int, c *call.Call) error {
	var err error
	secondRegionZone := (zone + zonesPerRegion) % len(endpointsPerZone)
	thirdRegionZone := (zone + 2*zonesPerRegion) % len(endpointsPerZone)
	for hop, target := range [][2]int{
		{zone, entry}, {zone, 1 - entry}, {zone ^ 1, entry}, {zone ^ 1, 1 - entry},
		{secondRegionZone, entry}, {secondRegionZone, 1 - entry}, {thirdRegionZone, entry}, {thirdRegionZone, 1 - entry},
	} {
		switch hop {
		case 2:
			time.Sleep(hopDelayInRegion)
		case 4, 6:
			time.Sleep(hopDelayBetweenRegions)
		}
		_, err = f.entries[target[0]][target[1]].Serve(ctx, c)
		var refused *refusal.Refusal
		if err == nil || !errors.As(err, &refused) || refused.Outcome != refusal.NotRun || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// benchResult holds the latencies and failures that callers saw.
type benchResult struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram // in microseconds, failed calls included
	failed  int                     // all failed calls
}

// run sends calls with Poisson arrivals at a rate that keeps benchLoad of all slots busy. It
// injects the fault after the warm-up and measures the calls that follow.
func (f *fleet) run(b *testing.B, injectFault func(f *fleet)) *benchResult {
	random := rand.New(rand.NewPCG(benchSeed, benchSeed))
	endpoints := 0
	for _, n := range endpointsPerZone {
		endpoints += n
	}
	rate := benchLoad * float64(endpoints*benchSlots) / benchMeanWork.Seconds()
	result := &benchResult{latency: hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)}
	var calls sync.WaitGroup
	started := time.Now()
	scheduled := started
	faultInjected := false
	for n := 0; scheduled.Sub(started) < benchWarmUp+benchMeasurement; n++ {
		scheduled = scheduled.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(scheduled))
		if !faultInjected && scheduled.Sub(started) >= benchWarmUp {
			faultInjected = true
			injectFault(f)
		}
		zone, entry, workspace := pickZone(random, endpoints), random.IntN(benchEntries), random.IntN(benchWorkspaces)
		arrived, measured := scheduled, faultInjected
		calls.Go(func() {
			err := f.sendCall(zone, entry, fmt.Sprint("w", workspace), n)
			if measured {
				result.record(time.Since(arrived), err)
			}
		})
	}
	calls.Wait()
	return result
}

// pickZone draws a zone, weighted by its number of endpoints.
func pickZone(random *rand.Rand, endpoints int) int {
	n := random.IntN(endpoints)
	for zone, size := range endpointsPerZone {
		if n < size {
			return zone
		}
		n -= size
	}
	return 0
}

func (f *fleet) sendCall(zone, entry int, workspace string, n int) error {
	deadline := time.Now().Add(benchTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	id := fmt.Sprint(n)
	return f.serve(ctx, zone, entry, &call.Call{
		ID: id, Workspace: workspace, Service: "s", Kind: configuration.Lookup, Deadline: deadline,
		Request: upstream.Request{ID: id, Method: http.MethodGet, Target: "/" + id, Header: http.Header{}},
	})
}

func (r *benchResult) record(latency time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failed++
	}
	_ = r.latency.RecordValue(min(latency.Microseconds(), r.latency.HighestTrackableValue()))
}

func (f *fleet) overloads() int64 {
	sum := int64(0)
	for _, e := range slices.Concat(f.zones...) {
		sum += e.overloads.Load()
	}
	return sum
}

// BenchmarkRouting reports the latencies and refusals that callers see and the overloads of
// endpoints, without and with faults, for the router and the baselines.
func BenchmarkRouting(b *testing.B) {
	faults := []struct {
		name   string
		inject func(f *fleet)
	}{
		{"healthy", func(*fleet) {}},
		{"zone_lost", func(f *fleet) {
			for _, e := range f.zones[0] {
				_ = e.server.Close()
			}
		}},
		{"fifth_slow", func(f *fleet) {
			for _, zone := range f.zones {
				zone[0].slowdown.Store(slowFactor)
			}
		}},
	}
	policies := []struct {
		name string
		make routingPolicy
	}{
		{"router", routerPolicy(true, Options{})},
		{"no_hedging", routerPolicy(true, Options{HedgeBelow: -1})},
		{"no_ownership", routerPolicy(false, Options{})},
		{"round_robin", baselinePolicy(roundRobin)},
		{"least_in_flight", baselinePolicy(leastInFlight)},
	}
	for _, p := range policies {
		for _, fault := range faults {
			b.Run(p.name+"/"+fault.name, func(b *testing.B) {
				for b.Loop() {
					f := newFleet(b, p.make)
					result := f.run(b, fault.inject)
					for _, quantile := range []float64{50, 99, 99.9} {
						b.ReportMetric(float64(result.latency.ValueAtQuantile(quantile))/1000, fmt.Sprintf("p%v_ms", quantile))
					}
					b.ReportMetric(float64(f.overloads()), "overloads")
					b.ReportMetric(float64(result.failed), "refused")
					b.ReportMetric(float64(result.latency.TotalCount()), "requests")
				}
			})
		}
	}
}
