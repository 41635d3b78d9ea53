package placement

import (
	"math"
	"slices"
	"strings"
	"sync"

	"lovagescale/internal/weighted"
)

// targetUtilization is the utilization up to which a region keeps its own requests even
// if other regions have more free capacity.
const targetUtilization = 0.65

// Plan returns the shares of a region's requests that should run in each region. demand
// and capacity are in slots, by region. Requests stay in their region up to the
// utilization that results from spreading all demand evenly, or up to targetUtilization
// if that is more. The rest goes to the other regions in proportion to their spare
// capacity.
func Plan(region string, demand, capacity map[string]float64) map[string]float64 {
	utilization := evenUtilization(demand, capacity)
	localDemand := demand[region]
	kept := math.Min(localDemand, utilization*capacity[region])
	if localDemand <= 0 {
		return localShares(region, capacity)
	}
	shares := map[string]float64{region: kept / localDemand}
	spare, total := spareCapacity(region, demand, capacity, utilization)
	if total <= 0 {
		return localShares(region, capacity)
	}
	for other, free := range spare {
		shares[other] = (1 - kept/localDemand) * free / total
	}
	return shares
}

// AssumedDemand returns the demand, in slots, that is assumed before any is known. It is
// the same in every region, and all regions together fill all slots up to
// targetUtilization.
func AssumedDemand(regions []string, capacity map[string]float64) map[string]float64 {
	total := 0.0
	for _, slots := range capacity {
		total += slots
	}
	demand := make(map[string]float64, len(regions))
	for _, region := range regions {
		demand[region] = targetUtilization * total / float64(len(regions))
	}
	return demand
}

// minAvailableFraction is the fraction of a region's slots that counts as available even
// if pinned requests fill all of them.
const minAvailableFraction = 0.02

// AvailableCapacity returns the slots that are left beside the pinned requests, which
// must run in a given region. All figures are in slots, by region.
func AvailableCapacity(capacity, pinned map[string]float64) map[string]float64 {
	available := make(map[string]float64, len(capacity))
	for region, slots := range capacity {
		available[region] = math.Max(slots-pinned[region]/targetUtilization, minAvailableFraction*slots)
	}
	return available
}

// evenUtilization returns the utilization that results from spreading the demand evenly
// over all slots, or targetUtilization if that is more.
func evenUtilization(demand, capacity map[string]float64) float64 {
	needed, slots := 0.0, 0.0
	for _, d := range demand {
		needed += d
	}
	for _, c := range capacity {
		slots += c
	}
	if slots <= 0 {
		return targetUtilization
	}
	return math.Max(targetUtilization, needed/slots)
}

// localShares returns shares that keep all requests in the region. If the region has no
// capacity, they spread the requests over the others in proportion to capacity.
func localShares(region string, capacity map[string]float64) map[string]float64 {
	if capacity[region] > 0 {
		return map[string]float64{region: 1}
	}
	total := 0.0
	for _, c := range capacity {
		total += c
	}
	shares := make(map[string]float64)
	for other, c := range capacity {
		if total > 0 {
			shares[other] = c / total
		}
	}
	return shares
}

// spareCapacity returns the slots that each other region has left beside its own
// requests, up to the given utilization, and their total.
func spareCapacity(region string, demand, capacity map[string]float64, utilization float64) (spare map[string]float64, total float64) {
	spare = make(map[string]float64)
	for other, slots := range capacity {
		if other == region {
			continue
		}
		free := math.Max(utilization*slots-demand[other], 0)
		spare[other] = free
		total += free
	}
	return spare, total
}

// Limits within which shares stay unchanged. Moves are costly: the first request for an
// object in another region takes several times as long, because no endpoint there has
// processed the object before.
const (
	// toleratedUtilization is the utilization of a region up to which requests are not
	// moved to other regions.
	toleratedUtilization = 0.8
	// planTolerance is the distance from the plan at which a move ends.
	planTolerance = 0.03
)

// UpstreamLoad is the load of one upstream in all regions.
type UpstreamLoad struct {
	// Region is the region whose requests are distributed.
	Region string
	// Demand is the demand and Available the capacity that is left beside pinned
	// requests, both in slots, by region.
	Demand, Available map[string]float64
	// Utilization is the measured utilization of the slots, by region.
	Utilization map[string]float64
}

// sustains reports whether the shares overload no region, by measured utilization and in
// the requests' own region also by demand.
func (l UpstreamLoad) sustains(shares map[string]float64) bool {
	for region, share := range shares {
		if share > 0 && l.Utilization[region] > toleratedUtilization {
			return false
		}
	}
	region := l.Region
	return shares[region]*l.Demand[region] <= toleratedUtilization*l.Available[region]
}

// StepLimits limit how far shares move at once. They apply to the sum of all increases.
type StepLimits struct {
	// Offload applies to shares that overload a region, Return to requests that may
	// return to their own region.
	Offload, Return float64
}

// Shares are the shares of a region's requests that run in each region. They move towards
// a plan at a limited rate.
type Shares struct {
	current map[string]float64
	// offloading is set from the time at which the shares overload a region until the
	// plan is reached.
	offloading bool
}

// Rebalance moves the shares towards the plan. Once the shares overload a region, they
// move by steps.Offload until the plan is reached. Otherwise they move by steps.Return if
// requests return to their own region. In all other cases only the shares of regions
// without capacity are redistributed.
func (s *Shares) Rebalance(plan, capacity map[string]float64, steps StepLimits, load UpstreamLoad) {
	s.offloading = s.current == nil || s.offloading || !load.sustains(s.current)
	switch {
	case s.offloading:
		s.MoveToward(plan, capacity, steps.Offload)
		s.offloading = s.distance(plan) > planTolerance
	case plan[load.Region] > s.current[load.Region]:
		s.MoveToward(plan, capacity, steps.Return)
	default:
		s.redistribute(capacity)
	}
}

// distance returns the sum of the increases that are left to reach the plan.
func (s *Shares) distance(plan map[string]float64) float64 {
	increase := 0.0
	for region, target := range plan {
		increase += math.Max(target-s.current[region], 0)
	}
	return increase
}

// MoveToward moves the shares towards the plan. The sum of all increases is at most step.
// The share of a region without capacity is redistributed at once.
func (s *Shares) MoveToward(plan, capacity map[string]float64, step float64) {
	if s.current == nil {
		s.current = plan
		return
	}
	s.redistribute(capacity)
	remaining := s.distance(plan)
	if remaining <= 0 {
		return
	}
	fraction := math.Min(1, step/remaining)
	next := make(map[string]float64, len(plan))
	for region, share := range s.current {
		next[region] = share + fraction*(plan[region]-share)
	}
	for region, target := range plan {
		if _, known := s.current[region]; !known {
			next[region] = fraction * target
		}
	}
	s.current = next
}

// redistribute divides the shares of regions without capacity among the others in
// proportion to their shares.
func (s *Shares) redistribute(capacity map[string]float64) {
	total := 0.0
	for region, share := range s.current {
		if capacity[region] > 0 {
			total += share
		}
	}
	next := make(map[string]float64, len(s.current))
	for region, share := range s.current {
		if capacity[region] > 0 && total > 0 {
			next[region] = share / total
		}
	}
	if len(next) > 0 {
		s.current = next
	}
}

// Weights returns the shares ordered by region.
func (s *Shares) Weights() []weighted.Weight {
	weights := make([]weighted.Weight, 0, len(s.current))
	for region, share := range s.current {
		weights = append(weights, weighted.Weight{Name: region, Weight: share})
	}
	slices.SortFunc(weights, func(a, b weighted.Weight) int { return strings.Compare(a.Name, b.Name) })
	return weights
}

// RegionBalancer holds the shares of each upstream and chooses regions for requests by
// them. It is safe for concurrent use.
type RegionBalancer struct {
	localRegion string
	mu          sync.Mutex
	upstreams   map[string]*upstreamShares
}

// upstreamShares are the shares of one upstream's requests.
type upstreamShares struct {
	shares     Shares
	weights    []weighted.Weight
	roundRobin *weighted.RoundRobin
}

// NewRegionBalancer returns the balancer of an instance in the region.
func NewRegionBalancer(region string) *RegionBalancer {
	return &RegionBalancer{localRegion: region, upstreams: make(map[string]*upstreamShares)}
}

// MoveToward moves the upstream's shares towards the plan as Shares.MoveToward does.
func (b *RegionBalancer) MoveToward(upstream string, plan, capacity map[string]float64, step float64) {
	b.apply(upstream, func(shares *Shares) { shares.MoveToward(plan, capacity, step) })
}

// Rebalance moves the upstream's shares towards the plan as Shares.Rebalance does.
func (b *RegionBalancer) Rebalance(upstream string, plan, capacity map[string]float64, steps StepLimits, load UpstreamLoad) {
	b.apply(upstream, func(shares *Shares) { shares.Rebalance(plan, capacity, steps, load) })
}

func (b *RegionBalancer) apply(upstream string, apply func(*Shares)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u, found := b.upstreams[upstream]
	if !found {
		u = &upstreamShares{roundRobin: weighted.NewRoundRobin()}
		b.upstreams[upstream] = u
	}
	apply(&u.shares)
	u.weights = u.shares.Weights()
}

// HasShares reports whether the upstream has shares.
func (b *RegionBalancer) HasShares(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, found := b.upstreams[upstream]
	return found
}

// Next returns the region of the upstream's next request. A restricted request runs in
// one of its allowed regions; if it has none, Next returns "". Other requests with the
// same affinity key go to the same region while the shares allow it.
func (b *RegionBalancer) Next(upstream string, affinityKey uint64, allowed []string, restricted bool) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	u, found := b.upstreams[upstream]
	if restricted {
		return b.allowedRegion(u, allowed)
	}
	if !found {
		return b.localRegion
	}
	if affinityKey != 0 {
		return rendezvousRegion(affinityKey, u.weights, b.localRegion)
	}
	if region := u.roundRobin.Next(u.weights); region != "" {
		return region
	}
	return b.localRegion
}

// rendezvousRegion returns the region of the affinity key by weighted rendezvous hashing.
// A change of a share moves no more keys than the change requires.
func rendezvousRegion(affinityKey uint64, weights []weighted.Weight, fallback string) string {
	best, highest := fallback, 0.0
	for _, w := range weights {
		uniform := (float64(rendezvousRank(affinityKey, hashString(w.Name))>>11) + 0.5) / (1 << 53)
		if score := w.Weight / -math.Log(uniform); score > highest {
			best, highest = w.Name, score
		}
	}
	return best
}

// allowedRegion returns this instance's region if it is allowed, otherwise the allowed
// region with the largest share, or "" if no region is allowed.
func (b *RegionBalancer) allowedRegion(u *upstreamShares, allowed []string) string {
	if slices.Contains(allowed, b.localRegion) {
		return b.localRegion
	}
	if len(allowed) == 0 {
		return ""
	}
	best, most := allowed[0], -1.0
	for _, region := range allowed {
		if u != nil && u.shares.current[region] > most {
			best, most = region, u.shares.current[region]
		}
	}
	return best
}

// Shares returns the shares of each upstream, by region.
func (b *RegionBalancer) Shares() map[string]map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]map[string]float64)
	for name, u := range b.upstreams {
		shares := make(map[string]float64)
		for _, weight := range u.weights {
			shares[weight.Name] = weight.Weight
		}
		all[name] = shares
	}
	return all
}
