package edge

import "lovagescale/internal/allowance"

// Reload takes the bounds and the seeds of changed settings. Whatever else they
// hold, addresses and places above all, stays until the next start. It cuts no
// request and no connection.
func (e *Edge) Reload(s Settings) {
	e.bounds.Store(&s.Bounds)
	e.seeds.Store(&s.Seeds)
	e.retries.SetOptions(s.Bounds.retryOptions())
	e.lending.setWindow(s.Bounds.QuotaWindow)
	line := e.log.Info().Interface("bounds", s.Bounds).Strs("seeds", s.Seeds)
	if changed := e.settings.fixed(s); len(changed) > 0 {
		line = line.Strs("at_next_start", changed)
	}
	line.Msg("settings are in force")
}

// fixed names the settings that differ and stay until the next start.
func (s Settings) fixed(other Settings) []string {
	var changed []string
	for _, field := range []struct {
		name string
		same bool
	}{
		{"instance", s.Instance == other.Instance},
		{"zone", s.Zone == other.Zone && s.Region == other.Region},
		{"callers", s.Callers == other.Callers},
		{"readiness", s.Readiness == other.Readiness},
		{"look-ups", s.LookUps == other.LookUps},
		{"link", s.Link == other.Link},
		{"operator", s.Operator == other.Operator},
		{"memory", s.MemoryBytes == other.MemoryBytes},
	} {
		if !field.same {
			changed = append(changed, field.name)
		}
	}
	return changed
}

// retryOptions are the bounds of further tries.
func (b Bounds) retryOptions() allowance.RetryOptions {
	return allowance.RetryOptions{Ratio: b.RetryRatio, Burst: b.RetryBurst}
}
