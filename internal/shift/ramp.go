package shift

import "time"

// window is the time over which admitted requests are counted.
const window = time.Second

// earlyPart is the part of a window's requests that may come at its start.
const earlyPart = 0.25

// Ramp bounds the growth of a rate.
type Ramp struct {
	started  time.Time
	previous float64
	admitted float64
}

// Admit counts one request if growth, in requests per second per second, leaves
// room for it.
func (r *Ramp) Admit(now time.Time, growth float64) bool {
	r.advance(now)
	allowed := r.previous + growth*window.Seconds()
	elapsed := float64(now.Sub(r.started)) / float64(window)
	if r.admitted+1 > allowed || r.admitted >= allowed*min(1, elapsed+earlyPart) {
		return false
	}
	r.admitted++
	return true
}

// Rate returns the requests admitted in the last whole window.
func (r *Ramp) Rate(now time.Time) float64 {
	r.advance(now)
	return r.previous
}

// advance moves to the window of now. A clock that goes back stays in it.
func (r *Ramp) advance(now time.Time) {
	start := now.Truncate(window)
	if !start.After(r.started) {
		return
	}
	r.previous = 0
	if start.Sub(r.started) == window {
		r.previous = r.admitted
	}
	r.admitted = 0
	r.started = start
}

// Bucket bounds bytes per second. It can be in debt.
type Bucket struct {
	level float64
	at    time.Time
}

// bucketDepth is the time of its rate that a bucket holds.
const bucketDepth = 250 * time.Millisecond

// Spend takes bytes that have crossed the link and reports whether the bucket
// was not in debt before.
func (b *Bucket) Spend(now time.Time, rate, bytes float64) bool {
	b.fill(now, rate)
	solvent := b.level > 0
	b.level -= bytes
	return solvent
}

// Return gives back bytes that were spent ahead and did not cross.
func (b *Bucket) Return(bytes float64) { b.level += bytes }

func (b *Bucket) fill(now time.Time, rate float64) {
	depth := rate * bucketDepth.Seconds()
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level += rate * elapsed
		b.at = now
	}
	b.level = min(b.level, depth)
}
