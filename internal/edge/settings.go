package edge

import (
	"time"

	"lovagescale/internal/settings"
	"lovagescale/internal/steering"
)

// Settings are the settings of an instance that do not come from the store.
type Settings struct {
	Instance string
	Zone     string
	Region   string
	// Zones is the region of each zone.
	Zones map[string]string
	// Callers, Readiness, Lookups and Link are the addresses on which the instance
	// listens. Operator may be empty.
	Callers   string
	Readiness string
	Lookups   string
	Link      string
	Operator  string
	// Seeds are link addresses of other instances. Some may be out of date.
	Seeds []string
	// Process limits the process.
	settings.Process
	// Capacity is what the instance has for callers; the zero value stands for unknown.
	Capacity steering.Capacity
	Bounds   Bounds
}

// Bounds are the limits and times that an installation may set. Reload logs them under
// the names of the fields.
type Bounds struct {
	// StopGrace is the longest time between the stop signal and the end of the process.
	StopGrace time.Duration
	// RetryRatio and RetryBurst limit the retries of all instances together: RetryRatio
	// is a fraction of the first attempts, RetryBurst a number in addition.
	RetryRatio float64
	RetryBurst float64
	// QuotaWindow is the window in which a workspace may send its burst in addition to
	// its rate.
	QuotaWindow time.Duration
	// LookUpTTL is the longest time for which callers may cache the answer to a lookup.
	LookUpTTL time.Duration
	// InForce is the time within which a change in the store must be in force on all
	// instances.
	InForce time.Duration
	// MaxShift is the fraction of a region's requests that may move to another region
	// within ShiftWindow.
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
