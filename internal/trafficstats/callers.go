package trafficstats

import (
	"math"
	"time"

	"lovagescale/internal/allowance"
	"lovagescale/internal/fleet"
)

// callersKey identifies the endpoints of an upstream in one region.
type callersKey struct{ upstream, region string }

// callersStats describes the answers that the endpoints of an upstream in one region gave.
type callersStats struct {
	key fleet.AnswersKey
	// local is set if the endpoints are in the instance's own region.
	local bool
	// answers counts this instance's answers, busy adds up their durations in seconds.
	answers, busy allowance.RateMeter
	// usualSeconds is the moving average of the durations of this instance's answers,
	// meanSeconds that of the answers to all instances. Both are 0 before the first answer.
	usualSeconds, meanSeconds float64
	// routeSeconds is the moving average of the durations of this instance's answers, by
	// route.
	routeSeconds map[string]float64
}

// callersOf returns the stats of an upstream's endpoints in a region. The caller must hold
// t.mu.
func (t *Stats) callersOf(upstream, region string) *callersStats {
	key := callersKey{upstream, region}
	c, found := t.callers[key]
	if !found {
		c = &callersStats{key: fleet.AnswersKeyOf(upstream, region), routeSeconds: make(map[string]float64)}
		t.callers[key] = c
	}
	return c
}

func (c *callersStats) record(route string, local bool, took time.Duration) {
	c.local = local
	c.answers.Count()
	c.busy.Add(took.Seconds())
	c.usualSeconds = smooth(c.usualSeconds, took.Seconds())
	c.routeSeconds[route] = smooth(c.routeSeconds[route], took.Seconds())
}

// RemoteAnswers returns the answers of other regions' endpoints to report to other instances.
func (t *Stats) RemoteAnswers() []fleet.RemoteAnswers {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reported []fleet.RemoteAnswers
	for _, c := range t.callers {
		if !c.local && c.answers.Rate() >= fleet.MinReportedRate {
			reported = append(reported, fleet.NewRemoteAnswers(c.key, fleet.AnswerRates{Rate: c.answers.Rate(), Busy: c.busy.Rate()}))
		}
	}
	return reported
}

// UpdateResponseTimes updates the mean response times from this instance's answers and those
// of the other instances in all regions. elapsed is the time since the last update.
func (t *Stats) UpdateResponseTimes(others map[fleet.AnswersKey]fleet.AnswerRates, elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.callers {
		answers := c.answers.Rate() + others[c.key].Rate
		busy := c.busy.Rate() + others[c.key].Busy
		if answers < fleet.MinReportedRate || busy <= 0 {
			continue
		}
		// At low rates each answer counts no more than in the other averages.
		weight := math.Min(serviceTimeSmoothing, durationSmoothing*answers*elapsed.Seconds())
		c.meanSeconds = smoothBy(weight, c.meanSeconds, busy/answers)
	}
}

// ResponseTime returns the usual time of an answer to the route from a region, or the
// upstream's service time before the first answer.
//
// It is the mean over the callers of all regions, so that it is the same for each of them: a
// limit on the queue that followed from the caller's own response time would let callers near
// the endpoints fill queues that those of other regions do not accept. Only the ratio between
// the routes of an upstream comes from this instance's own answers.
func (t *Stats) ResponseTime(upstream, route, region string) time.Duration {
	t.mu.Lock()
	seconds := t.callersOf(upstream, region).responseSeconds(route)
	t.mu.Unlock()
	if seconds > 0 {
		return time.Duration(seconds * float64(time.Second))
	}
	return t.ServiceTime(upstream)
}

// responseSeconds returns the usual time of an answer to the route, or 0 if it is unknown.
func (c *callersStats) responseSeconds(route string) float64 {
	usual := c.routeSeconds[route]
	switch {
	case c.meanSeconds <= 0:
		return usual
	case usual <= 0:
		return c.meanSeconds
	}
	return c.meanSeconds * usual / c.usualSeconds
}
