// Package hedge decides after which time a request that still runs at one endpoint gets a
// second attempt at another one: the time by which most runs of its route end. A run that
// takes longer is likely to be at a slow machine or one of the heavy tail, so that an attempt
// elsewhere may end sooner.
//
// Whether an endpoint has a free slot for the second attempt is decided by package placement,
// whether there is a retry left by package allowance.
//
// Failure modes: before minSamples runs of a route there are no second attempts. When all
// runs become longer at once, too many are over the delay until the histogram has followed;
// the retry budget and the utilization limit bound the second attempts meanwhile.
package hedge

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// quantile is the fraction of the runs that end before the delay.
	quantile = 0.95
	// leastQuantile is the one for a second attempt that would otherwise end after the route's
	// objective. It leaves room for routes on which up to a third of the runs are long; the
	// retry budget bounds the second attempts there.
	leastQuantile = 0.7
	// secondFactor is the time left within the objective for a second attempt, as a multiple of
	// its usual time. Less leaves no time for a short wait at the second endpoint, more sends
	// requests twice that would have ended by themselves.
	secondFactor = 1.5
	// warmFactor is the least delay as a multiple of the usual time of warm runs. In a route
	// whose runs differ little, the quantile alone would be close to the usual time, and the
	// second attempt would end after the first one.
	warmFactor = 1.5
	// minDelay is the least delay. Below it a delay of the scheduler is enough to exceed the
	// quantile.
	minDelay = 10 * time.Millisecond
	// minSamples is the number of runs before which the quantile is not known: three of
	// them are beyond it.
	minSamples = 60
	// maxSamples is the number of runs at which all counts are halved, so that old runs lose
	// their weight.
	maxSamples = 512
	// updateEvery is the number of runs between two computations of the quantile.
	updateEvery = 8
)

// Buckets of the histogram. Each is 2^(1/8), or 9%, wider than the one before.
const (
	bucketsPerDoubling = 8
	doublings          = 16
	shortestRun        = time.Millisecond
)

// Key identifies the runs that are measured together. Runs in another region contain the
// latency between the regions.
type Key struct{ Upstream, Route, Region string }

// Policy holds the durations of the routes' runs. It is safe for concurrent use.
type Policy struct {
	mu     sync.Mutex
	routes map[Key]*histogram
}

// NewPolicy returns a policy that knows no runs.
func NewPolicy() *Policy { return &Policy{routes: make(map[Key]*histogram)} }

// Observe records the duration of a run. The duration of a run that was cancelled after the
// delay, or that reached its deadline, is the time until then.
func (p *Policy) Observe(key Key, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, found := p.routes[key]
	if !found {
		h = &histogram{}
		p.routes[key] = h
	}
	h.add(took)
}

// Expectation holds the times that bound the delay of a request; 0 if unknown.
type Expectation struct {
	// Warm is the usual time of a run at an endpoint that has recently run a request for the
	// object, Second that of a run at the endpoint of a second attempt.
	Warm, Second time.Duration
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
}

// Delay returns the time after which a request that still runs may get a second attempt, or
// false if too few runs are known. It is the quantile, or an earlier time if a second attempt
// would end within the objective only then.
func (p *Policy) Delay(key Key, expected Expectation) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, found := p.routes[key]
	if !found || h.samples < minSamples {
		return 0, false
	}
	delay := h.quantile
	if latest := expected.Objective - multiply(expected.Second, secondFactor); latest >= h.leastQuantile {
		delay = min(delay, latest)
	}
	return max(delay, multiply(expected.Warm, warmFactor), minDelay), true
}

func multiply(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// Description describes a route's runs in the dump for operators.
type Description struct {
	Upstream       string `json:"upstream"`
	Route          string `json:"route"`
	Region         string `json:"region"`
	Samples        int    `json:"samples"`
	QuantileMillis int64  `json:"quantile_ms"`
}

// Describe returns the quantiles of all routes for the dump, in order.
func (p *Policy) Describe() []Description {
	p.mu.Lock()
	defer p.mu.Unlock()
	descriptions := make([]Description, 0, len(p.routes))
	for key, h := range p.routes {
		descriptions = append(descriptions, Description{key.Upstream, key.Route, key.Region, h.samples, h.quantile.Milliseconds()})
	}
	slices.SortFunc(descriptions, func(a, b Description) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Region, b.Region))
	})
	return descriptions
}

// histogram counts runs by the logarithm of their duration.
type histogram struct {
	counts  [bucketsPerDoubling * doublings]uint16
	samples int
	// sinceUpdate counts the runs since the quantiles were computed.
	sinceUpdate             int
	quantile, leastQuantile time.Duration
}

func (h *histogram) add(took time.Duration) {
	h.counts[bucketOf(took)]++
	h.samples++
	if h.samples >= maxSamples {
		h.halve()
	}
	if h.sinceUpdate++; h.sinceUpdate >= updateEvery {
		h.sinceUpdate = 0
		h.quantile, h.leastQuantile = h.computeQuantile(quantile), h.computeQuantile(leastQuantile)
	}
}

func (h *histogram) halve() {
	h.samples = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.samples += int(h.counts[i])
	}
}

func (h *histogram) computeQuantile(fraction float64) time.Duration {
	beyond := float64(h.samples) * (1 - fraction)
	for i := len(h.counts) - 1; i >= 0; i-- {
		if beyond -= float64(h.counts[i]); beyond < 0 {
			return upperBound(i)
		}
	}
	return upperBound(0)
}

func bucketOf(took time.Duration) int {
	if took <= shortestRun {
		return 0
	}
	i := int(bucketsPerDoubling * math.Log2(float64(took)/float64(shortestRun)))
	return min(i, bucketsPerDoubling*doublings-1)
}

// upperBound returns the duration at which a bucket ends.
func upperBound(bucket int) time.Duration {
	return time.Duration(float64(shortestRun) * math.Exp2(float64(bucket+1)/bucketsPerDoubling))
}
