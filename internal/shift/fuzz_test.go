package shift

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lovagescale/internal/fuzzseed"
)

// Times of the model's membership and the hold that follows from them.
const (
	confirmed = 8 * time.Second
	judged    = 7 * time.Second
	hold      = 9 * time.Second
)

// entry is an entry of the model.
type entry struct {
	zone     int
	division *Division
	ramp     Ramp
	link     Bucket
	frozen   bool
	frozenAt time.Time
	gone     bool
	goneAt   time.Time
}

// fleet is the oracle: it counts what all entries admit together.
type fleet struct {
	now      time.Time
	zones    int
	entries  []*entry
	cap      float64
	rate     float64
	windows  map[int64]float64
	spent    float64
	started  time.Time
	overdraw float64
}

// counted is the number of entries that siblings still count in a zone.
func (f *fleet) counted(zone int) int {
	n := 0
	for _, e := range f.entries {
		silentFor := time.Duration(0)
		if e.gone {
			silentFor = f.now.Sub(e.goneAt)
		} else if e.frozen {
			silentFor = f.now.Sub(e.frozenAt)
		}
		if e.zone == zone && silentFor < judged {
			n++
		}
	}
	return n
}

func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, e := range f.entries {
		if !e.gone && !e.frozen {
			zone := Zone{Entries: f.counted(e.zone), Zones: f.zones}
			if zone.Entries > 1 {
				zone.ConfirmedUntil = f.now.Add(confirmed)
			}
			e.division.Observe(f.now, zone)
		}
	}
}

// demand offers requests to every entry that runs. One that has just resumed
// spends before it observes anything.
func (f *fleet) demand(t *rapid.T, requests int, bytes float64) {
	parts := 0.0
	for _, e := range f.entries {
		if e.gone || e.frozen {
			continue
		}
		part := e.division.Part(f.now)
		parts += part
		for range requests {
			if e.ramp.Admit(f.now, f.cap*part) {
				f.windows[f.now.Unix()]++
			}
			if e.link.Spend(f.now, f.rate*part, 0) && part > 0 {
				e.link.Spend(f.now, f.rate*part, bytes)
				f.spent += bytes
			}
		}
	}
	if parts > 1+1e-9 {
		t.Fatalf("parts add up to %v", parts)
	}
}

func (f *fleet) check(t *rapid.T) {
	now := f.now.Unix()
	if f.windows[now] > f.windows[now-1]+f.cap {
		t.Fatalf("window admits %v after %v with cap %v", f.windows[now], f.windows[now-1], f.cap)
	}
	whole := f.rate * (f.now.Sub(f.started) + bucketDepth*time.Duration(len(f.entries))).Seconds()
	if f.spent > whole+f.overdraw*float64(len(f.entries)) {
		t.Fatalf("link carried %v bytes of %v", f.spent, whole)
	}
}

// TestFuzzShift lets entries start, end, pause and resume under demand far above
// the quotas.
func TestFuzzShift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_000_000, 0)
		f := &fleet{now: start, started: start, zones: rapid.IntRange(1, 3).Draw(t, "zones"),
			cap: 50, rate: 10_000, overdraw: 2_000, windows: make(map[int64]float64)}
		begin := func(zone int) {
			e := &entry{zone: zone, division: NewDivision(f.now, hold), link: Bucket{at: f.now}}
			f.entries = append(f.entries, e)
		}
		for zone := range f.zones {
			begin(zone)
		}
		pick := func(t *rapid.T) *entry { return rapid.SampledFrom(f.entries).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"": f.check,
			"run": func(t *rapid.T) {
				for range rapid.IntRange(1, 100).Draw(t, "steps") {
					f.advance(250 * time.Millisecond)
					f.demand(t, 60, f.overdraw)
					f.check(t)
				}
			},
			"start": func(t *rapid.T) { begin(rapid.IntRange(0, f.zones-1).Draw(t, "zone")) },
			"end": func(t *rapid.T) {
				if e := pick(t); !e.gone {
					e.gone, e.goneAt = true, f.now
				}
			},
			"freeze": func(t *rapid.T) {
				if e := pick(t); !e.frozen {
					e.frozen, e.frozenAt = true, f.now
				}
			},
			"resume": func(t *rapid.T) {
				pick(t).frozen = false
				f.demand(t, 60, f.overdraw)
			},
		})
	})
}

// TestFuzzRampFromNothing checks one entry whose demand comes and goes: no
// window admits more than the one before and the cap.
func TestFuzzRampFromNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		growth := rapid.Float64Range(1, 200).Draw(t, "growth")
		var ramp Ramp
		now := time.Unix(1_000_000, 0)
		previous, admitted := 0.0, 0.0
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			step := time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "step"))
			later := now.Add(step)
			if windows := later.Unix() - now.Unix(); windows > 0 {
				previous, admitted = admitted, 0
				if windows > 1 {
					previous = 0
				}
			}
			now = later
			if ramp.Admit(now, growth) {
				admitted++
			}
			if admitted > previous+growth {
				t.Fatalf("window admits %v after %v with growth %v", admitted, previous, growth)
			}
		}
	})
}
