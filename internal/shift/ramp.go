package shift

import "time"

// window is the time over which admitted requests are counted.
const window = time.Second

// earlyFraction is the fraction of a window's requests that may be admitted at its
// start.
const earlyFraction = 0.25

// Ramp limits the growth of a request rate.
type Ramp struct {
	windowStart      time.Time
	previousAdmitted float64
	admitted         float64
}

// Admit admits one request and counts it if the growth, in requests per second per
// second, leaves room for it.
func (r *Ramp) Admit(now time.Time, growth float64) bool {
	r.advance(now)
	allowed := r.previousAdmitted + growth*window.Seconds()
	elapsed := float64(now.Sub(r.windowStart)) / float64(window)
	if r.admitted+1 > allowed || r.admitted >= allowed*min(1, elapsed+earlyFraction) {
		return false
	}
	r.admitted++
	return true
}

// Rate returns the number of requests admitted in the last complete window.
func (r *Ramp) Rate(now time.Time) float64 {
	r.advance(now)
	return r.previousAdmitted
}

// advance starts the window that contains now. If the clock goes back, the current
// window stays.
func (r *Ramp) advance(now time.Time) {
	start := now.Truncate(window)
	if !start.After(r.windowStart) {
		return
	}
	r.previousAdmitted = 0
	if start.Sub(r.windowStart) == window {
		r.previousAdmitted = r.admitted
	}
	r.admitted = 0
	r.windowStart = start
}

// Bucket is a token bucket that limits bytes per second. Its level can be negative.
type Bucket struct {
	level    float64
	filledAt time.Time
}

// bucketCapacityTime is the time in which the capacity of a bucket is filled.
const bucketCapacityTime = 250 * time.Millisecond

// Spend debits bytes that have crossed the link and reports whether the level was
// positive before.
func (b *Bucket) Spend(now time.Time, rate, bytes float64) bool {
	b.refill(now, rate)
	inCredit := b.level > 0
	b.level -= bytes
	return inCredit
}

// Refund credits bytes that were debited in advance and did not cross the link.
func (b *Bucket) Refund(bytes float64) { b.level += bytes }

func (b *Bucket) refill(now time.Time, rate float64) {
	capacity := rate * bucketCapacityTime.Seconds()
	if elapsed := now.Sub(b.filledAt).Seconds(); elapsed > 0 {
		b.level += rate * elapsed
		b.filledAt = now
	}
	b.level = min(b.level, capacity)
}
