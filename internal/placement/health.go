package placement

import "time"

// Constants of what is learned from tries.
const (
	// smoothing is the weight of one more try in the averages.
	smoothing = 0.2
	// minSamples is the tries before an average says anything.
	minSamples = 5
	// slowPace is the pace from which an endpoint is left alone for a while.
	slowPace = 4.0
	// failingShare is the share of failed tries from which it is left alone.
	failingShare = 0.4
	// silentAfter is how long an endpoint may answer nothing while requests wait.
	silentAfter = 1500 * time.Millisecond
	// restTime is how long an endpoint is left alone the first time, and
	// maxRestTime the longest.
	restTime    = 700 * time.Millisecond
	maxRestTime = 3 * time.Second
	// misdirectedRest is how long an address that another endpoint holds is left
	// alone; the store tells of the change meanwhile.
	misdirectedRest = 3 * time.Second
)

// health is what tries have shown of an endpoint.
type health struct {
	// pace is the recent duration of tries as a multiple of the usual one.
	pace float64
	// failures is the recent share of tries that failed.
	failures float64
	samples  int
	// waitingSince is the last answer, or when the first request was sent after
	// it.
	waitingSince time.Time
	// downUntil ends a rest of an endpoint that does not answer, poorUntil that
	// of one that is slow or fails often.
	downUntil time.Time
	poorUntil time.Time
	rest      time.Duration
}

// fitness orders endpoints by what tries have shown.
type fitness uint8

const (
	// down endpoints get nothing.
	down fitness = iota
	// poor endpoints get what no sound one has room for.
	poor
	sound
)

// fitness returns what the endpoint may get.
func (h *health) fitness(now time.Time, inFlight int) fitness {
	if now.Before(h.downUntil) || (inFlight > 0 && now.Sub(h.waitingSince) >= silentAfter) {
		return down
	}
	if now.Before(h.poorUntil) {
		return poor
	}
	return sound
}

// learn takes the result of a try.
func (h *health) learn(now time.Time, result Result, pace float64) {
	switch result {
	case Answered:
		h.answered(now, pace)
	case Failed, Full:
		h.waitingSince = now
		h.failed(now)
	case Misdirected:
		h.downUntil = now.Add(misdirectedRest)
	case Unreachable:
		h.downUntil = now.Add(h.nextRest())
	case Lost:
		h.failed(now)
	case Expired:
		h.failed(now)
		if now.Sub(h.waitingSince) >= silentAfter {
			h.downUntil = now.Add(h.nextRest())
		}
	case Abandoned, Crowded:
	}
}

func (h *health) answered(now time.Time, pace float64) {
	h.waitingSince = now
	h.rest = 0
	h.samples++
	h.failures -= smoothing * h.failures
	if pace > 0 {
		h.pace += smoothing * (pace - h.pace)
	}
	if h.samples >= minSamples && h.pace > slowPace {
		h.leaveAlone(now)
	}
}

func (h *health) failed(now time.Time) {
	h.samples++
	h.failures += smoothing * (1 - h.failures)
	if h.samples >= minSamples && h.failures > failingShare {
		h.leaveAlone(now)
	}
}

// leaveAlone starts a rest and forgets the averages, so that they start anew
// afterwards.
func (h *health) leaveAlone(now time.Time) {
	h.poorUntil = now.Add(h.nextRest())
	h.samples = 0
	h.pace = 1
	h.failures = 0
}

// nextRest is longer each time until the endpoint answers.
func (h *health) nextRest() time.Duration {
	h.rest = min(max(2*h.rest, restTime), maxRestTime)
	return h.rest
}

// pacer spaces the requests to a cold endpoint.
type pacer struct {
	until    time.Time
	next     time.Time
	interval time.Duration
}

func (p *pacer) active(now time.Time) bool { return now.Before(p.until) }

func (p *pacer) chill(now, until time.Time, interval time.Duration) {
	if until.After(p.until) {
		p.until = until
	}
	p.interval = interval
	if p.next.Before(now) {
		p.next = now.Add(interval)
	}
}

func (p *pacer) turn(now time.Time) bool { return !now.Before(p.next) }

func (p *pacer) take(now time.Time) bool {
	if !p.turn(now) {
		return false
	}
	p.next = now.Add(p.interval)
	return true
}
