package ownership

// ChangeInProgress reports whether this instance takes part in an ownership change: it
// is leaving, it claims or yields an endpoint, or it is the preferred owner of an
// endpoint that it does not hold yet.
func (c *Core) ChangeInProgress() bool {
	if c.leaving {
		return true
	}
	for _, e := range c.endpoints {
		wanted := e.configured && e.preferred == c.self
		if e.phase == claiming || e.phase == yielding || wanted && e.phase != held {
			return true
		}
	}
	return false
}

// Stable reports whether a platform list has contained this instance since its start or
// its last pause and it takes part in no ownership change, so that another instance of
// the zone may be replaced.
func (c *Core) Stable() bool { return c.listWaitSince.IsZero() && !c.ChangeInProgress() }
