package edge

import "lovagescale/internal/allowance"

// Reload puts the bounds and the seeds of changed settings in force. All other settings,
// such as addresses and the zone, stay until the next start. Reload closes no connection
// and interrupts no request.
func (e *Edge) Reload(s Settings) {
	e.bounds.Store(&s.Bounds)
	e.seeds.Store(&s.Seeds)
	e.retryBudget.SetOptions(s.Bounds.retryOptions())
	e.pools.SetWindow(s.Bounds.QuotaWindow)
	event := e.log.Info().Interface("bounds", s.Bounds).Strs("seeds", s.Seeds)
	if changed := e.settings.changedFixedSettings(s); len(changed) > 0 {
		event = event.Strs("at_next_start", changed)
	}
	event.Msg("settings are in force")
}

// changedFixedSettings returns the names of the settings that differ in other and only
// change at the next start.
func (s Settings) changedFixedSettings(other Settings) []string {
	var changed []string
	for _, field := range []struct {
		name string
		same bool
	}{
		{"instance", s.Instance == other.Instance},
		{"zone", s.Zone == other.Zone && s.Region == other.Region},
		{"callers", s.Callers == other.Callers},
		{"readiness", s.Readiness == other.Readiness},
		{"look-ups", s.Lookups == other.Lookups},
		{"link", s.Link == other.Link},
		{"operator", s.Operator == other.Operator},
		{"memory or descriptors", s.Process == other.Process},
	} {
		if !field.same {
			changed = append(changed, field.name)
		}
	}
	return changed
}

// retryOptions returns the limits of the retry budget.
func (b Bounds) retryOptions() allowance.RetryOptions {
	return allowance.RetryOptions{Ratio: b.RetryRatio, Burst: b.RetryBurst}
}
