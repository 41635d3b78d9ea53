// Package trafficstats measures the traffic of one instance: how long answers usually take,
// by route and region, how long an endpoint takes for a request, and how many requests
// arrive for each upstream. It knows what the other instances measured only as far as they
// report it.
//
// Failure modes: before the first answers it returns assumed times. Rates below
// fleet.MinReportedRate are not reported.
package trafficstats

import (
	"math"
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
	arrivals  map[arrivalKey]*arrivals
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

// arrivals are the requests of a key.
type arrivals struct {
	rate allowance.RateMeter
	// runs is the number of requests that ended, slotSeconds the moving average of the time
	// for which they occupied slots.
	runs        int
	slotSeconds float64
}

type routeKey struct{ route, region string }

// New returns the stats of an instance that has had no requests.
func New() *Stats {
	return &Stats{
		durations: make(map[routeKey]float64),
		upstreams: make(map[string]*upstreamStats),
		arrivals:  make(map[arrivalKey]*arrivals),
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
	t.arrivalsOf(upstream, region).rate.Count()
}

// arrivalsOf returns the arrivals of a key. The caller must hold t.mu.
func (t *Stats) arrivalsOf(upstream, region string) *arrivals {
	key := arrivalKey{upstream, region}
	a, found := t.arrivals[key]
	if !found {
		a = &arrivals{}
		t.arrivals[key] = a
	}
	return a
}

// minSlotTimeWeight is the least weight of a request in the moving average of slot times.
const minSlotTimeWeight = 0.03

// RecordSlotTime records for how long a request occupied a slot, answered or not. region is
// the region in which it had to run.
func (t *Stats) RecordSlotTime(upstream, region string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.arrivalsOf(upstream, region)
	a.runs++
	a.slotSeconds += math.Max(1/float64(a.runs), minSlotTimeWeight) * (took.Seconds() - a.slotSeconds)
}

// PinnedSlotTime returns for how long requests that must run in a region usually occupy a
// slot, answered or not, or 0 before the first one.
func (t *Stats) PinnedSlotTime(upstream, region string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, found := t.arrivals[arrivalKey{upstream, region}]
	if !found {
		return 0
	}
	return time.Duration(a.slotSeconds * float64(time.Second))
}

// relativeCost returns the slots that the requests occupy, relative to as many usual requests
// of the upstream. The caller must hold t.mu.
func (t *Stats) relativeCost(upstream string, a *arrivals) float64 {
	s, found := t.upstreams[upstream]
	if !found || s.serviceSeconds <= 0 || a.runs == 0 {
		return 1
	}
	return a.slotSeconds / s.serviceSeconds
}

// Tick ends a measuring period.
func (t *Stats) Tick(elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.arrivals {
		a.rate.Tick(elapsed)
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

// UpstreamDemand returns the arrival rates to report to other instances. Requests that must
// run in a region count by the slots that they occupy there, in usual requests: their objects
// are often unknown to the endpoints, so that they take several times as long, and those that
// expire occupy a slot until then.
func (t *Stats) UpstreamDemand() []fleet.UpstreamDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reported []fleet.UpstreamDemand
	for key, a := range t.arrivals {
		rate := a.rate.Rate()
		if rate < fleet.MinReportedRate {
			continue
		}
		if key.region != "" {
			rate *= t.relativeCost(key.upstream, a)
		}
		reported = append(reported, fleet.UpstreamDemand{Upstream: key.upstream, Region: key.region, Rate: float32(rate)})
	}
	return reported
}
