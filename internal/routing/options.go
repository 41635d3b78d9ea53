package routing

import (
	"cmp"
	"time"

	"lovagescale/internal/control"
	"lovagescale/internal/quarantine"
)

// Options configure a Router. The zero value uses the defaults. A negative RetryShare,
// HedgeBelow, QueueWait, RampRequests, EjectShare, DrainHold or CancelLinger switches its
// mechanism off; the other fields must not be negative.
type Options struct {
	// Now is the clock; default time.Now.
	Now control.Clock
	// RetryShare is the number of retries and hedges allowed per first attempt;
	// default 0.1.
	RetryShare float64
	// MaxAttempts limits the attempts of one call, not counting a hedge; default 3.
	MaxAttempts int
	// HedgeBelow is the share of slots in use above which lookups are not
	// hedged; default 0.4.
	HedgeBelow float64
	// HedgeAfter is the minimum time after which a lookup without an answer is hedged;
	// default 5 ms.
	HedgeAfter time.Duration
	// QueueWait is the longest time that a call of a workspace below its fair share
	// waits for a slot; default 20 ms.
	QueueWait time.Duration
	// QueueLength limits the number of calls that wait for a slot of one service;
	// default 64.
	QueueLength int
	// RampRequests is the number of answers after which a cold endpoint may use one
	// more slot (slow start); default 2.
	RampRequests int
	// EjectFactor times the median latency of the other endpoints is the latency above
	// which an endpoint is ejected; default 3.
	EjectFactor float64
	// EjectShare is the largest share of a service's owned endpoints that may be ejected
	// at the same time; default 0.5.
	EjectShare float64
	// EjectTerm is the duration of an endpoint's first ejection. Each further one lasts
	// twice as long as the one before, up to 16 times EjectTerm; default 2 s.
	EjectTerm time.Duration
	// DrainHold is how long an endpoint counts as draining after its latest answer or
	// report that says so; default 30 s.
	DrainHold time.Duration
	// CancelLinger is how long a slot stays in use after its request was cancelled, since
	// the upstream may still work on the request; default 50 ms.
	CancelLinger time.Duration
	// ProbeInterval is the time between health probes of an endpoint; default 5 s.
	ProbeInterval time.Duration
	// Quarantine configures the quarantine of requests that crash endpoints.
	Quarantine quarantine.Options
}

// Defaults of Options.
const (
	defaultRetryShare    = 0.1
	defaultMaxAttempts   = 3
	defaultHedgeBelow    = 0.4
	defaultHedgeAfter    = 5 * time.Millisecond
	defaultQueueWait     = 20 * time.Millisecond
	defaultQueueLength   = 64
	defaultRampRequests  = 2
	defaultEjectFactor   = 3
	defaultEjectShare    = 0.5
	defaultEjectTerm     = 2 * time.Second
	defaultDrainHold     = 30 * time.Second
	defaultCancelLinger  = 50 * time.Millisecond
	defaultProbeInterval = 5 * time.Second
)

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	o.RetryShare = cmp.Or(o.RetryShare, defaultRetryShare)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, defaultMaxAttempts)
	o.HedgeBelow = cmp.Or(o.HedgeBelow, defaultHedgeBelow)
	o.HedgeAfter = cmp.Or(o.HedgeAfter, defaultHedgeAfter)
	o.QueueWait = cmp.Or(o.QueueWait, defaultQueueWait)
	o.QueueLength = cmp.Or(o.QueueLength, defaultQueueLength)
	o.RampRequests = cmp.Or(o.RampRequests, defaultRampRequests)
	o.EjectFactor = cmp.Or(o.EjectFactor, defaultEjectFactor)
	o.EjectShare = cmp.Or(o.EjectShare, defaultEjectShare)
	o.EjectTerm = cmp.Or(o.EjectTerm, defaultEjectTerm)
	o.DrainHold = cmp.Or(o.DrainHold, defaultDrainHold)
	o.CancelLinger = cmp.Or(o.CancelLinger, defaultCancelLinger)
	o.ProbeInterval = cmp.Or(o.ProbeInterval, defaultProbeInterval)
}
