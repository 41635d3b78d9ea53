package shift

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/refusal"
)

// retryAfter is the time after which a refused shift can be tried again: the
// next window.
const retryAfter = window

// Limits are the quotas of a region. 0 is no bound.
type Limits struct {
	Region             string
	LinkBytesPerSecond float64
	CapPerSecond       float64
}

// Gate admits shifted traffic at one entry. Its methods may be called from
// several goroutines.
type Gate struct {
	mu       sync.Mutex
	limits   Limits
	division *Division
	ramp     Ramp
	link     Bucket

	admitted metrics.Meter
	capped   metrics.Counter
	overLink metrics.Counter
}

// NewGate returns a gate that holds no part until hold has passed.
func NewGate(now time.Time, hold time.Duration, registry metrics.Registry) *Gate {
	return &Gate{
		division: NewDivision(now, hold),
		link:     Bucket{at: now},
		admitted: metrics.GetOrRegisterMeter("shift.admitted", registry),
		capped:   metrics.GetOrRegisterCounter("shift.refused_by_cap", registry),
		overLink: metrics.GetOrRegisterCounter("shift.refused_by_link", registry),
	}
}

// Apply puts the quotas of the region in force.
func (g *Gate) Apply(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
}

// Observe takes the present state of the zone.
func (g *Gate) Observe(now time.Time, zone Zone) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.division.Observe(now, zone)
}

// Admit decides about a request of the given size that another region sent, or
// returns a refusal.
func (g *Gate) Admit(now time.Time, bytes int) *refusal.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	part := g.division.Part(now)
	if !g.spend(now, part, float64(bytes)) {
		g.overLink.Inc(1)
		return refuse("link into region %q has no bytes left", g.limits.Region)
	}
	if g.limits.CapPerSecond > 0 && !g.ramp.Admit(now, g.limits.CapPerSecond*part) {
		g.capped.Inc(1)
		return refuse("traffic shifted into region %q is at its cap", g.limits.Region)
	}
	g.admitted.Mark(1)
	return nil
}

// Reserve spends the bytes of an answer that another region will send, or
// returns a refusal. The returned function replaces the estimate by the bytes
// that came.
func (g *Gate) Reserve(now time.Time, estimate int) (settle func(came int), refused *refusal.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.spend(now, g.division.Part(now), float64(estimate)) {
		g.link.Return(float64(estimate))
		g.overLink.Inc(1)
		return nil, refuse("link into region %q has no bytes left for an answer", g.limits.Region)
	}
	return func(came int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.link.Return(float64(estimate - came))
	}, nil
}

func (g *Gate) spend(now time.Time, part, bytes float64) bool {
	if g.limits.LinkBytesPerSecond <= 0 {
		return true
	}
	return g.link.Spend(now, g.limits.LinkBytesPerSecond*part, bytes)
}

func refuse(format, region string) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.ShiftLimited, refusal.NotRun,
		fmt.Sprintf(format, region)).After(retryAfter)
}

// State is the gate in a state dump.
type State struct {
	Region             string  `json:"region"`
	Part               float64 `json:"part"`
	LinkBytesPerSecond float64 `json:"link_bytes_per_second"`
	CapPerSecond       float64 `json:"cap_per_second"`
	ShiftedPerSecond   float64 `json:"shifted_per_second"`
	LinkBytesLeft      float64 `json:"link_bytes_left"`
}

// State returns the gate for a state dump.
func (g *Gate) State(now time.Time) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{
		Region:             g.limits.Region,
		Part:               g.division.Part(now),
		LinkBytesPerSecond: g.limits.LinkBytesPerSecond,
		CapPerSecond:       g.limits.CapPerSecond,
		ShiftedPerSecond:   g.ramp.Rate(now),
		LinkBytesLeft:      g.link.level,
	}
}
