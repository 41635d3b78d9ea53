package routing

import (
	"slices"
	"time"

	"lovagescale/internal/upstream"
)

// Constants of what is learned from answers.
const (
	// smoothing is the weight of one more answer in the recent latency.
	smoothing = 0.1
	// failurePenalty is added to the recent latency by a failed try.
	failurePenalty = 100 * time.Millisecond
	// downHold is how long an endpoint that refuses connections rests.
	downHold = time.Second
	// failuresToEject is the failed tries in a row that eject an endpoint.
	failuresToEject = 5
	// samplesToEject is the answers needed before a latency ejects.
	samplesToEject = 10
	// maxEjectDoublings bounds the time of an ejection.
	maxEjectDoublings = 4
	// Factors on the score of an endpoint whose report lowers trust.
	unhealthyFactor = 4
	loadedFactor    = 2
)

// health is what this instance has learned of an endpoint. It is plain data:
// its methods take the time.
type health struct {
	latency  time.Duration // recent latency, 0 before the first answer
	samples  int           // answers since the endpoint was cold
	failures int           // failed tries in a row
	// distrust multiplies the score; 0 counts as 1.
	distrust      float64
	ejections     int
	ejectedUntil  time.Time
	drainingUntil time.Time
	// reportedUntil is like drainingUntil, by a report alone.
	reportedUntil time.Time
	downUntil     time.Time
}

// cool makes the endpoint cold.
func (h *health) cool() { h.samples = 0 }

// answered learns from a whole answer.
func (h *health) answered(latency time.Duration) {
	h.failures = 0
	h.samples++
	h.learn(latency)
}

// slower learns that a cancelled try took at least this long.
func (h *health) slower(atLeast time.Duration) {
	if atLeast > h.latency {
		h.learn(atLeast)
	}
}

func (h *health) learn(latency time.Duration) {
	if h.latency == 0 {
		h.latency = latency
		return
	}
	h.latency += time.Duration(smoothing * float64(latency-h.latency))
}

// failed learns from a try without a whole answer.
func (h *health) failed() {
	h.failures++
	h.learn(h.latency + failurePenalty)
}

// lost learns that the endpoint did not take or keep a connection.
func (h *health) lost(now time.Time) {
	h.failed()
	h.cool()
	h.downUntil = now.Add(downHold)
}

// report learns from the endpoint's own report. A report only lowers trust.
func (h *health) report(now time.Time, r upstream.Report, inFlight, slots int64, hold time.Duration) {
	h.distrust = 1
	if int64(r.InFlight) > inFlight+slots/2 {
		h.distrust = loadedFactor
	}
	if !r.Healthy {
		h.distrust = unhealthyFactor
	}
	if r.Draining {
		h.reportedUntil = now.Add(hold)
	}
}

// score is lower for an endpoint that is likely to answer sooner.
func (h *health) score(inFlight int64) float64 {
	return float64(inFlight+1) * float64(h.latency+time.Microsecond) * max(h.distrust, 1)
}

// allowed is the number of slots that the ramp opens.
func (h *health) allowed(perSlot int) int64 {
	if perSlot <= 0 {
		return int64(1) << 32
	}
	return int64(1 + h.samples/perSlot)
}

// eject rests the endpoint; each further time is twice as long.
func (h *health) eject(now time.Time, term time.Duration, typical time.Duration) {
	h.ejectedUntil = now.Add(term << min(h.ejections, maxEjectDoublings))
	h.ejections++
	// One try decides when it is back.
	h.failures = failuresToEject - 1
	h.samples = samplesToEject - 1
	h.latency = typical
}

// outlier reports whether the endpoint stands out among the others.
func (h *health) outlier(typical time.Duration, factor float64) bool {
	if h.failures >= failuresToEject {
		return true
	}
	return h.samples >= samplesToEject && typical > 0 && float64(h.latency) > factor*float64(typical)
}

// median returns the median of the latencies that are known, or 0.
func median(latencies []time.Duration) time.Duration {
	known := slices.DeleteFunc(slices.Clone(latencies), func(l time.Duration) bool { return l == 0 })
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// maxEjected is the number of endpoints among n that may be ejected at once.
func maxEjected(n int, share float64) int {
	if share < 0 {
		return 0
	}
	return int(share * float64(n))
}
