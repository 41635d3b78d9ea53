package placement

import "time"

// Parameters of the health check by results of attempts.
const (
	// healthSmoothing is the weight of the last attempt in the moving averages.
	healthSmoothing = 0.2
	// minSamples is the number of attempts before the averages are used.
	minSamples = 5
	// maxLatencyRatio is the latency ratio above which an endpoint is ejected.
	maxLatencyRatio = 4.0
	// maxFailureRate is the rate of failed attempts above which an endpoint is ejected.
	maxFailureRate = 0.4
	// maxRefusalRate is the rate of refused attempts above which an endpoint is ejected. One
	// that refuses part of its requests still runs the others, and for them no other endpoint
	// has run the object before.
	maxRefusalRate = 0.8
	// unresponsiveAfter is the time without any answer to in-flight requests after which an
	// endpoint is unavailable.
	unresponsiveAfter = 1500 * time.Millisecond
	// minEjection is the duration of the first ejection. Each further one is twice as
	// long, up to maxEjection, until an attempt succeeds.
	minEjection = 700 * time.Millisecond
	maxEjection = 3 * time.Second
	// misdirectedEjection is how long an endpoint is unavailable after another endpoint
	// answered at its address. The store reports the new address in the meantime.
	misdirectedEjection = 3 * time.Second
)

// health is what the results of attempts show of an endpoint.
type health struct {
	// latencyRatio is the moving average of the duration of successful attempts, as a
	// multiple of the usual duration.
	latencyRatio float64
	// failureRate is the moving average of the rate of failed attempts.
	failureRate float64
	// refusalRate is the moving average of the rate of attempts that were refused.
	refusalRate float64
	samples     int
	// waitingSince is the time of the last answer, or of the first request sent after it
	// when no other was in flight.
	waitingSince time.Time
	// unavailableUntil is the end of an ejection for not answering, degradedUntil that of
	// one for slow answers or frequent failures.
	unavailableUntil time.Time
	degradedUntil    time.Time
	lastEjection     time.Duration
}

// healthStatus is the health of an endpoint, from the worst to the best.
type healthStatus uint8

const (
	// An unavailable endpoint gets no requests.
	unavailable healthStatus = iota
	// A degraded endpoint gets requests only if more endpoints of its region are degraded
	// than healthy.
	degraded
	healthy
)

// status returns the present health of an endpoint that has the given number of in-flight
// requests.
func (h *health) status(now time.Time, inFlight int) healthStatus {
	if now.Before(h.unavailableUntil) || (inFlight > 0 && now.Sub(h.waitingSince) >= unresponsiveAfter) {
		return unavailable
	}
	if now.Before(h.degradedUntil) {
		return degraded
	}
	return healthy
}

// recordResult records the result of an attempt.
func (h *health) recordResult(now time.Time, result Result, latencyRatio float64) {
	switch result {
	case Answered:
		h.recordSuccess(now, latencyRatio)
	case Full:
		h.waitingSince = now
		h.recordRefusal(now)
	case Failed:
		h.waitingSince = now
		h.recordFailure(now)
	case Misdirected:
		h.unavailableUntil = now.Add(misdirectedEjection)
	case Unreachable:
		h.unavailableUntil = now.Add(h.nextEjection())
	case Lost:
		h.recordFailure(now)
	case Expired:
		h.recordFailure(now)
		if now.Sub(h.waitingSince) >= unresponsiveAfter {
			h.unavailableUntil = now.Add(h.nextEjection())
		}
	case Abandoned, Crowded:
	}
}

func (h *health) recordSuccess(now time.Time, latencyRatio float64) {
	h.waitingSince = now
	h.lastEjection = 0
	h.samples++
	h.failureRate -= healthSmoothing * h.failureRate
	h.refusalRate -= healthSmoothing * h.refusalRate
	if latencyRatio > 0 {
		h.latencyRatio += healthSmoothing * (latencyRatio - h.latencyRatio)
	}
	if h.samples >= minSamples && h.latencyRatio > maxLatencyRatio {
		h.eject(now)
	}
}

func (h *health) recordRefusal(now time.Time) {
	h.samples++
	h.refusalRate += healthSmoothing * (1 - h.refusalRate)
	if h.samples >= minSamples && h.refusalRate > maxRefusalRate {
		h.eject(now)
	}
}

func (h *health) recordFailure(now time.Time) {
	h.samples++
	h.failureRate += healthSmoothing * (1 - h.failureRate)
	if h.samples >= minSamples && h.failureRate > maxFailureRate {
		h.eject(now)
	}
}

// eject marks the endpoint as degraded for a while and resets the averages, so that they
// start anew afterwards.
func (h *health) eject(now time.Time) {
	h.degradedUntil = now.Add(h.nextEjection())
	h.samples = 0
	h.latencyRatio = 1
	h.failureRate = 0
	h.refusalRate = 0
}

// nextEjection returns the duration of the next ejection.
func (h *health) nextEjection() time.Duration {
	h.lastEjection = min(max(2*h.lastEjection, minEjection), maxEjection)
	return h.lastEjection
}

// pacer spaces the requests of this instance to an endpoint. At most one request is saved
// up. If the interval is 0, it permits none.
type pacer struct {
	interval   time.Duration
	nextPermit time.Time
}

func (p *pacer) permitAvailable(now time.Time) bool {
	return p.interval > 0 && !now.Before(p.nextPermit)
}

func (p *pacer) takePermit(now time.Time) { p.nextPermit = now.Add(p.interval) }

// coldLimiter limits the rate of requests to a cold endpoint.
type coldLimiter struct {
	pacer
	until time.Time
}

func (l *coldLimiter) isActive(now time.Time) bool { return now.Before(l.until) }

func (l *coldLimiter) start(now, until time.Time, interval time.Duration) {
	if until.After(l.until) {
		l.until = until
	}
	l.interval = interval
	if l.nextPermit.Before(now) {
		l.nextPermit = now.Add(interval)
	}
}
