package shift

import "time"

// Zone is what an entry knows of its zone when it takes its part.
type Zone struct {
	// Entries is the number of members of the zone, this one and the suspected
	// ones included.
	Entries int
	// Zones is the number of zones of the region.
	Zones int
	// ConfirmedUntil is the time until which the siblings count on this entry,
	// the zero time without siblings.
	ConfirmedUntil time.Time
}

// Division is the part of the region's quotas that one entry holds.
type Division struct {
	hold      time.Duration
	startedAt time.Time
	// until is the time until which the part holds without a new observation.
	until time.Time
	// seen holds the largest numbers of entries with the last time of each, in
	// falling order of the numbers.
	seen []seenEntries
	last Zone
}

type seenEntries struct {
	entries int
	at      time.Time
}

// NewDivision returns a division without a part until hold has passed.
func NewDivision(now time.Time, hold time.Duration) *Division {
	return &Division{hold: hold, startedAt: now, until: now.Add(hold / 2)}
}

// Observe takes the present state of the zone. An entry that was paused until
// others may have taken its part starts again without one.
func (d *Division) Observe(now time.Time, zone Zone) {
	d.last = zone
	if now.After(d.until) {
		d.startedAt = now
	}
	d.until = now.Add(d.hold / 2)
	if confirmed := zone.ConfirmedUntil; !confirmed.IsZero() && confirmed.Before(d.until) {
		d.until = confirmed
	}
	for len(d.seen) > 0 && d.seen[len(d.seen)-1].entries <= zone.Entries {
		d.seen = d.seen[:len(d.seen)-1]
	}
	d.seen = append(d.seen, seenEntries{entries: zone.Entries, at: now})
	for len(d.seen) > 1 && now.Sub(d.seen[0].at) > d.hold {
		d.seen = d.seen[1:]
	}
}

// Part returns the fraction of the region's quotas that this entry may spend.
func (d *Division) Part(now time.Time) float64 {
	if len(d.seen) == 0 || d.last.Zones == 0 {
		return 0
	}
	if !now.Before(d.until) || now.Sub(d.startedAt) <= d.hold {
		return 0
	}
	return 1 / float64(d.last.Zones*max(d.seen[0].entries, 1))
}
