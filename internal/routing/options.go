package routing

import (
	"cmp"
	"time"

	"lovagescale/internal/control"
	"lovagescale/internal/quarantine"
)

// Options configure a Router. The zero value uses the defaults. A negative
// number switches off what a duration or a share turns on.
type Options struct {
	// Now is the clock; default time.Now.
	Now control.Clock
	// RetryShare is the retries and hedges that each first try earns;
	// default 0.1.
	RetryShare float64
	// MaxTries bounds the endpoints that one call tries; default 3.
	MaxTries int
	// HedgeBelow is the share of slots in use above which lookups are not
	// hedged; default 0.4.
	HedgeBelow float64
	// HedgeAfter is the shortest wait before a hedge; default 5 ms.
	HedgeAfter time.Duration
	// QueueWait is how long a workspace below its share waits for a slot;
	// default 20 ms.
	QueueWait time.Duration
	// QueueLength bounds the waiters of a service; default 64.
	QueueLength int
	// RampRequests is the answers that open one more slot of a cold endpoint;
	// default 2.
	RampRequests int
	// EjectFactor is how many times slower than the median of the others an
	// endpoint is ejected; default 3.
	EjectFactor float64
	// EjectShare is the largest share of endpoints that are ejected at once;
	// default 0.5.
	EjectShare float64
	// EjectTerm is the first time of an ejection, doubled by each further one;
	// default 2 s.
	EjectTerm time.Duration
	// DrainHold is how long a sign of draining counts; default 30 s.
	DrainHold time.Duration
	// CancelLinger is how long a slot stays taken after its request was
	// cancelled; default 50 ms.
	CancelLinger time.Duration
	// ProbeInterval is the time between health probes of an endpoint;
	// default 5 s.
	ProbeInterval time.Duration
	// Quarantine bounds the quarantine.
	Quarantine quarantine.Options
}

// Defaults of Options.
const (
	defaultRetryShare    = 0.1
	defaultMaxTries      = 3
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

func (o *Options) fill() {
	if o.Now == nil {
		o.Now = time.Now
	}
	o.RetryShare = cmp.Or(o.RetryShare, defaultRetryShare)
	o.MaxTries = cmp.Or(o.MaxTries, defaultMaxTries)
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
