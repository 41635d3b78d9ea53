package edge

import (
	"sync"
	"time"

	"lovagescale/internal/allowance"
)

// usualSmoothing is the weight of one more answer in the usual durations.
const usualSmoothing = 0.03

// firstServiceTime is assumed of an upstream before its first answer.
const firstServiceTime = 250 * time.Millisecond

// usual is what answers usually take, and how many requests arrive. It is safe
// for concurrent use.
type usual struct {
	mu       sync.Mutex
	tries    map[usualKey]float64 // seconds
	services map[string]float64   // seconds, in the instance's own region
	arrivals map[string]*allowance.Meter
}

type usualKey struct{ route, region string }

func newUsual() *usual {
	return &usual{
		tries:    make(map[usualKey]float64),
		services: make(map[string]float64),
		arrivals: make(map[string]*allowance.Meter),
	}
}

// pace takes the duration of an answer and returns it as a multiple of the usual
// one for the route and the endpoint's region.
func (u *usual) pace(upstream, route, region string, near bool, took time.Duration) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := usualKey{route, region}
	if near {
		u.services[upstream] = smooth(u.services[upstream], took.Seconds())
	}
	before := u.tries[key]
	u.tries[key] = smooth(before, took.Seconds())
	if before <= 0 {
		return 1
	}
	return took.Seconds() / before
}

func smooth(average, sample float64) float64 {
	if average <= 0 {
		return sample
	}
	return average + usualSmoothing*(sample-average)
}

// serviceTime returns what a request to the upstream takes at an endpoint.
func (u *usual) serviceTime(upstream string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if seconds := u.services[upstream]; seconds > 0 {
		return time.Duration(seconds * float64(time.Second))
	}
	return firstServiceTime
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

// arrived counts a request.
func (u *usual) arrived(upstream string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	meter, found := u.arrivals[upstream]
	if !found {
		meter = &allowance.Meter{}
		u.arrivals[upstream] = meter
	}
	meter.Count()
}

// tick ends a period and returns the arrivals per second.
func (u *usual) tick(elapsed time.Duration) map[string]float64 {
	u.mu.Lock()
	for _, meter := range u.arrivals {
		meter.Tick(elapsed)
	}
	u.mu.Unlock()
	return u.demand()
}

// demand returns the arrivals per second by upstream.
func (u *usual) demand() map[string]float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	rates := make(map[string]float64, len(u.arrivals))
	for name, meter := range u.arrivals {
		rates[name] = meter.Rate()
	}
	return rates
}
