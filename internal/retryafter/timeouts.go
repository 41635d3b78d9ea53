package retryafter

import (
	"slices"
	"time"
)

// Origin tells whether a request is a caller's first one.
type Origin uint8

// The origins of a request.
const (
	// Unknown is a request without a timeout, on a route whose callers use differing
	// timeouts, or with a timeout that neither a first request nor one that returns in a
	// promised time has.
	Unknown Origin = iota
	// New is a first request, or a repeat so soon that it cannot be told from one.
	New
	// Early is a request that returns sooner than any promise.
	Early
	// Returning is a request that returns in a time that was promised.
	Returning
)

var originNames = [...]string{"unknown", "new", "early", "returning"}

// String returns the origin's name.
func (o Origin) String() string { return originNames[o] }

// Parameters of the recognition of returns by their timeouts.
const (
	// timeoutSamples is the number of last timeouts of a route that are kept.
	timeoutSamples = 128
	// minTimeoutSamples is the number of timeouts without which nothing is recognised.
	minTimeoutSamples = 32
	// samplesPerUpdate is the number of requests between two updates of the usual timeout.
	samplesPerUpdate = 16
	// timeoutTolerance is the difference between timeouts that count as equal. Callers
	// subtract what they spend before they send.
	timeoutTolerance = 25 * time.Millisecond
	// minUsualFraction is the fraction of the requests that must have the usual timeout.
	// Callers that return once leave at least half of them.
	minUsualFraction = 0.35
	// maxForeignFraction is the fraction of the requests whose timeouts neither first
	// requests nor returns can have.
	maxForeignFraction = 0.05
	// returnsPerRefusal and extraReturns bound the shorter timeouts by the refusals of
	// the route. More of them are first requests with other timeouts. Callers return to
	// any instance, so that the numbers of one instance differ by chance.
	returnsPerRefusal = 1.25
	extraReturns      = 16
	// countDecay is what the counts of refusals and returns are multiplied by at an
	// update, so that they cover some 160 requests.
	countDecay = 0.9
)

// timeouts are the timeouts that callers of one route stated.
type timeouts struct {
	samples  [timeoutSamples]time.Duration
	count    int
	refusals float64
	returns  float64
	// candidate is the timeout that most requests have, or 0 if no timeout is usual. usual
	// is the same, or 0 if the shorter timeouts cannot all be those of returns.
	candidate, usual time.Duration
	// changed is set if usual became known or unknown since the last Changes.
	changed bool
}

// observe records the timeout of a request and returns the request's origin.
func (t *timeouts) observe(timeout time.Duration) Origin {
	t.samples[t.count%timeoutSamples] = timeout
	t.count++
	if timeout < t.candidate-minPromise {
		t.returns++
	}
	if t.count >= minTimeoutSamples && t.count%samplesPerUpdate == 0 {
		t.update()
	}
	return originOf(t.usual, timeout)
}

// recordRefusal records that a request with the timeout was refused.
func (t *timeouts) recordRefusal(timeout time.Duration) {
	if originOf(t.candidate, timeout) == New {
		t.refusals++
	}
}

// originOf returns the origin of a request on a route whose first requests have the usual
// timeout.
func originOf(usual, timeout time.Duration) Origin {
	if usual <= 0 || timeout <= 0 {
		return Unknown
	}
	switch elapsed := usual - timeout; {
	case elapsed < -timeoutTolerance:
		return Unknown
	case elapsed <= timeoutTolerance:
		return New
	case elapsed < minPromise:
		return Early
	case elapsed < LongestWait(usual):
		return Returning
	}
	return Unknown // it was promised nothing: promises are shorter
}

// update finds the usual timeout of first requests. It is 0 if more requests have a shorter
// one than were refused.
func (t *timeouts) update() {
	sorted := slices.Clone(t.samples[:min(t.count, timeoutSamples)])
	slices.Sort(sorted)
	t.candidate = usualTimeout(sorted)
	usual := t.candidate
	if t.returns > returnsPerRefusal*t.refusals+extraReturns {
		usual = 0
	}
	t.changed = t.changed != ((usual > 0) != (t.usual > 0))
	t.usual = usual
	t.refusals *= countDecay
	t.returns *= countDecay
}

// usualTimeout returns the timeout that most of the sorted ones have, or 0 if too few have
// it or too many have one that neither first requests nor returns can have.
func usualTimeout(sorted []time.Duration) time.Duration {
	usual, most, first := time.Duration(0), 0, 0
	for i, timeout := range sorted {
		for timeout-sorted[first] > timeoutTolerance {
			first++
		}
		if n := i - first + 1; n >= most {
			usual, most = timeout, n
		}
	}
	shortest := usual - LongestWait(usual) - 2*margin(usual)
	foreign := 0
	for _, timeout := range sorted {
		if timeout > usual+timeoutTolerance || timeout < shortest {
			foreign++
		}
	}
	n := float64(len(sorted))
	if float64(most) < minUsualFraction*n || float64(foreign) > maxForeignFraction*n {
		return 0
	}
	return usual
}
