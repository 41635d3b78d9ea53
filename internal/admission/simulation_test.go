package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"lovagescale/internal/fleet"
)

// Model of the simulations: endpoints with simSlots slots, each the preferred one of equally
// many objects. Requests within their share queue up to simLimit.
const (
	simStep     = 5 * time.Millisecond
	simTick     = 250 * time.Millisecond
	simDelay    = 4 // ticks until figures arrive at the other instances
	simSlots    = 4
	simLimit    = 1.4
	simUpstream = "prices"
	simMean     = 300 * time.Millisecond
)

// source is one workspace's requests of a class. demand returns their rate per second; only
// says at which instance they arrive, or -1 for all.
type source struct {
	workspace string
	class     int
	only      int
	demand    func(second float64) float64
	// limit is the utilization up to which its requests queue, or 0 for simLimit.
	limit float64
}

// tally counts the requests of a source after the first seconds.
type tally struct{ asked, served float64 }

func (t tally) fraction() float64 { return t.served / t.asked }

// simulation runs instances with gates of their own in front of common endpoints. Callers
// retry a refused request once after retryAfter.
type simulation struct {
	random     *rand.Rand
	now        time.Time
	gates      []*Gate
	history    [][]fleet.SlotSums // by tick and instance
	endpoints  [][]time.Duration  // remaining times of the requests, running ones first
	weights    Weights
	gated      bool
	retryAfter time.Duration
	retries    map[int64][]int // sources by step
	restartAt  float64
	served     float64 // after the first seconds
}

func newSimulation(instances, endpoints int, gated bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(3, 3)), now: time.UnixMilli(1_764_800_000_000), gated: gated, weights: Weights{Default: 1, Total: 12},
		endpoints: make([][]time.Duration, endpoints), retries: make(map[int64][]int), restartAt: -1}
	for range instances {
		s.gates = append(s.gates, NewGate())
	}
	return s
}

// run lets requests arrive for some seconds and returns the tallies of the sources from the
// second warmUp on.
func (s *simulation) run(seconds, warmUp float64, sources []source) []tally {
	tallies := make([]tally, len(sources))
	steps := int64(seconds / simStep.Seconds())
	for step := range steps {
		second := float64(step) * simStep.Seconds()
		counted := second >= warmUp
		for i, source := range sources {
			expected := source.demand(second) * simStep.Seconds()
			for n := int(expected + s.random.Float64()); n > 0; n-- {
				if counted {
					tallies[i].asked++
				}
				s.request(step, i, source, &tallies[i], counted, true)
			}
		}
		for _, i := range s.retries[step] {
			s.request(step, i, sources[i], &tallies[i], counted, false)
		}
		delete(s.retries, step)
		s.advance()
		if step%int64(simTick/simStep) == 0 {
			s.tick(second)
		}
	}
	return tallies
}

// request handles one request of a source and notes its retry if it is refused.
func (s *simulation) request(step int64, index int, from source, t *tally, counted, first bool) {
	instance := from.only
	if instance < 0 {
		instance = s.random.IntN(len(s.gates))
	}
	gate, limit := s.gates[instance], cmp.Or(from.limit, simLimit)
	within, _ := gate.Admit(s.now, simUpstream, from.workspace, from.class, s.random.Float64())
	if s.gated && !within {
		limit = ExcessLimit(limit, s.random.Float64())
	}
	endpoint := s.random.IntN(len(s.endpoints))
	if float64(len(s.endpoints[endpoint]))/simSlots >= limit {
		gate.RecordRefusal(simUpstream, from.workspace, from.class)
		if first && s.retryAfter > 0 {
			at := step + int64(s.retryAfter/simStep)
			s.retries[at] = append(s.retries[at], index)
		}
		return
	}
	took := time.Duration(s.random.ExpFloat64() * float64(simMean))
	s.endpoints[endpoint] = append(s.endpoints[endpoint], took)
	gate.RecordUse(simUpstream, from.workspace, from.class, took)
	if counted {
		t.served++
		s.served += took.Seconds()
	}
}

func (s *simulation) advance() {
	s.now = s.now.Add(simStep)
	for e, requests := range s.endpoints {
		kept := requests[:0]
		for i, remaining := range requests {
			if i < simSlots {
				remaining -= simStep
			}
			if remaining > 0 {
				kept = append(kept, remaining)
			}
		}
		s.endpoints[e] = kept
	}
}

// tick updates all gates with figures of the others that are simDelay ticks old.
func (s *simulation) tick(second float64) {
	if s.restartAt >= 0 && second >= s.restartAt {
		s.restartAt, s.history = -1, nil
		for i := range s.gates {
			s.gates[i] = NewGate()
		}
	}
	uses := make([]fleet.SlotSums, len(s.gates))
	for i, gate := range s.gates {
		gate.Tick(simTick)
		uses[i] = gate.Use()
	}
	s.history = append(s.history, uses)
	if len(s.history) <= simDelay {
		return
	}
	old := s.history[len(s.history)-1-simDelay]
	for i, gate := range s.gates {
		others := make(fleet.SlotSums)
		for j, use := range old {
			for key, u := range use {
				if j == i {
					continue
				}
				others.Add(key.Upstream, key.Class, "", u.Rest, u.Used, u.Refused)
				for workspace, slots := range u.Workspaces {
					others.Add(key.Upstream, key.Class, workspace, slots, 0, 0)
				}
			}
		}
		gate.Update(s.now, uses[i], others, s.weights)
	}
}

// steady returns a constant demand.
func steady(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// small returns n workspaces with the given rate each.
func small(n int, rate float64) []source {
	var sources []source
	for i := range n {
		sources = append(sources, source{workspace: fmt.Sprint("small", i), only: -1, demand: steady(rate)})
	}
	return sources
}

// total adds up tallies.
func total(tallies []tally) tally {
	var sum tally
	for _, t := range tallies {
		sum.asked += t.asked
		sum.served += t.served
	}
	return sum
}
