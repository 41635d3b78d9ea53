package entry

import (
	"cmp"
	"lovagescale/internal/lookup"
	"strings"
	"time"

	"lovagescale/internal/settings"
	"lovagescale/internal/tomlfile"
	"lovagescale/internal/unit"
)

// Settings are the static settings of an entry.
type Settings struct {
	// Instance identifies the instance in the platform's list.
	Instance string `toml:"instance"`
	Zone     string `toml:"availability_zone"`
	// Address is the listen address for callers, Link that for the other processes
	// of the system and Operator that for operators.
	Address  string `toml:"address"`
	Link     string `toml:"link"`
	Operator string `toml:"operator"`
	// Platform is the address of the platform's store and instance list.
	Platform     string        `toml:"platform"`
	StoreTimeout unit.Duration `toml:"store_timeout"`
	// LeaveGrace is how long a stopping entry continues to accept new requests, for
	// callers whose lookup answers still contain it.
	LeaveGrace unit.Duration `toml:"leave_grace"`
	// StopGrace limits the drain after LeaveGrace at a planned stop, and then the wait
	// for actions in progress.
	StopGrace      unit.Duration `toml:"stop_grace"`
	MaxBodyBytes   int64         `toml:"max_body_bytes"`
	MaxHeaderBytes int           `toml:"max_header_bytes"`
	// Process limits the process.
	settings.Process
	LogLevel string `toml:"log_level"`
	// WatchWait is how long the store holds one watch request for the configuration
	// open.
	WatchWait unit.Duration `toml:"store_watch_wait"`
	// Isolation is the isolation time of workspaces that do not configure one.
	Isolation unit.Duration `toml:"isolation"`
	// Membership configures the timing of heartbeats and gossip.
	Membership MembershipSettings `toml:"membership"`
	// Routing configures the choice of endpoints.
	Routing RoutingSettings `toml:"routing"`
	// Action limits the memory and the journal of actions.
	Action ActionSettings `toml:"action"`
	// Quota configures how workspaces' quotas are divided among entries.
	Quota QuotaSettings `toml:"quota"`
}

// Defaults of Settings.
const (
	defaultStoreTimeout   = unit.Duration(2 * time.Second)
	defaultStopGrace      = unit.Duration(30 * time.Second)
	defaultMaxHeaderBytes = 32 << 10
	defaultWatchWait      = unit.Duration(10 * time.Second)
	defaultIsolation      = unit.Duration(24 * time.Hour)
)

// Level implements settings.Checker.
func (s *Settings) Level() string { return s.LogLevel }

// Check implements settings.Checker.
func (s *Settings) Check(document *tomlfile.Document) {
	settings.RequireNonEmpty(document, s.Instance, "instance")
	settings.RequireNonEmpty(document, s.Zone, "availability_zone")
	settings.RequireAddress(document, s.Address, "address")
	settings.RequireAddress(document, s.Link, "link")
	settings.RequireAddress(document, s.Operator, "operator")
	settings.RequireAddress(document, s.Platform, "platform")
	if strings.Contains(s.Instance, ".") {
		document.Add("must not contain a dot, since a dot ends the owner part of an idempotency key", "instance")
	}
	s.Action.check(document)
	s.Quota.check(document)
	s.Process.Check(document)
	settings.CheckLogLevel(document, s.LogLevel)
	s.StoreTimeout = cmp.Or(s.StoreTimeout, defaultStoreTimeout)
	s.StopGrace = cmp.Or(s.StopGrace, defaultStopGrace)
	s.LeaveGrace = cmp.Or(s.LeaveGrace, unit.Duration(lookup.AnswerTTL))
	s.MaxHeaderBytes = cmp.Or(s.MaxHeaderBytes, defaultMaxHeaderBytes)
	s.WatchWait = cmp.Or(s.WatchWait, defaultWatchWait)
	s.Isolation = cmp.Or(s.Isolation, defaultIsolation)
}
