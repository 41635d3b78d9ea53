package ownership

// Unsettled reports whether endpoints are changing hands, as far as this
// instance takes part in it: it leaves, gives endpoints up, or is the preferred
// owner of endpoints that it does not hold yet.
func (c *Core) Unsettled() bool {
	if c.leaving {
		return true
	}
	for _, r := range c.rights {
		wanted := r.listed && r.preferred == c.self
		if r.phase == claiming || r.phase == yielding || wanted && r.phase != held {
			return true
		}
	}
	return false
}

// Settled reports whether the instance knows the list and takes part in no
// change of hands, so that another instance of the zone may be replaced.
func (c *Core) Settled() bool { return c.listSince.IsZero() && !c.Unsettled() }
