package shift

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

// Timeouts of the simulated membership, and the hold time that follows from them.
const (
	confirmTimeout = 8 * time.Second
	removalTimeout = 7 * time.Second
	holdTime       = 9 * time.Second
)

// simulatedEntry is one entry of the simulation.
type simulatedEntry struct {
	zone       int
	allocation *Allocation
	ramp       Ramp
	link       Bucket
	paused     bool
	pausedAt   time.Time
	ended      bool
	endedAt    time.Time
}

// simulation counts what all entries admit together and checks it against the quotas.
type simulation struct {
	now              time.Time
	zones            int
	entries          []*simulatedEntry
	growthCap        float64
	linkRate         float64
	admittedByWindow map[int64]float64 // admitted requests by Unix time in seconds
	linkBytes        float64
	startedAt        time.Time
	requestBytes     float64 // size of a request; each bucket may go below zero by one
}

// countedEntries returns the number of entries of a zone that the others of the zone
// still count as alive.
func (s *simulation) countedEntries(zone int) int {
	count := 0
	for _, e := range s.entries {
		silentFor := time.Duration(0)
		if e.ended {
			silentFor = s.now.Sub(e.endedAt)
		} else if e.paused {
			silentFor = s.now.Sub(e.pausedAt)
		}
		if e.zone == zone && silentFor < removalTimeout {
			count++
		}
	}
	return count
}

func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, e := range s.entries {
		if !e.ended && !e.paused {
			zone := ZoneState{Entries: s.countedEntries(e.zone), Zones: s.zones}
			if zone.Entries > 1 {
				zone.ConfirmedUntil = s.now.Add(confirmTimeout)
			}
			e.allocation.Observe(s.now, zone)
		}
	}
}

// offerRequests offers requests to every running entry. An entry that has just
// resumed spends before it observes anything.
func (s *simulation) offerRequests(t *rapid.T, requests int, bytes float64) {
	sum := 0.0
	for _, e := range s.entries {
		if e.ended || e.paused {
			continue
		}
		fraction := e.allocation.Fraction(s.now)
		sum += fraction
		for range requests {
			if e.ramp.Admit(s.now, s.growthCap*fraction) {
				s.admittedByWindow[s.now.Unix()]++
			}
			if e.link.Spend(s.now, s.linkRate*fraction, 0) && fraction > 0 {
				e.link.Spend(s.now, s.linkRate*fraction, bytes)
				s.linkBytes += bytes
			}
		}
	}
	if sum > 1+1e-9 {
		t.Fatalf("fractions add up to %v", sum)
	}
}

func (s *simulation) check(t *rapid.T) {
	second := s.now.Unix()
	if s.admittedByWindow[second] > s.admittedByWindow[second-1]+s.growthCap {
		t.Fatalf("window admits %v after %v with cap %v", s.admittedByWindow[second], s.admittedByWindow[second-1], s.growthCap)
	}
	allowance := s.linkRate * (s.now.Sub(s.startedAt) + bucketCapacityTime*time.Duration(len(s.entries))).Seconds()
	if s.linkBytes > allowance+s.requestBytes*float64(len(s.entries)) {
		t.Fatalf("link carried %v bytes, more than the allowed %v", s.linkBytes, allowance)
	}
}

// TestFuzzShift starts, ends, pauses and resumes entries while the demand is far
// above the quotas.
func TestFuzzShift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_000_000, 0)
		s := &simulation{now: start, startedAt: start, zones: rapid.IntRange(1, 3).Draw(t, "zones"),
			growthCap: 50, linkRate: 10_000, requestBytes: 2_000, admittedByWindow: make(map[int64]float64)}
		startEntry := func(zone int) {
			e := &simulatedEntry{zone: zone, allocation: NewAllocation(s.now, holdTime), link: Bucket{filledAt: s.now}}
			s.entries = append(s.entries, e)
		}
		for zone := range s.zones {
			startEntry(zone)
		}
		drawEntry := func(t *rapid.T) *simulatedEntry { return rapid.SampledFrom(s.entries).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"": s.check,
			"run": func(t *rapid.T) {
				for range rapid.IntRange(1, 100).Draw(t, "steps") {
					s.advance(250 * time.Millisecond)
					s.offerRequests(t, 60, s.requestBytes)
					s.check(t)
				}
			},
			"start": func(t *rapid.T) { startEntry(rapid.IntRange(0, s.zones-1).Draw(t, "zone")) },
			"end": func(t *rapid.T) {
				if e := drawEntry(t); !e.ended {
					e.ended, e.endedAt = true, s.now
				}
			},
			"freeze": func(t *rapid.T) {
				if e := drawEntry(t); !e.paused {
					e.paused, e.pausedAt = true, s.now
				}
			},
			"resume": func(t *rapid.T) {
				drawEntry(t).paused = false
				s.offerRequests(t, 60, s.requestBytes)
			},
		})
	})
}

// TestFuzzRampFromNothing checks that no window admits more than the previous one
// plus the cap, at one entry whose demand varies.
func TestFuzzRampFromNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		growth := rapid.Float64Range(1, 200).Draw(t, "growth")
		var ramp Ramp
		now := time.Unix(1_000_000, 0)
		previous, admitted := 0.0, 0.0
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			step := time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "step"))
			next := now.Add(step)
			if windows := next.Unix() - now.Unix(); windows > 0 {
				previous, admitted = admitted, 0
				if windows > 1 {
					previous = 0
				}
			}
			now = next
			if ramp.Admit(now, growth) {
				admitted++
			}
			if admitted > previous+growth {
				t.Fatalf("window admits %v after %v with growth %v", admitted, previous, growth)
			}
		}
	})
}
