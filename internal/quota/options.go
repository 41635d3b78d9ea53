package quota

import (
	"cmp"
	"time"
)

// Units counts tokens in millionths. One request costs one Token.
type Units int64

// Token is the price of a request.
const Token Units = 1_000_000

// Fixed parameters of the division. All instances must use the same.
const (
	// slotsPerZone is the number of reserved shares of a zone.
	slotsPerZone = 16
	// ownerShares is the number of owner shares over all workspaces.
	ownerShares = 16
	// sharesPerWorkspace is the number of owner shares that serve a workspace.
	sharesPerWorkspace = 2
)

// Options configure a Core. The zero value uses the defaults. Reserved,
// GrantTTL, PauseLimit and OwnerTTL must be equal on all instances.
type Options struct {
	// Reserved is the reserved part of each quota; default 1/4.
	Reserved float64
	// GrantTTL is how long a grant may be spent; default 3 s.
	GrantTTL time.Duration
	// PauseLimit is the longest pause of a process after which it may go on
	// spending without reading its shares again; default 15 s.
	PauseLimit time.Duration
	// OwnerTTL is how long an owner issues after its last renewal; default
	// 10 min.
	OwnerTTL time.Duration
	// Horizon is the time of demand that an entry holds tokens for; default
	// 200 ms.
	Horizon time.Duration
	// AskTimeout bounds the wait for a grant; default 300 ms.
	AskTimeout time.Duration
	// ReturnAfter is how long a workspace must be idle at an entry before the
	// entry returns what it holds of others' parts; default 1 s.
	ReturnAfter time.Duration
	// Fanout is the number of other entries asked at once; default 16.
	Fanout int
}

func (o Options) withDefaults() Options {
	o.Reserved = cmp.Or(o.Reserved, 0.25)
	o.GrantTTL = cmp.Or(o.GrantTTL, 3*time.Second)
	o.PauseLimit = cmp.Or(o.PauseLimit, 15*time.Second)
	o.OwnerTTL = cmp.Or(o.OwnerTTL, 10*time.Minute)
	o.Horizon = cmp.Or(o.Horizon, 200*time.Millisecond)
	o.AskTimeout = cmp.Or(o.AskTimeout, 300*time.Millisecond)
	o.ReturnAfter = cmp.Or(o.ReturnAfter, time.Second)
	o.Fanout = cmp.Or(o.Fanout, 16)
	return o
}

// clockMargin is the part by which clocks of two instances may differ in speed.
const clockMargin = 20

// widened returns d with the clock margin, for the side that must wait longer.
func widened(d time.Duration) time.Duration { return d + d/clockMargin }

// grantWait is how long a new issuer of a part waits before it issues if the
// former one has stopped: until the grants of the former have expired.
func (o Options) grantWait() time.Duration { return widened(o.GrantTTL) }

// startTime is how long an entry that has just started may take to find shares
// and other entries. Requests wait for that.
func (o Options) startTime() time.Duration { return o.grantWait() + 2*time.Second }

// handoverWait is the wait of a new issuer if the former one was taken for
// ended. Within it a process that was paused, or that still runs although it
// has left the platform's list, notices and stops.
func (o Options) handoverWait() time.Duration { return widened(o.PauseLimit + 2*o.GrantTTL) }

// Limit is the quota of one workspace.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Limits are the quotas of one revision of the configuration.
type Limits struct {
	Revision   uint64
	Zones      int
	Workspaces map[string]Limit
}
