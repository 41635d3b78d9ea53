package edge

import "time"

// Settings are what an instance knows before it reaches anything.
type Settings struct {
	Instance string
	Zone     string
	Region   string
	// Zones gives the region of each zone.
	Zones map[string]string
	// Callers, Readiness, LookUps and Link are the addresses that the instance
	// serves. Operator may be empty.
	Callers   string
	Readiness string
	LookUps   string
	Link      string
	Operator  string
	// Seeds are link addresses of other instances; any may be stale.
	Seeds []string
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	Bounds      Bounds
}

// Bounds are the figures that an installation sets.
type Bounds struct {
	// StopGrace is the time from the request to stop to the end of the process.
	StopGrace time.Duration
	// RetryRatio and RetryBurst bound the tries beyond the first ones, over all
	// instances: a share of the first ones, and a number beside it.
	RetryRatio float64
	RetryBurst float64
	// QuotaWindow is the window in which a workspace may send its burst beside its
	// rate.
	QuotaWindow time.Duration
	// LookUpTTL is the longest time that callers keep an answer to a look-up.
	LookUpTTL time.Duration
	// InForce is the time in which a change of the store must be in force on all
	// instances.
	InForce time.Duration
	// MaxShift is the share of a region's requests that may change the region
	// where they run within ShiftWindow.
	MaxShift float64
}

// ShiftWindow is the window of Bounds.MaxShift.
const ShiftWindow = 2 * time.Second

// DefaultBounds returns the bounds of an installation that sets none.
func DefaultBounds() Bounds {
	return Bounds{
		StopGrace:   6 * time.Second,
		RetryRatio:  0.1,
		RetryBurst:  20,
		QuotaWindow: 5 * time.Second,
		LookUpTTL:   5 * time.Second,
		InForce:     5 * time.Second,
		MaxShift:    0.15,
	}
}
