package shift

import "time"

// ZoneState is what an entry knows about its zone when it computes its fraction.
type ZoneState struct {
	// Entries is the number of members of the zone, including this one and suspected
	// ones.
	Entries int
	// Zones is the number of zones of the region.
	Zones int
	// ConfirmedUntil is the time until which the other entries of the zone count this
	// entry as alive. It is zero if there are no others.
	ConfirmedUntil time.Time
}

// Allocation computes the fraction of the region's quotas that one entry holds.
type Allocation struct {
	holdTime  time.Duration
	startedAt time.Time
	// validUntil is the time until which the fraction is valid without a new
	// observation.
	validUntil time.Time
	// entryCounts holds the largest numbers of entries observed within the hold time,
	// each with the time when it was last seen, in descending order of the numbers.
	entryCounts []entryCount
	lastZone    ZoneState
}

type entryCount struct {
	entries    int
	lastSeenAt time.Time
}

// NewAllocation returns an allocation whose fraction is 0 until holdTime has passed.
func NewAllocation(now time.Time, holdTime time.Duration) *Allocation {
	return &Allocation{holdTime: holdTime, startedAt: now, validUntil: now.Add(holdTime / 2)}
}

// Observe records the present state of the zone. If the fraction was no longer valid,
// for example after a pause of the process, others may have taken it over: the entry
// then starts again without a fraction.
func (a *Allocation) Observe(now time.Time, zone ZoneState) {
	a.lastZone = zone
	if now.After(a.validUntil) {
		a.startedAt = now
	}
	a.validUntil = now.Add(a.holdTime / 2)
	if confirmed := zone.ConfirmedUntil; !confirmed.IsZero() && confirmed.Before(a.validUntil) {
		a.validUntil = confirmed
	}
	for len(a.entryCounts) > 0 && a.entryCounts[len(a.entryCounts)-1].entries <= zone.Entries {
		a.entryCounts = a.entryCounts[:len(a.entryCounts)-1]
	}
	a.entryCounts = append(a.entryCounts, entryCount{entries: zone.Entries, lastSeenAt: now})
	for len(a.entryCounts) > 1 && now.Sub(a.entryCounts[0].lastSeenAt) > a.holdTime {
		a.entryCounts = a.entryCounts[1:]
	}
}

// Fraction returns the fraction of the region's quotas that this entry may spend.
func (a *Allocation) Fraction(now time.Time) float64 {
	if len(a.entryCounts) == 0 || a.lastZone.Zones == 0 {
		return 0
	}
	if !now.Before(a.validUntil) || now.Sub(a.startedAt) <= a.holdTime {
		return 0
	}
	return 1 / float64(a.lastZone.Zones*max(a.entryCounts[0].entries, 1))
}
