package shift

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

// Timeouts of the modeled membership, and the hold time that follows from them.
const (
	confirmTimeout = 8 * time.Second
	removalTimeout = 7 * time.Second
	holdTime       = 9 * time.Second
)

// modelEntry is one entry of the model.
type modelEntry struct {
	zone       int
	allocation *Allocation
	ramp       Ramp
	link       Bucket
	paused     bool
	pausedAt   time.Time
	ended      bool
	endedAt    time.Time
}

// fleetModel counts what all entries admit together and checks it against the quotas.
type fleetModel struct {
	now          time.Time
	zones        int
	entries      []*modelEntry
	growthCap    float64
	linkRate     float64
	windows      map[int64]float64
	linkBytes    float64
	startedAt    time.Time
	requestBytes float64 // size of a request; each bucket may go below zero by one
}

// countedEntries returns the number of entries of a zone that the others of the zone
// still count as alive.
func (f *fleetModel) countedEntries(zone int) int {
	count := 0
	for _, e := range f.entries {
		silentFor := time.Duration(0)
		if e.ended {
			silentFor = f.now.Sub(e.endedAt)
		} else if e.paused {
			silentFor = f.now.Sub(e.pausedAt)
		}
		if e.zone == zone && silentFor < removalTimeout {
			count++
		}
	}
	return count
}

func (f *fleetModel) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, e := range f.entries {
		if !e.ended && !e.paused {
			zone := ZoneState{Entries: f.countedEntries(e.zone), Zones: f.zones}
			if zone.Entries > 1 {
				zone.ConfirmedUntil = f.now.Add(confirmTimeout)
			}
			e.allocation.Observe(f.now, zone)
		}
	}
}

// offerRequests offers requests to every running entry. An entry that has just
// resumed spends before it observes anything.
func (f *fleetModel) offerRequests(t *rapid.T, requests int, bytes float64) {
	sum := 0.0
	for _, e := range f.entries {
		if e.ended || e.paused {
			continue
		}
		fraction := e.allocation.Fraction(f.now)
		sum += fraction
		for range requests {
			if e.ramp.Admit(f.now, f.growthCap*fraction) {
				f.windows[f.now.Unix()]++
			}
			if e.link.Spend(f.now, f.linkRate*fraction, 0) && fraction > 0 {
				e.link.Spend(f.now, f.linkRate*fraction, bytes)
				f.linkBytes += bytes
			}
		}
	}
	if sum > 1+1e-9 {
		t.Fatalf("fractions add up to %v", sum)
	}
}

func (f *fleetModel) check(t *rapid.T) {
	second := f.now.Unix()
	if f.windows[second] > f.windows[second-1]+f.growthCap {
		t.Fatalf("window admits %v after %v with cap %v", f.windows[second], f.windows[second-1], f.growthCap)
	}
	allowance := f.linkRate * (f.now.Sub(f.startedAt) + bucketCapacityTime*time.Duration(len(f.entries))).Seconds()
	if f.linkBytes > allowance+f.requestBytes*float64(len(f.entries)) {
		t.Fatalf("link carried %v bytes of %v", f.linkBytes, allowance)
	}
}

// TestFuzzShift starts, ends, pauses and resumes entries while the demand is far
// above the quotas.
func TestFuzzShift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_000_000, 0)
		f := &fleetModel{now: start, startedAt: start, zones: rapid.IntRange(1, 3).Draw(t, "zones"),
			growthCap: 50, linkRate: 10_000, requestBytes: 2_000, windows: make(map[int64]float64)}
		startEntry := func(zone int) {
			e := &modelEntry{zone: zone, allocation: NewAllocation(f.now, holdTime), link: Bucket{filledAt: f.now}}
			f.entries = append(f.entries, e)
		}
		for zone := range f.zones {
			startEntry(zone)
		}
		drawEntry := func(t *rapid.T) *modelEntry { return rapid.SampledFrom(f.entries).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"": f.check,
			"run": func(t *rapid.T) {
				for range rapid.IntRange(1, 100).Draw(t, "steps") {
					f.advance(250 * time.Millisecond)
					f.offerRequests(t, 60, f.requestBytes)
					f.check(t)
				}
			},
			"start": func(t *rapid.T) { startEntry(rapid.IntRange(0, f.zones-1).Draw(t, "zone")) },
			"end": func(t *rapid.T) {
				if e := drawEntry(t); !e.ended {
					e.ended, e.endedAt = true, f.now
				}
			},
			"freeze": func(t *rapid.T) {
				if e := drawEntry(t); !e.paused {
					e.paused, e.pausedAt = true, f.now
				}
			},
			"resume": func(t *rapid.T) {
				drawEntry(t).paused = false
				f.offerRequests(t, 60, f.requestBytes)
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
