package model

import "time"

// between reports whether a time is in a span of seconds.
func between(at time.Duration, from, to float64) bool {
	return at.Seconds() >= from && at.Seconds() < to
}

// Patterns are the loads and troubles that policies are compared on. Troubles last
// from 8 s to 16 s of a run.
func Patterns() []Pattern {
	const from, to = 8, 16
	return []Pattern{
		{Name: "calm"},
		{Name: "burst", Load: func(at time.Duration, _ int) float64 {
			if between(at, from, from+3) {
				return 1.7
			}
			return 1
		}},
		{Name: "shift", Load: func(at time.Duration, region int) float64 {
			switch {
			case !between(at, from, to):
				return 1
			case region == 0:
				return 2.2
			}
			return 0.4
		}},
		{Name: "overload", Load: func(time.Duration, int) float64 { return 2.6 }},
		{Name: "slow-fifth", Slow: func(at time.Duration, endpoint int) float64 {
			if between(at, from, to) && endpoint%5 == 0 {
				return 5
			}
			return 1
		}},
		{Name: "refusing-fifth", Refuses: func(at time.Duration, endpoint int) float64 {
			if between(at, from, to) && endpoint%5 == 0 {
				return 0.5
			}
			return 0
		}},
		{Name: "region-lost", Down: func(at time.Duration, region, _ int) bool { return between(at, from, to) && region == 1 }},
	}
}
