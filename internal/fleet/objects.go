package fleet

// UpstreamObjects is an estimate of the number of distinct objects that the recent
// requests to an upstream concerned which ran in a region.
type UpstreamObjects struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Upstream string
	// Region is the region in which the requests ran.
	Region  string
	Objects float32
}

// objectCounts are the largest estimates, by upstream and region. Every instance uses the
// largest one of all, so that they agree.
type objectCounts map[[2]string]float32

func (c objectCounts) add(estimates []UpstreamObjects) {
	for _, e := range estimates {
		key := [2]string{e.Upstream, e.Region}
		c[key] = max(c[key], e.Objects)
	}
}

func (c objectCounts) list() []UpstreamObjects {
	var estimates []UpstreamObjects
	for key, objects := range c {
		estimates = append(estimates, UpstreamObjects{Upstream: key[0], Region: key[1], Objects: objects})
	}
	return estimates
}
