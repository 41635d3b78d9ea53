package model

import "time"

// duringSeconds reports whether a time is between two times in seconds, the second one
// excluded.
func duringSeconds(at time.Duration, from, to float64) bool {
	return at.Seconds() >= from && at.Seconds() < to
}

// Patterns returns the loads and faults that policies are compared on. Faults and shifted
// load last from 8 s to 16 s of a run, the burst from 8 s to 11 s, the outage of all endpoints
// from 8 s to 10 s, the overload the whole run.
func Patterns() []Pattern {
	const from, to = 8, 16
	return []Pattern{
		{Name: "calm"},
		{Name: "burst", LoadFactor: func(at time.Duration, _ int) float64 {
			if duringSeconds(at, from, from+3) {
				return 1.7
			}
			return 1
		}},
		{Name: "shift", LoadFactor: func(at time.Duration, region int) float64 {
			switch {
			case !duringSeconds(at, from, to):
				return 1
			case region == 0:
				return 2.2
			}
			return 0.4
		}},
		{Name: "overload", LoadFactor: func(time.Duration, int) float64 { return 2.6 }},
		{Name: "slow-fifth", SlowdownFactor: func(at time.Duration, endpoint int) float64 {
			if duringSeconds(at, from, to) && endpoint%5 == 0 {
				return 5
			}
			return 1
		}},
		{Name: "refusing-fifth", RefusalShare: func(at time.Duration, endpoint int) float64 {
			if duringSeconds(at, from, to) && endpoint%5 == 0 {
				return 0.5
			}
			return 0
		}},
		{Name: "retry-storm", LoadFactor: func(time.Duration, int) float64 { return 1.3 }, ImpatientShare: func(at time.Duration) float64 {
			if duringSeconds(at, from, to) {
				return 0.3
			}
			return 0
		}},
		{Name: "outage-end", Down: func(at time.Duration, _, _ int) bool { return duringSeconds(at, from, from+2) }},
		{Name: "region-lost", Down: func(at time.Duration, region, _ int) bool { return duringSeconds(at, from, to) && region == 1 }},
	}
}
