package entry

import (
	mathrand "math/rand/v2"

	"lovagescale/internal/quarantine"
	"lovagescale/internal/routing"
	"lovagescale/internal/unit"
)

// RoutingSettings configure the choice of endpoints. The fields are described in
// routing.Options; QuarantineTerm is the duration of a quarantine. Zero fields get the
// defaults.
type RoutingSettings struct {
	RetryShare     float64       `toml:"retry_share"`
	HedgeBelow     float64       `toml:"hedge_below"`
	HedgeAfter     unit.Duration `toml:"hedge_after"`
	QueueWait      unit.Duration `toml:"queue_wait"`
	RampRequests   int           `toml:"ramp_requests"`
	EjectShare     float64       `toml:"eject_share"`
	EjectTerm      unit.Duration `toml:"eject_term"`
	DrainHold      unit.Duration `toml:"drain_hold"`
	ProbeInterval  unit.Duration `toml:"probe_interval"`
	QuarantineTerm unit.Duration `toml:"quarantine_term"`
}

func (s RoutingSettings) options() routing.Options {
	return routing.Options{
		RetryShare:    s.RetryShare,
		HedgeBelow:    s.HedgeBelow,
		HedgeAfter:    s.HedgeAfter.Std(),
		QueueWait:     s.QueueWait.Std(),
		RampRequests:  s.RampRequests,
		EjectShare:    s.EjectShare,
		EjectTerm:     s.EjectTerm.Std(),
		DrainHold:     s.DrainHold.Std(),
		ProbeInterval: s.ProbeInterval.Std(),
		Quarantine:    quarantine.Options{Duration: s.QuarantineTerm.Std()},
	}
}

// setUpRouting creates the router, which has no rights to any endpoint yet.
func (e *Entry) setUpRouting() {
	random := mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
	e.router = routing.NewWithOptions(e.settings.Instance, e.settings.Zone, random, e.registry, e.settings.Routing.options())
	e.ownership = newOwnershipController(e)
}
