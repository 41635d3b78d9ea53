package ownership

// Unsettled reports whether this instance takes part in a transfer of endpoints: it
// is leaving, it claims or yields an endpoint, or it is the preferred owner of an
// endpoint that it does not hold yet.
func (c *Core) Unsettled() bool {
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

// Settled reports whether the platform's list contains this instance and it takes
// part in no transfer, so that another instance of the zone may be replaced.
func (c *Core) Settled() bool { return c.listWaitSince.IsZero() && !c.Unsettled() }
