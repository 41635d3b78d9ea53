package membership

import (
	"cmp"
	"time"
)

// Options configure a Core. The zero value uses the defaults.
type Options struct {
	// HeartbeatInterval is the time between heartbeats to a sibling; default
	// 1 s.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a sibling is suspected; default
	// 3 s.
	SuspectAfter time.Duration
	// DeadAfter is the time from suspicion to death for an instance that the
	// platform does not list as live; default 2 s.
	DeadAfter time.Duration
	// ListedDeadAfter is the same for one that is listed as live; default 4 s.
	ListedDeadAfter time.Duration
	// DeadRetention is how long the dead are remembered; default 5 min.
	DeadRetention time.Duration
	// GossipInterval is the shortest time between comparisons with another
	// zone's delegate; default 1 s.
	GossipInterval time.Duration
	// GossipBytesPerSecond bounds a delegate's digests by stretching the gossip
	// interval; default 1500.
	GossipBytesPerSecond int
	// Fanout is the number of delegates to which a changed summary is pushed;
	// default 3.
	Fanout int
	// ZoneSilence is the silence after which a zone counts as cut off, above
	// the time that gossip takes to spread; default 5 s.
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

// WithDefaults returns the options with defaults in place of zeros.
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

// ticksPerHeartbeat is how often Tick should be called in one heartbeat
// interval.
const ticksPerHeartbeat = 4

// TickInterval is the time between calls of Core.Tick.
func (o Options) TickInterval() time.Duration { return o.HeartbeatInterval / ticksPerHeartbeat }
