package edge

import (
	"sync"
	"time"

	"lovagescale/internal/allowance"
	"lovagescale/internal/fleet"
)

// usualSmoothing is the weight of one more answer in the usual durations.
const usualSmoothing = 0.03

// serviceSmoothing is the weight of one more round in the service times.
const serviceSmoothing = 0.2

// firstServiceTime is assumed of an upstream before its first answer.
const firstServiceTime = 250 * time.Millisecond

// usual is what answers usually take, and how many requests arrive. It is safe
// for concurrent use.
type usual struct {
	mu       sync.Mutex
	tries    map[usualKey]float64 // seconds
	services map[string]*service
	arrivals map[arrivalKey]*allowance.RateMeter
}

// service is the answers of an upstream's endpoints in the instance's region.
type service struct {
	answers, busy allowance.RateMeter
	// seconds is what an answer takes over all instances, 0 before the first one.
	seconds float64
}

// arrivalKey names a demand: requests to an upstream that may run anywhere, or,
// with a region, those that must run there.
type arrivalKey struct{ upstream, region string }

type usualKey struct{ route, region string }

func newUsual() *usual {
	return &usual{
		tries:    make(map[usualKey]float64),
		services: make(map[string]*service),
		arrivals: make(map[arrivalKey]*allowance.RateMeter),
	}
}

// pace takes the duration of an answer and returns it as a multiple of the usual
// one for the route and the endpoint's region.
func (u *usual) pace(upstream, route, region string, near bool, took time.Duration) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := usualKey{route, region}
	if near {
		s := u.service(upstream)
		s.answers.Count()
		s.busy.Add(took.Seconds())
	}
	before := u.tries[key]
	u.tries[key] = smooth(before, took.Seconds())
	if before <= 0 {
		return 1
	}
	return took.Seconds() / before
}

func smooth(average, sample float64) float64 { return smoothBy(usualSmoothing, average, sample) }

// smoothBy moves an average, 0 before its first sample, towards a sample.
func smoothBy(weight, average, sample float64) float64 {
	if average <= 0 {
		return sample
	}
	return average + weight*(sample-average)
}

// service must be called with the lock held.
func (u *usual) service(upstream string) *service {
	s, found := u.services[upstream]
	if !found {
		s = &service{}
		u.services[upstream] = s
	}
	return s
}

// serviceTime returns what a request to the upstream takes at an endpoint.
func (u *usual) serviceTime(upstream string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s, found := u.services[upstream]; found && s.seconds > 0 {
		return time.Duration(s.seconds * float64(time.Second))
	}
	return firstServiceTime
}

// served returns the answers that are worth telling.
func (u *usual) served() []fleet.UpstreamResponses {
	u.mu.Lock()
	defer u.mu.Unlock()
	var told []fleet.UpstreamResponses
	for name, s := range u.services {
		if s.answers.Rate() >= demandResolution {
			told = append(told, fleet.UpstreamResponses{Upstream: name, Rate: float32(s.answers.Rate()), Busy: float32(s.busy.Rate())})
		}
	}
	return told
}

// learn takes the answers of the other instances.
func (u *usual) learn(others map[string]fleet.UpstreamResponses) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name := range others {
		u.service(name)
	}
	for name, s := range u.services {
		answers := s.answers.Rate() + float64(others[name].Rate)
		busy := s.busy.Rate() + float64(others[name].Busy)
		if answers >= demandResolution && busy > 0 {
			s.seconds = smoothBy(serviceSmoothing, s.seconds, busy/answers)
		}
	}
}

// estimate returns what an answer to the route takes from a region.
func (u *usual) estimate(upstream, route, region string) time.Duration {
	u.mu.Lock()
	seconds := u.tries[usualKey{route, region}]
	u.mu.Unlock()
	if seconds > 0 {
		return time.Duration(seconds * float64(time.Second))
	}
	return u.serviceTime(upstream)
}

// arrived counts a request; region is where it must run, or "".
func (u *usual) arrived(upstream, region string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := arrivalKey{upstream, region}
	meter, found := u.arrivals[key]
	if !found {
		meter = &allowance.RateMeter{}
		u.arrivals[key] = meter
	}
	meter.Count()
}

// tick ends a period of measuring.
func (u *usual) tick(elapsed time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, meter := range u.arrivals {
		meter.Tick(elapsed)
	}
	for _, s := range u.services {
		s.answers.Tick(elapsed)
		s.busy.Tick(elapsed)
	}
}

// demand returns the arrivals that are worth telling.
func (u *usual) demand() []fleet.UpstreamDemand {
	u.mu.Lock()
	defer u.mu.Unlock()
	var told []fleet.UpstreamDemand
	for key, meter := range u.arrivals {
		if meter.Rate() >= demandResolution {
			told = append(told, fleet.UpstreamDemand{Upstream: key.upstream, Region: key.region, Rate: float32(meter.Rate())})
		}
	}
	return told
}
