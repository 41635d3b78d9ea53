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

// event is something that happens at a simulated time.
type event struct {
	at   time.Duration
	call func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is one run.
type world struct {
	site    Site
	pattern Pattern
	policy  Policy
	random  *rand.Rand
	queue   events
	now     time.Duration

	endpoints []*endpoint
	instances []*instance
	outcome   Outcome
	runs      int
	known     int
	crossed   int
	regions   [][2]int
	windows   map[int]*[2]int
}

// endpoint is a modelled upstream endpoint.
type endpoint struct {
	id      string
	index   int
	region  int
	busy    int
	waiting []func()
	// memory holds the objects by their last run.
	memory map[uint64]time.Duration
}

// instance is a modelled instance with the product's own placement.
type instance struct {
	region   int
	table    *placement.Table
	steering *placement.RegionBalancer
	took     float64
	service  float64
	arrived  int
	rate     float64
}

const upstreamName = "files"

func regionName(n int) string { return fmt.Sprint("region-", n) }

// epoch is the wall time of a run's start; the product's code takes wall times.
var epoch = time.Unix(1_000_000, 0)

func (w *world) wall() time.Time { return epoch.Add(w.now) }

func (w *world) after(wait time.Duration, call func()) {
	heap.Push(&w.queue, event{w.now + wait, call})
}

// Play runs a pattern against a policy for a simulated time.
func Play(site Site, pattern Pattern, policy Policy, length time.Duration, seed uint64) Outcome {
	w := &world{site: site, pattern: pattern, policy: policy, random: rand.New(rand.NewPCG(seed, 1)),
		regions: make([][2]int, len(site.Endpoints)), windows: make(map[int]*[2]int)}
	w.build()
	for region := range site.Endpoints {
		w.arrive(region, length)
	}
	w.after(0, w.report)
	for len(w.queue) > 0 && w.now < length+site.Deadline {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.call()
	}
	return w.sumUp()
}

func (w *world) build() {
	zones := make(map[string]string)
	for region, n := range w.site.Endpoints {
		zones[regionName(region)] = regionName(region)
		for range n {
			index := len(w.endpoints)
			w.endpoints = append(w.endpoints, &endpoint{id: fmt.Sprint("e", index), index: index, region: region, memory: make(map[uint64]time.Duration)})
		}
	}
	for region := range w.site.Endpoints {
		for range w.site.Instances {
			registry := placement.NewRegistry(zones, func(placement.Record) *upstream.Pool { return upstream.NewPool("", 0, 0) })
			for _, e := range w.endpoints {
				registry.Register(epoch, placement.Record{ID: e.id, Upstream: upstreamName, Zone: regionName(e.region), Slots: w.site.Slots}, placement.ColdPolicy{})
			}
			w.instances = append(w.instances, &instance{region: region, table: registry.Table(),
				steering: placement.NewRegionBalancer(regionName(region)), service: w.site.Work.Seconds() / 2})
		}
	}
}

// report tells the instances of each other's use and demand, and plans the shares.
func (w *world) report() {
	demand := make(map[string]float64)
	for _, i := range w.instances {
		i.rate += 0.4 * (float64(i.arrived)/w.site.ReportEvery.Seconds() - i.rate)
		i.arrived = 0
		demand[regionName(i.region)] += i.rate * i.service
	}
	for _, i := range w.instances {
		for _, e := range w.endpoints {
			others := 0
			for _, other := range w.instances {
				if other != i {
					others += other.table.Endpoint(e.id).InFlight()
				}
			}
			i.table.Endpoint(e.id).SetOthersInFlight(others)
		}
		capacity := i.table.Capacity(w.wall(), upstreamName)
		const step = 0.15 * 0.6 / 2
		i.steering.MoveToward(upstreamName, placement.Plan(regionName(i.region), demand, capacity), capacity, step*w.site.ReportEvery.Seconds())
	}
	w.after(w.site.ReportEvery, w.report)
}

// arrive lets callers of a region ask until the end.
func (w *world) arrive(region int, end time.Duration) {
	factor := 1.0
	if w.pattern.Load != nil {
		factor = w.pattern.Load(w.now, region)
	}
	wait := time.Duration(w.random.ExpFloat64() / (w.site.Rate * factor) * float64(time.Second))
	w.after(wait, func() {
		if w.now >= end {
			return
		}
		object := placement.AffinityKey(regionName(region), "", fmt.Sprint(w.random.IntN(w.site.Objects)))
		w.outcome.Asked++
		w.ask(&request{region: region, object: object, asked: w.now, retries: 1})
		w.arrive(region, end)
	})
}

// request is one caller's wish over its attempts.
type request struct {
	region  int
	object  uint64
	asked   time.Duration
	retries int
}

// ask sends a request to an instance of its region.
func (w *world) ask(q *request) {
	i := w.instances[q.region*w.site.Instances+w.random.IntN(w.site.Instances)]
	i.arrived++
	object := q.object
	if w.policy.NoObjects {
		object = 0
	}
	region := regionName(q.region)
	if !w.policy.LocalOnly {
		region = i.steering.Next(upstreamName, object, nil, false)
	}
	fill := placement.MaxUtilization(placement.RequestProfile{Objective: w.site.Objective,
		ResponseTime: time.Duration(i.took * float64(time.Second)), ServiceTime: time.Duration(i.service * float64(time.Second)), Urgency: 0.5})
	if w.policy.Queue {
		fill = math.Inf(1)
	}
	chosen, err := i.table.Choose(w.wall(), placement.Request{Upstream: upstreamName, Region: region, Local: true, AffinityKey: object, MaxUtilization: fill})
	if err != nil {
		w.refuse(i, q)
		return
	}
	w.send(i, q, chosen)
}

// refuse lets the caller come back once.
func (w *world) refuse(i *instance, q *request) {
	wait := time.Duration((0.5 + w.random.Float64()) * i.service * float64(time.Second))
	if w.policy.FixedRetry {
		wait = time.Duration(i.service * float64(time.Second))
	}
	if q.retries == 0 || w.now+wait > q.asked+w.site.Deadline {
		w.outcome.Refused++
		w.count(q, false)
		return
	}
	q.retries--
	w.after(wait, func() { w.ask(q) })
}

// send carries the request to the endpoint and its answer back.
func (w *world) send(i *instance, q *request, chosen *placement.Endpoint) {
	var e *endpoint
	for _, candidate := range w.endpoints {
		if candidate.id == chosen.ID {
			e = candidate
		}
	}
	crossing := time.Duration(0)
	if e.region != q.region {
		crossing = w.site.Crossing / 2
		w.crossed++
	}
	sent := w.now
	done := false
	end := func(result placement.Result) {
		if done {
			return
		}
		done = true
		took := (w.now - sent).Seconds()
		i.table.End(w.wall(), chosen, result, took/math.Max(i.took, 0.01))
		switch result {
		case placement.Answered:
			i.took += 0.03 * (took - i.took)
			i.service += 0.03 * (took - 2*crossing.Seconds() - i.service)
			w.answered(q)
		case placement.Full:
			w.refuse(i, q)
		default:
			w.outcome.Refused++
			w.count(q, false)
		}
	}
	w.after(crossing, func() { w.run(e, q, func(r placement.Result) { w.after(crossing, func() { end(r) }) }) })
	w.after(q.asked+w.site.Deadline-w.now, func() { end(placement.Expired) })
}

// run works on a request at the endpoint when a slot is free.
func (w *world) run(e *endpoint, q *request, end func(placement.Result)) {
	if w.pattern.Down != nil && w.pattern.Down(w.now, e.region, e.index) {
		return
	}
	if w.pattern.Refuses != nil && w.random.Float64() < w.pattern.Refuses(w.now, e.index) {
		end(placement.Full)
		return
	}
	if e.busy >= w.site.Slots {
		if len(e.waiting) >= 3*w.site.Slots {
			end(placement.Full)
			return
		}
		e.waiting = append(e.waiting, func() { w.run(e, q, end) })
		return
	}
	e.busy++
	w.after(w.workOf(e, q), func() {
		e.remember(q.object, w.now, w.site.Memory)
		e.busy--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
		end(placement.Answered)
	})
}

// workOf returns how long the endpoint works on the request.
func (w *world) workOf(e *endpoint, q *request) time.Duration {
	w.runs++
	work := w.site.Work.Seconds() * (0.85 + 0.3*w.random.Float64())
	if _, known := e.memory[q.object]; known {
		w.known++
		work *= w.site.KnownPart
	}
	if w.pattern.Slow != nil {
		work *= w.pattern.Slow(w.now, e.index)
	}
	return time.Duration(work * float64(time.Second))
}

// remember notes an object and forgets the one that ran least lately.
func (e *endpoint) remember(object uint64, now time.Duration, limit int) {
	e.memory[object] = now
	if len(e.memory) <= limit {
		return
	}
	oldest, at := object, now
	for other, last := range e.memory {
		if last < at {
			oldest, at = other, last
		}
	}
	delete(e.memory, oldest)
}

func (w *world) answered(q *request) {
	good := w.now-q.asked <= w.site.Objective
	if good {
		w.outcome.InObjective++
	} else {
		w.outcome.Late++
	}
	w.count(q, good)
}

// count notes a request's end by region and by window.
func (w *world) count(q *request, good bool) {
	const window = 2 * time.Second
	at := int(q.asked / window)
	if w.windows[at] == nil {
		w.windows[at] = &[2]int{}
	}
	for _, counts := range []*[2]int{&w.regions[q.region], w.windows[at]} {
		counts[1]++
		if good {
			counts[0]++
		}
	}
}

func (w *world) sumUp() Outcome {
	o := w.outcome
	o.Pattern, o.Policy = w.pattern.Name, w.policy.Name
	o.Known = float64(w.known) / math.Max(float64(w.runs), 1)
	o.Crossed = float64(w.crossed) / math.Max(float64(o.Asked), 1)
	o.WorstRegion, o.WorstWindow = 1, 1
	for _, counts := range w.regions {
		o.WorstRegion = math.Min(o.WorstRegion, float64(counts[0])/math.Max(float64(counts[1]), 1))
	}
	for _, counts := range w.windows {
		o.WorstWindow = math.Min(o.WorstWindow, float64(counts[0])/math.Max(float64(counts[1]), 1))
	}
	return o
}
