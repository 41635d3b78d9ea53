// Package trafficstats measures the traffic of one instance: how long answers usually take,
// by route and region, how long an endpoint takes for a request, and how many requests
// arrive for each upstream. It knows what the other instances measured only as far as they
// report it.
//
// Failure modes: before the first answers it returns assumed times. Rates below
// fleet.MinReportedRate are not reported.
package trafficstats

import (
	"sync"
	"time"

	"lovagescale/internal/allowance"
	"lovagescale/internal/fleet"
)

// durationSmoothing is the weight of an answer in the moving averages of the durations.
const durationSmoothing = 0.03

// serviceTimeSmoothing is the weight of a tick in the moving averages of the service
// times.
const serviceTimeSmoothing = 0.2

// initialServiceTime is the assumed service time of an upstream before its first
// answer.
const initialServiceTime = 250 * time.Millisecond

// Stats holds the usual durations of answers, which are moving averages, and the
// arrival rates of requests. It is safe for concurrent use.
type Stats struct {
	mu        sync.Mutex
	durations map[routeKey]float64 // seconds
	upstreams map[string]*upstreamStats
	arrivals  map[arrivalKey]*allowance.RateMeter
	// callers are the answers by the region of the endpoints.
	callers map[callersKey]*callersStats
}

// upstreamStats describes the answers of an upstream's endpoints in the instance's own
// region.
type upstreamStats struct {
	// answers counts the answers, busy adds up their durations in seconds.
	answers, busy allowance.RateMeter
	// serviceSeconds is the service time over all instances, or 0 before the first
	// answer.
	serviceSeconds float64
}

// arrivalKey identifies an arrival rate: that of requests to an upstream that may run
// anywhere, or, with a region, of those that must run there.
type arrivalKey struct{ upstream, region string }

type routeKey struct{ route, region string }

// New returns the stats of an instance that has had no requests.
func New() *Stats {
	return &Stats{
		durations: make(map[routeKey]float64),
		upstreams: make(map[string]*upstreamStats),
		arrivals:  make(map[arrivalKey]*allowance.RateMeter),
		callers:   make(map[callersKey]*callersStats),
	}
}

// RecordAnswer records the duration of an answer. local is set if the endpoint is in
// the instance's own region. It returns the duration divided by the usual one for the
// route and the endpoint's region, or 1 for the first answer.
func (t *Stats) RecordAnswer(upstream, route, region string, local bool, took time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := routeKey{route, region}
	if local {
		s := t.upstream(upstream)
		s.answers.Count()
		s.busy.Add(took.Seconds())
	}
	t.callersOf(upstream, region).record(route, local, took)
	usualSeconds := t.durations[key]
	t.durations[key] = smooth(usualSeconds, took.Seconds())
	if usualSeconds <= 0 {
		return 1
	}
	return took.Seconds() / usualSeconds
}

func smooth(average, sample float64) float64 { return smoothBy(durationSmoothing, average, sample) }

// smoothBy moves a moving average towards a sample. An average of 0 has no sample yet.
func smoothBy(weight, average, sample float64) float64 {
	if average <= 0 {
		return sample
	}
	return average + weight*(sample-average)
}

// upstream returns the stats of an upstream. The caller must hold t.mu.
func (t *Stats) upstream(name string) *upstreamStats {
	s, found := t.upstreams[name]
	if !found {
		s = &upstreamStats{}
		t.upstreams[name] = s
	}
	return s
}

// ServiceTime returns how long an endpoint of the upstream takes for a request.
func (t *Stats) ServiceTime(upstream string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, found := t.upstreams[upstream]; found && s.serviceSeconds > 0 {
		return time.Duration(s.serviceSeconds * float64(time.Second))
	}
	return initialServiceTime
}

// UpstreamAnswers returns the answers to report to other instances.
func (t *Stats) UpstreamAnswers() []fleet.UpstreamAnswers {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reported []fleet.UpstreamAnswers
	for name, s := range t.upstreams {
		if s.answers.Rate() >= fleet.MinReportedRate {
			reported = append(reported, fleet.UpstreamAnswers{Upstream: name, Rate: float32(s.answers.Rate()), Busy: float32(s.busy.Rate())})
		}
	}
	return reported
}

// UpdateServiceTimes updates the service times from this instance's answers and those
// of the other instances.
func (t *Stats) UpdateServiceTimes(others map[string]fleet.UpstreamAnswers) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range others {
		t.upstream(name)
	}
	for name, s := range t.upstreams {
		answers := s.answers.Rate() + float64(others[name].Rate)
		busy := s.busy.Rate() + float64(others[name].Busy)
		if answers >= fleet.MinReportedRate && busy > 0 {
			s.serviceSeconds = smoothBy(serviceTimeSmoothing, s.serviceSeconds, busy/answers)
		}
	}
}

// RecordArrival counts a request. region is the region in which it must run, or "" if any
// will do.
func (t *Stats) RecordArrival(upstream, region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := arrivalKey{upstream, region}
	meter, found := t.arrivals[key]
	if !found {
		meter = &allowance.RateMeter{}
		t.arrivals[key] = meter
	}
	meter.Count()
}

// Tick ends a measuring period.
func (t *Stats) Tick(elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, meter := range t.arrivals {
		meter.Tick(elapsed)
	}
	for _, s := range t.upstreams {
		s.answers.Tick(elapsed)
		s.busy.Tick(elapsed)
	}
	for _, c := range t.callers {
		c.answers.Tick(elapsed)
		c.busy.Tick(elapsed)
	}
}

// UpstreamDemand returns the arrival rates to report to other instances.
func (t *Stats) UpstreamDemand() []fleet.UpstreamDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reported []fleet.UpstreamDemand
	for key, meter := range t.arrivals {
		if meter.Rate() >= fleet.MinReportedRate {
			reported = append(reported, fleet.UpstreamDemand{Upstream: key.upstream, Region: key.region, Rate: float32(meter.Rate())})
		}
	}
	return reported
}
