package model

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lovagescale/internal/placement"
	"lovagescale/internal/upstream"
)

// event is a function that runs at a simulated time.
type event struct {
	at  time.Duration
	run func()
}

// eventQueue is a heap of events by time. It implements heap.Interface.
type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is the state of one simulation.
type simulation struct {
	deployment Deployment
	pattern    Pattern
	policy     Policy
	random     *rand.Rand
	events     eventQueue
	now        time.Duration

	endpoints []*endpoint
	instances []*instance
	outcome   Outcome
	// runCount counts the runs of requests at endpoints, cachedRuns those whose object was
	// cached.
	runCount            int
	cachedRuns          int
	crossRegionRequests int
	// regionCounts and windowCounts hold, by region and by time window of arrival, the number
	// of requests that ended within the objective and of all that ended.
	regionCounts [][2]int
	windowCounts map[int]*[2]int
}

// endpoint is a simulated upstream endpoint.
type endpoint struct {
	id         string
	index      int
	region     int
	slotsInUse int
	queue      []func()
	// cache holds the end of the last run for each cached object, by affinity key.
	cache map[uint64]time.Duration
}

// instance is a simulated instance with the product's own placement. Its means are moving
// averages in seconds: meanResponseTime includes the way to another region, meanServiceTime
// does not. arrivalRate is a moving average in requests per second.
type instance struct {
	region           int
	table            *placement.Table
	balancer         *placement.RegionBalancer
	meanResponseTime float64
	meanServiceTime  float64
	runTimes         *placement.RunTimes
	arrivals         int
	arrivalRate      float64
}

const (
	upstreamName = "files"
	routeName    = "read"
)

func regionName(n int) string { return fmt.Sprint("region-", n) }

// startTime is the wall-clock time at which a simulation starts, because the product's code
// takes wall-clock times.
var startTime = time.Unix(1_000_000, 0)

func (s *simulation) wallTime() time.Time { return startTime.Add(s.now) }

func (s *simulation) schedule(delay time.Duration, run func()) {
	heap.Push(&s.events, event{s.now + delay, run})
}

// Simulate runs a load pattern against a policy. Requests arrive for the simulated time
// length; then the simulation goes on until the deadline of the last ones.
func Simulate(deployment Deployment, pattern Pattern, policy Policy, length time.Duration, seed uint64) Outcome {
	s := &simulation{deployment: deployment, pattern: pattern, policy: policy, random: rand.New(rand.NewPCG(seed, 1)),
		regionCounts: make([][2]int, len(deployment.Endpoints)), windowCounts: make(map[int]*[2]int)}
	s.createFleet()
	for region := range deployment.Endpoints {
		s.scheduleArrival(region, length)
	}
	s.schedule(0, s.exchangeReports)
	for len(s.events) > 0 && s.now < length+deployment.Deadline {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	return s.summarize()
}

func (s *simulation) createFleet() {
	zones := make(map[string]string)
	for region, n := range s.deployment.Endpoints {
		zones[regionName(region)] = regionName(region)
		for range n {
			index := len(s.endpoints)
			s.endpoints = append(s.endpoints, &endpoint{id: fmt.Sprint("e", index), index: index, region: region, cache: make(map[uint64]time.Duration)})
		}
	}
	for region := range s.deployment.Endpoints {
		for range s.deployment.Instances {
			registry := placement.NewRegistry(zones, func(placement.Record) *upstream.Pool { return upstream.NewPool("", 0, 0) })
			for _, e := range s.endpoints {
				registry.Register(startTime, placement.Record{ID: e.id, Upstream: upstreamName, Zone: regionName(e.region), Slots: s.deployment.Slots}, placement.ColdPolicy{})
			}
			s.instances = append(s.instances, &instance{region: region, table: registry.Table(),
				balancer: placement.NewRegionBalancer(regionName(region)), runTimes: placement.NewRunTimes(), meanServiceTime: s.deployment.MeanServiceTime.Seconds() / 2})
		}
	}
}

// exchangeReports passes each instance the others' requests in flight, and moves its region
// shares towards the plan for the regions' demand. It repeats every report interval.
func (s *simulation) exchangeReports() {
	demand := make(map[string]float64)
	for _, i := range s.instances {
		i.arrivalRate += 0.4 * (float64(i.arrivals)/s.deployment.ReportInterval.Seconds() - i.arrivalRate)
		i.arrivals = 0
		demand[regionName(i.region)] += i.arrivalRate * i.meanServiceTime
	}
	for _, i := range s.instances {
		for _, e := range s.endpoints {
			others := 0
			for _, other := range s.instances {
				if other != i {
					others += other.table.Endpoint(e.id).InFlight()
				}
			}
			i.table.Endpoint(e.id).SetOthersInFlight(others)
		}
		capacity := i.table.Capacity(s.wallTime(), upstreamName, 0)
		const step = 0.15 * 0.6 / 2
		i.balancer.MoveToward(upstreamName, placement.Plan(regionName(i.region), demand, capacity), capacity, step*s.deployment.ReportInterval.Seconds())
	}
	s.schedule(s.deployment.ReportInterval, s.exchangeReports)
}

// scheduleArrival schedules the next request of a region, which schedules the one after it,
// until the given time. Arrivals are a Poisson process.
func (s *simulation) scheduleArrival(region int, until time.Duration) {
	factor := 1.0
	if s.pattern.LoadFactor != nil {
		factor = s.pattern.LoadFactor(s.now, region)
	}
	delay := time.Duration(s.random.ExpFloat64() / (s.deployment.ArrivalRate * factor) * float64(time.Second))
	s.schedule(delay, func() {
		if s.now >= until {
			return
		}
		affinityKey := placement.AffinityKey(regionName(region), "", fmt.Sprint(s.random.IntN(s.deployment.Objects)))
		s.outcome.Asked++
		q := &request{region: region, affinityKey: affinityKey, arrivedAt: s.now, retriesLeft: 1}
		if s.pattern.ImpatientShare != nil && s.random.Float64() < s.pattern.ImpatientShare(s.now) {
			q.impatient, q.retriesLeft = true, impatientRetries
		}
		s.sendToInstance(q)
		s.scheduleArrival(region, until)
	})
}

// request is one caller's request over all of its attempts.
type request struct {
	region      int
	affinityKey uint64
	arrivedAt   time.Duration
	retriesLeft int
	// impatient is set if the caller does not wait as told before it retries.
	impatient bool
}

// An impatient caller retries impatientRetries times, impatientDelay after each refusal.
const (
	impatientRetries = 3
	impatientDelay   = 20 * time.Millisecond
)

// sendToInstance sends a request to a random instance of its region, which chooses an
// endpoint or refuses the request.
func (s *simulation) sendToInstance(q *request) {
	i := s.instances[q.region*s.deployment.Instances+s.random.IntN(s.deployment.Instances)]
	i.arrivals++
	affinityKey := q.affinityKey
	if s.policy.IgnoreAffinity {
		affinityKey = 0
	}
	region := regionName(q.region)
	if !s.policy.LocalOnly {
		region = i.balancer.Next(upstreamName, affinityKey, nil, false)
	}
	limits := s.limits(i, q)
	chosen, err := i.table.Choose(s.wallTime(), placement.Request{Upstream: upstreamName, Region: region, Local: true, AffinityKey: affinityKey,
		MaxUtilization: limits.Usual, SustainedUtilization: limits.Sustained, SustainedAfter: limits.SustainedAfter})
	if err != nil {
		s.retryOrRefuse(i, q)
		return
	}
	s.sendToEndpoint(i, q, chosen)
}

// retryOrRefuse schedules the caller's retry after a refusal. Without a retry left, or if
// the retry would start after the deadline, the request ends as refused.
func (s *simulation) retryOrRefuse(i *instance, q *request) {
	delay := time.Duration((0.5 + s.random.Float64()) * i.meanServiceTime * float64(time.Second))
	if s.policy.FixedRetryDelay {
		delay = time.Duration(i.meanServiceTime * float64(time.Second))
	}
	if q.impatient {
		delay = impatientDelay
	}
	if q.retriesLeft == 0 || s.now+delay > q.arrivedAt+s.deployment.Deadline {
		s.outcome.Refused++
		s.recordEnd(q, false)
		return
	}
	q.retriesLeft--
	s.schedule(delay, func() { s.sendToInstance(q) })
}

// sendToEndpoint sends the request to the chosen endpoint and handles the answer or, if none
// comes in time, the expired deadline.
func (s *simulation) sendToEndpoint(i *instance, q *request, chosen *placement.Endpoint) {
	var e *endpoint
	for _, candidate := range s.endpoints {
		if candidate.id == chosen.ID {
			e = candidate
		}
	}
	oneWayDelay := time.Duration(0)
	if e.region != q.region {
		oneWayDelay = s.deployment.CrossRegionRTT / 2
		s.crossRegionRequests++
	}
	sentAt := s.now
	done := false
	finish := func(result placement.Result) {
		if done {
			return
		}
		done = true
		responseTime := (s.now - sentAt).Seconds()
		i.table.End(s.wallTime(), chosen, result, responseTime/math.Max(i.meanResponseTime, 0.01))
		switch result {
		case placement.Answered:
			i.meanResponseTime += 0.03 * (responseTime - i.meanResponseTime)
			atEndpoint := responseTime - 2*oneWayDelay.Seconds()
			i.meanServiceTime += 0.03 * (atEndpoint - i.meanServiceTime)
			i.runTimes.Observe(placement.Serving{Upstream: upstreamName, Region: regionName(e.region)}, routeName,
				time.Duration(atEndpoint*float64(time.Second)), placement.ReportedLoad{Waiting: len(e.queue)})
			s.recordAnswer(q)
		case placement.Full:
			s.retryOrRefuse(i, q)
		default:
			s.outcome.Refused++
			s.recordEnd(q, false)
		}
	}
	s.schedule(oneWayDelay, func() { s.process(e, q, func(r placement.Result) { s.schedule(oneWayDelay, func() { finish(r) }) }) })
	s.schedule(q.arrivedAt+s.deployment.Deadline-s.now, func() { finish(placement.Expired) })
}

// process runs a request at the endpoint. Without a free slot the request is queued, or
// refused if the queue holds three requests per slot. An endpoint that is down never calls
// finish.
func (s *simulation) process(e *endpoint, q *request, finish func(placement.Result)) {
	if s.pattern.Down != nil && s.pattern.Down(s.now, e.region, e.index) {
		return
	}
	if s.pattern.RefusalShare != nil && s.random.Float64() < s.pattern.RefusalShare(s.now, e.index) {
		finish(placement.Full)
		return
	}
	if e.slotsInUse >= s.deployment.Slots {
		if len(e.queue) >= 3*s.deployment.Slots {
			finish(placement.Full)
			return
		}
		e.queue = append(e.queue, func() { s.process(e, q, finish) })
		return
	}
	e.slotsInUse++
	s.schedule(s.drawServiceTime(e, q), func() {
		e.cacheObject(q.affinityKey, s.now, s.deployment.CacheSize)
		e.slotsInUse--
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			next()
		}
		finish(placement.Answered)
	})
}

// drawServiceTime returns a random service time for the request at the endpoint.
func (s *simulation) drawServiceTime(e *endpoint, q *request) time.Duration {
	s.runCount++
	seconds := s.deployment.MeanServiceTime.Seconds() * (0.85 + 0.3*s.random.Float64())
	if _, cached := e.cache[q.affinityKey]; cached {
		s.cachedRuns++
		seconds *= s.deployment.CachedFactor
	}
	if s.pattern.SlowdownFactor != nil {
		seconds *= s.pattern.SlowdownFactor(s.now, e.index)
	}
	return time.Duration(seconds * float64(time.Second))
}

// cacheObject adds an object to the cache and evicts the least recently used one if the
// cache is above its limit.
func (e *endpoint) cacheObject(affinityKey uint64, now time.Duration, limit int) {
	e.cache[affinityKey] = now
	if len(e.cache) <= limit {
		return
	}
	oldest, oldestUse := affinityKey, now
	for other, lastUse := range e.cache {
		if lastUse < oldestUse {
			oldest, oldestUse = other, lastUse
		}
	}
	delete(e.cache, oldest)
}

func (s *simulation) recordAnswer(q *request) {
	inObjective := s.now-q.arrivedAt <= s.deployment.LatencyObjective
	if inObjective {
		s.outcome.InObjective++
	} else {
		s.outcome.Late++
	}
	s.recordEnd(q, inObjective)
}

// recordEnd counts the end of a request for its region and its time window of arrival.
func (s *simulation) recordEnd(q *request, inObjective bool) {
	const window = 2 * time.Second
	index := int(q.arrivedAt / window)
	if s.windowCounts[index] == nil {
		s.windowCounts[index] = &[2]int{}
	}
	for _, counts := range []*[2]int{&s.regionCounts[q.region], s.windowCounts[index]} {
		counts[1]++
		if inObjective {
			counts[0]++
		}
	}
}

func (s *simulation) summarize() Outcome {
	o := s.outcome
	o.Pattern, o.Policy = s.pattern.Name, s.policy.Name
	o.Known = float64(s.cachedRuns) / math.Max(float64(s.runCount), 1)
	o.Crossed = float64(s.crossRegionRequests) / math.Max(float64(o.Asked), 1)
	o.WorstRegion, o.WorstWindow = 1, 1
	for _, counts := range s.regionCounts {
		o.WorstRegion = math.Min(o.WorstRegion, float64(counts[0])/math.Max(float64(counts[1]), 1))
	}
	for _, counts := range s.windowCounts {
		o.WorstWindow = math.Min(o.WorstWindow, float64(counts[0])/math.Max(float64(counts[1]), 1))
	}
	return o
}
