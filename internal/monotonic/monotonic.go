// Package monotonic expresses times as numbers that follow the monotonic clock, for values
// that are kept in atomics. A step of the time of day then neither ends nor extends what is
// compared with them.
package monotonic

import "time"

// processStart is a time with a monotonic reading, from which Nanos counts.
var processStart = time.Now()

// Nanos returns the time in nanoseconds. A time without a monotonic reading gives its Unix
// time.
func Nanos(t time.Time) int64 { return processStart.UnixNano() + int64(t.Sub(processStart)) }

// Millis returns the time in milliseconds.
func Millis(t time.Time) int64 { return Nanos(t) / int64(time.Millisecond) }
