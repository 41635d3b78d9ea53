package shift

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/refusal"
)

// retryAfter is the time after which a refused request may be tried again: one
// window.
const retryAfter = window

// Limits are the quotas of a region. A value of 0 means no limit.
type Limits struct {
	Region             string
	LinkBytesPerSecond float64
	CapPerSecond       float64
}

// Gate admits or refuses requests that other regions shift to one entry. Its methods
// may be called from several goroutines.
type Gate struct {
	mu         sync.Mutex
	limits     Limits
	allocation *Allocation
	ramp       Ramp
	link       Bucket

	admitted      metrics.Meter
	refusedByCap  metrics.Counter
	refusedByLink metrics.Counter
}

// NewGate returns a gate without a fraction of the quotas until holdTime has passed.
func NewGate(now time.Time, holdTime time.Duration, registry metrics.Registry) *Gate {
	return &Gate{
		allocation:    NewAllocation(now, holdTime),
		link:          Bucket{filledAt: now},
		admitted:      metrics.GetOrRegisterMeter("shift.admitted", registry),
		refusedByCap:  metrics.GetOrRegisterCounter("shift.refused_by_cap", registry),
		refusedByLink: metrics.GetOrRegisterCounter("shift.refused_by_link", registry),
	}
}

// Apply sets the quotas of the region.
func (g *Gate) Apply(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
}

// Observe records the present state of the zone.
func (g *Gate) Observe(now time.Time, zone ZoneState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allocation.Observe(now, zone)
}

// Admit admits a request of the given size that another region has sent and returns
// nil, or returns a refusal. The bytes are debited in both cases, since they have
// crossed the link.
func (g *Gate) Admit(now time.Time, bytes int) *refusal.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	fraction := g.allocation.Fraction(now)
	if !g.spendLink(now, fraction, float64(bytes)) {
		g.refusedByLink.Inc(1)
		return refuse("link into region %q has no bytes left", g.limits.Region)
	}
	if g.limits.CapPerSecond > 0 && !g.ramp.Admit(now, g.limits.CapPerSecond*fraction) {
		g.refusedByCap.Inc(1)
		return refuse("traffic shifted into region %q is at its cap", g.limits.Region)
	}
	g.admitted.Mark(1)
	return nil
}

// Reserve debits the estimated bytes of an answer that another region will send. The
// returned function replaces the estimate by the actual number of bytes. If the link
// has no bytes left, Reserve debits nothing and returns a refusal.
func (g *Gate) Reserve(now time.Time, estimate int) (settle func(actual int), refused *refusal.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.spendLink(now, g.allocation.Fraction(now), float64(estimate)) {
		g.link.Refund(float64(estimate))
		g.refusedByLink.Inc(1)
		return nil, refuse("link into region %q has no bytes left for an answer", g.limits.Region)
	}
	return func(actual int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.link.Refund(float64(estimate - actual))
	}, nil
}

func (g *Gate) spendLink(now time.Time, fraction, bytes float64) bool {
	if g.limits.LinkBytesPerSecond <= 0 {
		return true
	}
	return g.link.Spend(now, g.limits.LinkBytesPerSecond*fraction, bytes)
}

func refuse(format, region string) *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.ShiftLimited, refusal.NotRun,
		fmt.Sprintf(format, region)).WithRetryAfter(retryAfter)
}

// State is the state of a gate in a state dump.
type State struct {
	Region             string  `json:"region"`
	Fraction           float64 `json:"part"`
	LinkBytesPerSecond float64 `json:"link_bytes_per_second"`
	CapPerSecond       float64 `json:"cap_per_second"`
	ShiftedPerSecond   float64 `json:"shifted_per_second"`
	LinkBytesLeft      float64 `json:"link_bytes_left"`
}

// State returns the state of the gate for a state dump.
func (g *Gate) State(now time.Time) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{
		Region:             g.limits.Region,
		Fraction:           g.allocation.Fraction(now),
		LinkBytesPerSecond: g.limits.LinkBytesPerSecond,
		CapPerSecond:       g.limits.CapPerSecond,
		ShiftedPerSecond:   g.ramp.Rate(now),
		LinkBytesLeft:      g.link.level,
	}
}
