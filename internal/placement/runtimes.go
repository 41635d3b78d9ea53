package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// runTimeSmoothing is the least weight of a run in the averages of the run times.
	runTimeSmoothing = 0.02
	// maxRunTimeStep bounds how much longer than the average of first runs a run counts,
	// as a factor. A run of the heavy tail would otherwise move it far.
	maxRunTimeStep = 2
	// minFirstRunRatio is the ratio of the averages from which the long runs of a route are
	// taken for first runs.
	minFirstRunRatio = 1.5
)

// Expectation holds the times that are expected for a request while no other is waiting.
// They include the network.
type Expectation struct {
	// Warm is the time at an endpoint that has recently run a request for the object,
	// First that at any other, Mean the mean over all runs.
	Warm, First, Mean time.Duration
}

// RunTimes learns the run times of routes from durations. Endpoints do not state whether a
// run was a first run, so the runs of a route are divided into short and long ones, at the
// geometric mean of the averages of both. It is safe for concurrent use.
type RunTimes struct {
	mu     sync.Mutex
	routes map[runKey]*runTimes
}

type runKey struct {
	Serving
	route string
}

// runTimes are the averages of a route's runs in one region: the logarithms of seconds of
// short and long runs, and the mean in seconds.
type runTimes struct {
	short, long         float64
	shortRuns, longRuns int
	mean                float64
}

// NewRunTimes returns run times without any runs.
func NewRunTimes() *RunTimes { return &RunTimes{routes: make(map[runKey]*runTimes)} }

// Observe records the duration of a run, with the load that the endpoint reported in its
// answer. Runs that may have waited at the endpoint tell nothing of the work; without a
// speed the machine counts as fast as usual. It reports whether the run is taken for a first run.
func (t *RunTimes) Observe(serving Serving, route string, took time.Duration, load ReportedLoad) (first bool) {
	if took <= 0 || load.Waiting > 0 {
		return false
	}
	seconds := took.Seconds()
	if load.Speed > 0 {
		seconds *= UsualSpeed / float64(load.Speed)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := runKey{serving, route}
	r, found := t.routes[key]
	if !found {
		r = &runTimes{short: math.Log(seconds), long: math.Log(seconds)}
		t.routes[key] = r
	}
	return r.observe(seconds)
}

func (r *runTimes) observe(seconds float64) bool {
	r.mean += runWeight(r.shortRuns+r.longRuns) * (seconds - r.mean)
	x := math.Log(seconds)
	if x < (r.short+r.long)/2 || r.shortRuns == 0 {
		r.short += runWeight(r.shortRuns) * (x - r.short)
		r.long = math.Max(r.long, r.short)
		r.shortRuns++
		return false
	}
	r.long += runWeight(r.longRuns) * (math.Min(x, r.long+math.Log(maxRunTimeStep)) - r.long)
	r.longRuns++
	return r.long-r.short > math.Log(minFirstRunRatio)
}

// runWeight returns the weight of a run after the given number of runs.
func runWeight(runs int) float64 { return math.Max(1/float64(runs+1), runTimeSmoothing) }

// Expect returns the times that are expected for a request, or false before the first run.
func (t *RunTimes) Expect(serving Serving, route string) (Expectation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, found := t.routes[runKey{serving, route}]
	if !found {
		return Expectation{}, false
	}
	return Expectation{Warm: toDuration(math.Exp(r.short)), First: toDuration(math.Exp(r.long)), Mean: toDuration(r.mean)}, true
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
