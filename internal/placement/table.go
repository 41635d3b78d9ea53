// Package placement decides where a request runs: first the region, by shares that change
// slowly, then an endpoint of the region. Requests for the same object go to the same
// endpoint, as long as the utilization of the endpoint permits.
//
// Endpoints register themselves in the store. The control loop keeps them in a Registry
// and publishes an immutable Table. The goroutines that serve requests choose endpoints
// from the Table and count their in-flight requests on them.
//
// Where each endpoint holds few objects, an object has several preferred endpoints, and the
// one with the earlier expected completion takes the request; see Objects and
// docs/design/placement.md.
//
// The load of an endpoint is the number of in-flight requests of this instance and of the
// other instances as last reported. An endpoint that is slow, fails often or does not
// answer is ejected for a while. A cold endpoint gets requests at a limited rate and only
// from the instances of its region.
//
// Failure modes: without reports of the other instances the load is underestimated, so
// that endpoints queue or refuse requests. An endpoint that refuses nearly
// all requests is ejected. Without estimates of the number of objects an object has one preferred endpoint; without
// recent speeds all endpoints count as equally fast.
// When a region has no usable endpoint, its share goes to the other regions at once.
package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/monotonic"
)

// Table holds the endpoints by upstream and region. It is immutable except for the state
// of its endpoints.
type Table struct {
	upstreams map[string]map[string][]*Endpoint
	byID      map[string]*Endpoint
	byHash    map[uint32]*Endpoint
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{upstreams: make(map[string]map[string][]*Endpoint), byID: make(map[string]*Endpoint), byHash: make(map[uint32]*Endpoint)}
}

// Endpoint returns the endpoint with the identifier, or nil.
func (t *Table) Endpoint(id string) *Endpoint { return t.byID[id] }

// EndpointByHash returns the endpoint whose identifier has the hash in its low bits, or nil.
func (t *Table) EndpointByHash(hash uint32) *Endpoint { return t.byHash[hash] }

// Endpoints returns all registered endpoints by identifier, including those that get no
// requests because they are draining or their zone is evacuated.
func (t *Table) Endpoints() map[string]*Endpoint { return t.byID }

// Capacity returns the slots of the upstream's endpoints that are healthy and not cold,
// by region. Of an endpoint that names a limit it counts the slots that the limit leaves in
// use if a request takes serviceTime.
func (t *Table) Capacity(now time.Time, upstream string, serviceTime time.Duration) map[string]float64 {
	slots := make(map[string]float64)
	for region, endpoints := range t.upstreams[upstream] {
		for _, e := range endpoints {
			if status, cold := e.status(now); status == healthy && !cold {
				slots[region] += e.usableSlots(now, serviceTime)
			}
		}
	}
	return slots
}

// Utilization returns the utilization of the upstream's endpoints, by region.
func (t *Table) Utilization(now time.Time, upstream string) map[string]float64 {
	utilization := make(map[string]float64)
	for region, endpoints := range t.upstreams[upstream] {
		utilization[region] = meanUtilization(now, endpoints)
	}
	return utilization
}

// Upstreams returns the names of the upstreams that have endpoints.
func (t *Table) Upstreams() []string {
	names := make([]string, 0, len(t.upstreams))
	for name := range t.upstreams {
		names = append(names, name)
	}
	return names
}

// Request is a request for which an endpoint is chosen.
type Request struct {
	Upstream string
	// Region is the region in which the request is to run.
	Region string
	// Local is set if Region is this instance's own region. Only then may the request use
	// cold endpoints.
	Local bool
	// AffinityKey identifies the object of the request, see the function AffinityKey. It
	// is 0 for a request without an object.
	AffinityKey uint64
	// MaxUtilization is the utilization below which the preferred endpoint takes the
	// request. Without an object it limits the least loaded endpoint and counts as at
	// least 1.
	MaxUtilization float64
	// SustainedUtilization replaces MaxUtilization at an endpoint that has had no free slot
	// for longer than SustainedAfter, see Limits. It does not count if SustainedAfter is 0.
	SustainedUtilization float64
	SustainedAfter       time.Duration
	// FirstRunLikely is set if such requests mostly are the first ones for their object, also
	// at a preferred endpoint.
	FirstRunLikely bool
	// Preferred is the number of preferred endpoints of the object, see Objects; 0 counts
	// as 1.
	Preferred int
	// Random is a random number from [0, 1) for the choice between several preferred
	// endpoints.
	Random float64
	// Expected are the times that are expected for the request, TimeLeft is the time until
	// its deadline; 0 if unknown. They count only with several preferred endpoints.
	Expected Expectation
	TimeLeft time.Duration
	// Tried are the endpoints to which the request was sent already.
	Tried []*Endpoint
}

// MaxRegionUtilizationForSpill is the mean utilization of a region from which requests go
// to their preferred endpoint only and do not spill to others. In a busy region, the long
// first requests for objects at other endpoints would take capacity from all other
// requests, which would then spill as well.
const MaxRegionUtilizationForSpill = 0.6

// MaxEndpointUtilizationForSpill is the utilization below which an endpoint takes
// requests that it is not the preferred endpoint of. Such an endpoint has not processed
// the object before and takes several times as long, which only pays if it has free
// slots.
const MaxEndpointUtilizationForSpill = 0.75

// maxRegionUtilizationForFirstRuns replaces MaxRegionUtilizationForSpill for requests that are
// mostly the first ones for their object: elsewhere they take no longer. In a region that is
// fuller than this, even they would take the slots of others.
const maxRegionUtilizationForFirstRuns = 0.8

// NoRoomError reports that no endpoint of a region can take a request.
type NoRoomError struct {
	Upstream string
	Region   string
	// Registered is the number of endpoints in the region. Usable is the number of those
	// that may get requests now, ColdWaiting the number of cold ones without a permit for
	// the request, LimitWaiting that of those whose limit allows none now.
	Registered, Usable, ColdWaiting, LimitWaiting int
	// PreferredUtilization is the utilization of the preferred endpoint, MaxUtilization
	// the utilization below which it takes the request.
	PreferredUtilization, MaxUtilization float64
	// TooLate is set if the preferred endpoint would take the request but is expected to
	// end it after its deadline.
	TooLate bool
}

// Error implements the error interface.
func (e *NoRoomError) Error() string {
	late := ""
	if e.TooLate {
		late = "; there the request is expected to end after its deadline"
	}
	return fmt.Sprintf("upstream %q has no room in region %q: %d of %d endpoints are usable, %d cold ones have no permit, %d have reached their limit; the preferred endpoint's utilization is %.2f, the limit %.2f%s",
		e.Upstream, e.Region, e.Usable, e.Registered, e.ColdWaiting, e.LimitWaiting, e.PreferredUtilization, e.MaxUtilization, late)
}

// Regions calls visit with the number of endpoints of each upstream and region, and whether
// an endpoint of the upstream in any region has reported a speed that is not as usual.
func (t *Table) Regions(visit func(serving Serving, endpoints int, uneven bool)) {
	for name, regions := range t.upstreams {
		uneven := false
		for _, endpoints := range regions {
			uneven = uneven || slices.ContainsFunc(endpoints, (*Endpoint).isUneven)
		}
		for region, endpoints := range regions {
			visit(Serving{Upstream: name, Region: region}, len(endpoints), uneven)
		}
	}
}

// Choose returns an endpoint and counts the request on it, or returns a *NoRoomError. The
// caller must call End for the endpoint.
func (t *Table) Choose(now time.Time, request Request) (*Endpoint, error) {
	endpoints := t.upstreams[request.Upstream][request.Region]
	var s selection
	for {
		s.compare(now, request, endpoints)
		best := s.best()
		if best == nil {
			return nil, s.noRoom(len(endpoints))
		}
		if best.takePermit(now) {
			best.beginRequest(now)
			return best, nil
		}
		request.Tried = append(slices.Clip(request.Tried), best) // another request has taken the last permit
	}
}

// PausedFor returns the time until the first endpoint of an upstream in a region may get
// requests again, or 0 if one wants them now. Endpoints that are leaving do not count.
func (t *Table) PausedFor(now time.Time, upstream, region string) time.Duration {
	shortest := time.Duration(0)
	for _, e := range t.upstreams[upstream][region] {
		pause, stays := e.remainingPause(now)
		if !stays {
			continue
		}
		if pause == 0 {
			return 0
		}
		if shortest == 0 || pause < shortest {
			shortest = pause
		}
	}
	return shortest
}

// End records the result of an attempt at an endpoint that Choose returned. latencyRatio
// is the duration of the attempt divided by the usual one for its route, or 0 if unknown.
func (t *Table) End(now time.Time, e *Endpoint, result Result, latencyRatio float64) {
	e.endRequest(now, result, latencyRatio)
}

// meanUtilization returns the utilization of all endpoints together. Those whose slots are
// out of use, or which name a limit, do not count.
func meanUtilization(now time.Time, endpoints []*Endpoint) float64 {
	var load regionLoad
	for _, e := range endpoints {
		own := e.inFlight.Load()
		if r := e.restriction(now, own); !r.absent && !r.limited {
			load.inFlight += own + e.countOthers(monotonic.Nanos(now))
			load.slots += e.slots
		}
	}
	return load.utilization()
}

// AffinityKey returns the affinity key of the object with the given name on a route of an
// upstream. It is 0 without a name and never 0 otherwise.
func AffinityKey(upstream, route, name string) uint64 {
	if name == "" {
		return 0
	}
	return hashString(upstream+"\x00"+route+"\x00"+name) | 1
}

func hashString(text string) uint64 { return xxhash.Sum64String(text) }

// rendezvousRank returns the rank of an endpoint for an affinity key in rendezvous
// hashing. It is the finalizer of MurmurHash3 applied to both.
func rendezvousRank(affinityKey, endpointHash uint64) uint64 {
	h := affinityKey ^ (endpointHash * 0x9e3779b97f4a7c15)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
