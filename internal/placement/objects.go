package placement

import (
	"math"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

// MaxPreferred is the largest number of preferred endpoints that a request can name.
// Objects have at most two: endpoints that keep few objects warm serve fewer requests
// within their objective with three.
const MaxPreferred = 3

// Limits of the mean number of objects for each endpoint of a region. An endpoint keeps
// only its most recently used objects warm, and k preferred endpoints for each object make
// it hold k times as many. A limit is therefore on the objects before they are multiplied.
var (
	// raiseObjects are the objects for each endpoint up to which the number of preferred
	// endpoints rises to 2, lowerObjects those above which it falls below 2. In between it
	// stays, so that an estimate near a limit changes nothing. Endpoints that keep
	// some ten objects warm have first runs for good if they hold more than that with two
	// preferred endpoints for each object.
	raiseObjects = [...]float64{2: 6}
	lowerObjects = [...]float64{2: 7}
)

const (
	// objectWindow is the time after which the objects of recent requests are counted
	// anew. Two counts overlap, so that the one in use covers one to two windows.
	objectWindow = 30 * time.Second
	// preferredDwell is how long an estimate must demand a change of the number of
	// preferred endpoints: each change costs a first run for each object.
	preferredDwell = 5 * time.Second
	// unevenLifetime is how long the speeds of endpoints count as uneven after the last
	// unusual one.
	unevenLifetime = time.Minute
	// minObjectRequests and minRequestsPerObject are the requests without which an
	// estimate is not used: with fewer it varies by more than the limits differ.
	minObjectRequests    = 30
	minRequestsPerObject = 1.5
)

// Serving identifies an upstream in the region in which its requests run.
type Serving struct{ Upstream, Region string }

// Objects counts the distinct objects of this instance's recent requests and decides how
// many preferred endpoints an object has. The instances exchange their estimates and use
// the largest, so that all of them arrive at the same number. It is safe for concurrent
// use.
type Objects struct {
	mu      sync.RWMutex
	serving map[Serving]*servedObjects
}

// servedObjects are the objects of one upstream in one region.
type servedObjects struct {
	// inUse counts the requests since one to two windows ago, next those since at most one.
	inUse, next atomic.Pointer[objectSketch]
	preferred   atomic.Int32
	// Only Update and Tick use the following.
	startedAt time.Time
	objects   float64
	// wanted is the number of preferred endpoints that the estimates demand since
	// wantedSince.
	wanted      int
	wantedSince time.Time
	// unevenAt is the last time at which an endpoint had reported an unusual speed.
	unevenAt time.Time
}

// NewObjects returns the counts of an instance that has had no requests.
func NewObjects() *Objects { return &Objects{serving: make(map[Serving]*servedObjects)} }

// Record counts a request for an object.
func (o *Objects) Record(serving Serving, affinityKey uint64) {
	s := o.find(serving)
	if s == nil {
		s = o.add(serving)
	}
	s.inUse.Load().add(affinityKey)
	s.next.Load().add(affinityKey)
}

// Preferred returns the number of preferred endpoints of an object, at least 1.
func (o *Objects) Preferred(serving Serving) int {
	if s := o.find(serving); s != nil {
		return int(s.preferred.Load())
	}
	return 1
}

func (o *Objects) find(serving Serving) *servedObjects {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.serving[serving]
}

func (o *Objects) add(serving Serving) *servedObjects {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, found := o.serving[serving]; found {
		return s
	}
	s := &servedObjects{wanted: 1}
	s.inUse.Store(&objectSketch{})
	s.next.Store(&objectSketch{})
	s.preferred.Store(1)
	o.serving[serving] = s
	return s
}

// Tick begins new counts where a window has passed. Only the control loop calls it and
// Update.
func (o *Objects) Tick(now time.Time) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	for _, s := range o.serving {
		if s.startedAt.IsZero() {
			s.startedAt = now
		}
		if now.Sub(s.startedAt) >= objectWindow {
			s.startedAt = now
			s.inUse.Store(s.next.Load())
			s.next.Store(&objectSketch{})
		}
	}
}

// Estimates returns the estimated number of objects for which there were enough requests.
func (o *Objects) Estimates() map[Serving]float64 {
	o.mu.RLock()
	defer o.mu.RUnlock()
	estimates := make(map[Serving]float64)
	for serving, s := range o.serving {
		if objects, ok := s.inUse.Load().estimate(); ok {
			estimates[serving] = objects
		}
	}
	return estimates
}

// PreferredChange is a change of the number of preferred endpoints.
type PreferredChange struct {
	From, To int
	Objects  float64
}

// Update decides anew how many preferred endpoints an object has, from the largest
// estimate of all instances and the number of endpoints in the region. uneven is set if
// an endpoint has reported an unusual speed: where all are alike, a second endpoint costs
// more first runs than it gains. It returns nil if nothing changed. Without an estimate the
// number stays.
func (o *Objects) Update(now time.Time, serving Serving, objects float64, endpoints int, uneven bool) *PreferredChange {
	if objects <= 0 || endpoints <= 0 {
		return nil
	}
	s := o.find(serving)
	if s == nil {
		s = o.add(serving)
	}
	s.objects = objects
	current := int(s.preferred.Load())
	if uneven {
		s.unevenAt = now
	}
	wanted := 1
	if !s.unevenAt.IsZero() && now.Sub(s.unevenAt) < unevenLifetime {
		wanted = min(wantedPreferred(current, objects/float64(endpoints)), endpoints)
	}
	if wanted != s.wanted {
		s.wanted, s.wantedSince = wanted, now
	}
	if wanted == current || now.Sub(s.wantedSince) < preferredDwell {
		return nil
	}
	s.preferred.Store(int32(wanted))
	return &PreferredChange{From: current, To: wanted, Objects: objects}
}

// wantedPreferred returns the number of preferred endpoints for a mean number of objects
// for each endpoint.
func wantedPreferred(current int, objectsPerEndpoint float64) int {
	for current < len(raiseObjects)-1 && objectsPerEndpoint <= raiseObjects[current+1] {
		current++
	}
	for current > 1 && objectsPerEndpoint > lowerObjects[current] {
		current--
	}
	return current
}

// ObjectsDescription is the dump of the objects of an upstream in a region.
type ObjectsDescription struct {
	Upstream  string  `json:"upstream"`
	Region    string  `json:"region"`
	Objects   float64 `json:"objects"`
	Preferred int     `json:"preferred_endpoints"`
}

// Describe returns the state for the dump. Only the control loop calls it.
func (o *Objects) Describe() []ObjectsDescription {
	o.mu.RLock()
	defer o.mu.RUnlock()
	all := make([]ObjectsDescription, 0, len(o.serving))
	for serving, s := range o.serving {
		all = append(all, ObjectsDescription{Upstream: serving.Upstream, Region: serving.Region,
			Objects: math.Round(s.objects), Preferred: int(s.preferred.Load())})
	}
	return all
}

// sketchBits is the number of bits of each level of an objectSketch, a power of two. An
// estimate is used up to three objects per bit.
const (
	sketchBits       = 8192
	maxSketchFilling = 0.95
)

// objectSketch estimates the number of distinct objects among requests. Level i has a bit
// set for each hash value that occurred more than i times. It is safe for concurrent use;
// requests that race may count once.
type objectSketch struct {
	requests atomic.Int64
	levels   [3][sketchBits / 64]atomic.Uint64
}

func (s *objectSketch) add(affinityKey uint64) {
	s.requests.Add(1)
	bit := rendezvousRank(affinityKey, 1) % sketchBits
	word, mask := bit/64, uint64(1)<<(bit%64)
	for i := range s.levels {
		if s.levels[i][word].Or(mask)&mask == 0 {
			return
		}
	}
}

// estimate returns the estimated number of distinct objects, including those that did not
// occur (the Chao1 estimator, from the objects that occurred once and twice). It reports
// false if there were too few requests.
func (s *objectSketch) estimate() (float64, bool) {
	var counts [3]float64
	for i := range s.levels {
		set := 0
		for w := range s.levels[i] {
			set += bits.OnesCount64(s.levels[i][w].Load())
		}
		if float64(set) > maxSketchFilling*sketchBits {
			return math.MaxInt32, true
		}
		counts[i] = -sketchBits * math.Log(1-float64(set)/sketchBits)
	}
	once, twice := counts[0]-counts[1], counts[1]-counts[2]
	objects := counts[0] + once*math.Max(once-1, 0)/(2*(math.Max(twice, 0)+1))
	requests := float64(s.requests.Load())
	return objects, requests >= minObjectRequests && requests >= minRequestsPerObject*objects
}
