package quota

import (
	"cmp"
	"time"
)

// Microtokens counts tokens in millionths. One request costs one Token.
type Microtokens int64

// Token is the price of a request.
const Token Microtokens = 1_000_000

// Fixed parameters of the division into shares. All instances must use the same
// values.
const (
	// reservedSharesPerZone is the number of reserved shares of a zone.
	reservedSharesPerZone = 16
	// ownerShareCount is the number of owner shares for all workspaces together.
	ownerShareCount = 16
	// ownerSharesPerWorkspace is the number of owner shares that serve a workspace.
	ownerSharesPerWorkspace = 2
)

// Options configure a Core. Zero values stand for the defaults. ReservedFraction,
// GrantTTL, PauseLimit and OwnerTTL must be equal on all instances.
type Options struct {
	// ReservedFraction is the fraction of each quota that is divided into reserved
	// shares; default 1/4.
	ReservedFraction float64
	// GrantTTL is how long a grant may be spent; default 3 s.
	GrantTTL time.Duration
	// PauseLimit is the longest pause of a process after which it may go on spending
	// without reading its shares in the store again; default 15 s.
	PauseLimit time.Duration
	// OwnerTTL is the lease time of an owner share: how long an owner issues after
	// its last renewal; default 10 min.
	OwnerTTL time.Duration
	// DemandHorizon is the time of demand for which an entry holds tokens; default
	// 200 ms.
	DemandHorizon time.Duration
	// GrantTimeout bounds the wait for a grant; default 300 ms.
	GrantTimeout time.Duration
	// ReturnAfter is how long a workspace must be idle at an entry before the entry
	// returns its tokens of remote shares; default 1 s.
	ReturnAfter time.Duration
	// Fanout is the number of other entries that are asked for grants at once while
	// requests wait; default 16.
	Fanout int
}

func (o Options) withDefaults() Options {
	o.ReservedFraction = cmp.Or(o.ReservedFraction, 0.25)
	o.GrantTTL = cmp.Or(o.GrantTTL, 3*time.Second)
	o.PauseLimit = cmp.Or(o.PauseLimit, 15*time.Second)
	o.OwnerTTL = cmp.Or(o.OwnerTTL, 10*time.Minute)
	o.DemandHorizon = cmp.Or(o.DemandHorizon, 200*time.Millisecond)
	o.GrantTimeout = cmp.Or(o.GrantTimeout, 300*time.Millisecond)
	o.ReturnAfter = cmp.Or(o.ReturnAfter, time.Second)
	o.Fanout = cmp.Or(o.Fanout, 16)
	return o
}

// clockMarginDivisor is the inverse of the fraction by which the clocks of two
// instances may differ in speed.
const clockMarginDivisor = 20

// withClockMargin returns d plus the clock margin, for the side that must wait
// longer.
func withClockMargin(d time.Duration) time.Duration { return d + d/clockMarginDivisor }

// grantExpiryWait is how long the new issuer of a share waits before it issues if the
// former issuer has stopped: until the grants of the former issuer have expired.
func (o Options) grantExpiryWait() time.Duration { return withClockMargin(o.GrantTTL) }

// startupWait is how long an entry that has just started may take to find shares and
// other entries. Requests wait during that time.
func (o Options) startupWait() time.Duration { return o.grantExpiryWait() + 2*time.Second }

// takeoverWait is how long a new issuer waits if the former issuer was only
// considered dead. In this time a process that was paused, or that still runs
// although it has left the platform's list, detects that and stops issuing.
func (o Options) takeoverWait() time.Duration { return withClockMargin(o.PauseLimit + 2*o.GrantTTL) }

// Limit is the quota of one workspace.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Limits are the limits of all workspaces in one revision of the configuration.
type Limits struct {
	Revision   uint64
	Zones      int
	Workspaces map[string]Limit
}
