package membership

import (
	"cmp"
	"time"
)

// Options configures a Core. The zero value selects the defaults.
type Options struct {
	// HeartbeatInterval is the time between heartbeats to a sibling; default 1 s.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a sibling is suspected; default 3 s.
	SuspectAfter time.Duration
	// DeadAfter is the time from the suspicion until a silent instance is declared
	// dead if the platform does not list it as live; default 2 s.
	DeadAfter time.Duration
	// ListedDeadAfter is the same time for an instance that the platform lists as
	// live; default 4 s.
	ListedDeadAfter time.Duration
	// DeadRetention is how long the records of dead incarnations are kept; default
	// 5 min.
	DeadRetention time.Duration
	// GossipInterval is the minimum time between two comparisons of all zones that
	// a delegate starts; default 1 s.
	GossipInterval time.Duration
	// GossipBytesPerSecond limits the bytes that a delegate spends on digests by
	// lengthening the gossip interval; default 1500.
	GossipBytesPerSecond int
	// Fanout is the number of random delegates to which a changed summary is
	// pushed; default 3.
	Fanout int
	// ZoneSilence is the silence after which a zone counts as silent, in addition
	// to the time that gossip takes to spread; default 5 s.
	ZoneSilence time.Duration
}

// Defaults of Options.
const (
	defaultHeartbeatInterval    = time.Second
	defaultSuspectAfter         = 3 * time.Second
	defaultDeadAfter            = 2 * time.Second
	defaultListedDeadAfter      = 4 * time.Second
	defaultDeadRetention        = 5 * time.Minute
	defaultGossipInterval       = time.Second
	defaultGossipBytesPerSecond = 1500
	defaultFanout               = 3
	defaultZoneSilence          = 5 * time.Second
)

// WithDefaults returns the options with zero fields replaced by their defaults.
func (o Options) WithDefaults() Options {
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, defaultHeartbeatInterval)
	o.SuspectAfter = cmp.Or(o.SuspectAfter, defaultSuspectAfter)
	o.DeadAfter = cmp.Or(o.DeadAfter, defaultDeadAfter)
	o.ListedDeadAfter = cmp.Or(o.ListedDeadAfter, defaultListedDeadAfter)
	o.DeadRetention = cmp.Or(o.DeadRetention, defaultDeadRetention)
	o.GossipInterval = cmp.Or(o.GossipInterval, defaultGossipInterval)
	o.GossipBytesPerSecond = cmp.Or(o.GossipBytesPerSecond, defaultGossipBytesPerSecond)
	o.Fanout = cmp.Or(o.Fanout, defaultFanout)
	o.ZoneSilence = cmp.Or(o.ZoneSilence, defaultZoneSilence)
	return o
}

// ticksPerHeartbeat is the number of calls of Core.Tick in a heartbeat interval.
const ticksPerHeartbeat = 4

// TickInterval is the time between calls of Core.Tick.
func (o Options) TickInterval() time.Duration { return o.HeartbeatInterval / ticksPerHeartbeat }
