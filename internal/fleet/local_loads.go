package fleet

// SetLocalEndpoints records the endpoints of this instance's region.
func (v *View) SetLocalEndpoints(keys []EndpointKey) {
	v.localEndpoints = make(map[EndpointKey]struct{}, len(keys))
	for _, key := range keys {
		v.localEndpoints[key] = struct{}{}
	}
}

// loadsOfLocalEndpoints returns what another region has in flight at the endpoints of this
// instance's region. Without it, members would find room at endpoints that are full, and crowd
// out the requests of that region.
func (v *View) loadsOfLocalEndpoints(digest Digest) []EndpointLoad {
	if digest.AgeMillis > digestLifetime.Milliseconds() {
		return nil
	}
	var local []EndpointLoad
	for _, load := range digest.Activity.EndpointLoads {
		if _, found := v.localEndpoints[load.Endpoint]; found {
			local = append(local, load)
		}
	}
	return local
}
