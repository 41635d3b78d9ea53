package routing

import (
	"slices"
	"time"

	"lovagescale/internal/upstream"
)

// Constants that derive an endpoint's health from its answers and reports.
const (
	// latencySmoothing is the weight of a new value in the moving average of latency.
	latencySmoothing = 0.1
	// failureLatencyPenalty is added to the average latency to give the value that a
	// failed attempt adds to the moving average.
	failureLatencyPenalty = 100 * time.Millisecond
	// downHold is how long an endpoint is down after it refused or dropped a connection.
	downHold = time.Second
	// failuresToEject is the number of consecutive failures that ejects an endpoint.
	failuresToEject = 5
	// minAnswersToEject is the number of answers since the endpoint was cold below which
	// its latency does not eject it.
	minAnswersToEject = 10
	// maxEjectDoublings limits how often the duration of an ejection is doubled.
	maxEjectDoublings = 4
	// Factors on the score of an endpoint that reports that it is unhealthy, or that it
	// has clearly more requests in flight than this instance has there.
	unhealthyFactor = 4
	loadedFactor    = 2
)

// health is what this instance has observed of an endpoint and read in its reports. It has
// no lock and no clock: callers lock and pass the time.
type health struct {
	averageLatency      time.Duration // moving average, 0 before the first value
	answers             int           // answers since the endpoint was cold
	consecutiveFailures int
	// scoreFactor is set by the latest report and multiplies the score. Below 1, as
	// before the first report, it counts as 1.
	scoreFactor  float64
	ejections    int
	ejectedUntil time.Time
	// drainingUntil is set when an answer announces that the endpoint is draining.
	drainingUntil time.Time
	// reportedDrainingUntil is set when only a report says that the endpoint is draining.
	reportedDrainingUntil time.Time
	downUntil             time.Time
}

// markCold restarts the slow start of the endpoint.
func (h *health) markCold() { h.answers = 0 }

// recordAnswer records an attempt that got a complete answer.
func (h *health) recordAnswer(latency time.Duration) {
	h.consecutiveFailures = 0
	h.answers++
	h.addLatency(latency)
}

// recordCancelled records an attempt that was cancelled or reached its deadline after
// atLeast. Since its latency would have been at least that, the value counts only if it is
// above the average.
func (h *health) recordCancelled(atLeast time.Duration) {
	if atLeast > h.averageLatency {
		h.addLatency(atLeast)
	}
}

// addLatency adds a value to the moving average of latency.
func (h *health) addLatency(latency time.Duration) {
	if h.averageLatency == 0 {
		h.averageLatency = latency
		return
	}
	h.averageLatency += time.Duration(latencySmoothing * float64(latency-h.averageLatency))
}

// recordFailure records an attempt that failed or that the endpoint refused to run.
func (h *health) recordFailure() {
	h.consecutiveFailures++
	h.addLatency(h.averageLatency + failureLatencyPenalty)
}

// recordConnectionFailure records that the endpoint refused or dropped a connection. The
// endpoint is then down for downHold and cold.
func (h *health) recordConnectionFailure(now time.Time) {
	h.recordFailure()
	h.markCold()
	h.downUntil = now.Add(downHold)
}

// applyReport applies the endpoint's own report, for which inFlight is the number of
// requests that this instance had in flight there. A report can only make the endpoint
// less preferred, never more than it is without one. The endpoint counts as loaded if it
// reports more requests in flight than inFlight plus half of its slots.
func (h *health) applyReport(now time.Time, report upstream.Report, inFlight, slots int64, hold time.Duration) {
	h.scoreFactor = 1
	if int64(report.InFlight) > inFlight+slots/2 {
		h.scoreFactor = loadedFactor
	}
	if !report.Healthy {
		h.scoreFactor = unhealthyFactor
	}
	if report.Draining {
		h.reportedDrainingUntil = now.Add(hold)
	}
}

// score is the product of the requests in flight, one more included, the average latency
// and scoreFactor. The endpoint with the lower score is likely to answer sooner.
func (h *health) score(inFlight int64) float64 {
	return float64(inFlight+1) * float64(h.averageLatency+time.Microsecond) * max(h.scoreFactor, 1)
}

// rampLimit returns the number of slots that slow start allows: one for a cold endpoint
// and one more after each answersPerSlot answers. It is practically unlimited if
// answersPerSlot is not above 0.
func (h *health) rampLimit(answersPerSlot int) int64 {
	if answersPerSlot <= 0 {
		return int64(1) << 32
	}
	return int64(1 + h.answers/answersPerSlot)
}

// eject ejects the endpoint for firstDuration, doubled for each earlier ejection up to
// maxEjectDoublings times.
func (h *health) eject(now time.Time, firstDuration time.Duration, medianLatency time.Duration) {
	h.ejectedUntil = now.Add(firstDuration << min(h.ejections, maxEjectDoublings))
	h.ejections++
	// One attempt after the ejection suffices to eject the endpoint again, by a failure
	// or by an answer that is slow enough to make it an outlier.
	h.consecutiveFailures = failuresToEject - 1
	h.answers = minAnswersToEject - 1
	h.averageLatency = medianLatency
}

// isOutlier reports whether the endpoint has failed failuresToEject times in a row, or
// has enough answers and an average latency above factor times the median of the others.
func (h *health) isOutlier(medianLatency time.Duration, factor float64) bool {
	if h.consecutiveFailures >= failuresToEject {
		return true
	}
	return h.answers >= minAnswersToEject && medianLatency > 0 && float64(h.averageLatency) > factor*float64(medianLatency)
}

// medianOfKnown returns the median of the latencies other than 0, which stands for an
// unknown one, or 0 if none is known.
func medianOfKnown(latencies []time.Duration) time.Duration {
	known := slices.DeleteFunc(slices.Clone(latencies), func(l time.Duration) bool { return l == 0 })
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// maxEjectedEndpoints returns how many of the given number of endpoints may be ejected at
// the same time.
func maxEjectedEndpoints(endpoints int, share float64) int {
	if share < 0 {
		return 0
	}
	return int(share * float64(endpoints))
}
