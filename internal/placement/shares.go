package placement

import (
	"math"
	"slices"
	"strings"
	"sync"

	"lovagescale/internal/weighted"
)

// comfortable is the share of a region's slots that is filled before its own
// requests go to other regions, as long as those have more room.
const comfortable = 0.65

// Plan returns the shares of a region's requests that should run in each
// region. demand and capacity are in slots, by region. Requests stay in their
// region up to a fill that all regions could share; the rest goes to the others
// by their spare room.
func Plan(region string, demand, capacity map[string]float64) map[string]float64 {
	fill := fillOf(demand, capacity)
	own := demand[region]
	local := math.Min(own, fill*capacity[region])
	if own <= 0 {
		return atHome(region, capacity)
	}
	shares := map[string]float64{region: local / own}
	spare, total := spareOf(region, demand, capacity, fill)
	if total <= 0 {
		return atHome(region, capacity)
	}
	for other, room := range spare {
		shares[other] = (1 - local/own) * room / total
	}
	return shares
}

// Expected returns the demand, in slots, that is assumed before there is any: the
// same in every region, and as much as fills all slots comfortably.
func Expected(regions []string, capacity map[string]float64) map[string]float64 {
	total := 0.0
	for _, slots := range capacity {
		total += slots
	}
	demand := make(map[string]float64, len(regions))
	for _, region := range regions {
		demand[region] = comfortable * total / float64(len(regions))
	}
	return demand
}

// leastRoom is the part of a region's slots that the plan counts with even where
// requests that must run there fill them.
const leastRoom = 0.02

// Room returns the slots that are left beside requests that must run in their
// region; all figures are in slots.
func Room(capacity, bound map[string]float64) map[string]float64 {
	room := make(map[string]float64, len(capacity))
	for region, slots := range capacity {
		room[region] = math.Max(slots-bound[region]/comfortable, leastRoom*slots)
	}
	return room
}

// fillOf returns the share of the slots that is filled where demand is spread
// evenly, or comfortable if that is more.
func fillOf(demand, capacity map[string]float64) float64 {
	needed, slots := 0.0, 0.0
	for _, d := range demand {
		needed += d
	}
	for _, c := range capacity {
		slots += c
	}
	if slots <= 0 {
		return comfortable
	}
	return math.Max(comfortable, needed/slots)
}

// atHome keeps all requests in the region if it has room at all, else spreads
// them by capacity.
func atHome(region string, capacity map[string]float64) map[string]float64 {
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

// spareOf returns the room that the other regions have beside their own
// requests.
func spareOf(region string, demand, capacity map[string]float64, fill float64) (spare map[string]float64, total float64) {
	spare = make(map[string]float64)
	for other, slots := range capacity {
		if other == region {
			continue
		}
		room := math.Max(fill*slots-demand[other], 0)
		spare[other] = room
		total += room
	}
	return spare, total
}

// Bounds within which shares stay as they are. An object that moves to another
// region is run there for the first time, which takes several times as long.
const (
	// tolerableFill is the fill of a region's slots up to which requests stay there.
	tolerableFill = 0.8
	// reached is the distance from the plan at which a move ends.
	reached = 0.03
)

// Load is what shares are judged by; all figures are of one upstream, by region.
type Load struct {
	// Region is the one whose requests are shared.
	Region string
	// Demand and Room are in slots.
	Demand, Room map[string]float64
	// Fill is the measured load as a multiple of the slots.
	Fill map[string]float64
}

// bears reports whether the regions bear the shares.
func (l Load) bears(shares map[string]float64) bool {
	for region, share := range shares {
		if share > 0 && l.Fill[region] > tolerableFill {
			return false
		}
	}
	own := l.Region
	return shares[own]*l.Demand[own] <= tolerableFill*l.Room[own]
}

// Steps bound how far shares move at once, as the sum of what they gain.
type Steps struct {
	// Relief is for shares that the regions do not bear, Return for requests that
	// could come back to their own region.
	Relief, Return float64
}

// Shares are the shares of a region's requests by the region where they run.
// They move towards a plan at a bounded speed.
type Shares struct {
	current map[string]float64
	// relieving says that a move has begun since the regions did not bear the
	// shares, and has not reached the plan.
	relieving bool
}

// Follow moves towards the plan: fast from the time at which the regions do not bear
// the shares until the plan is reached, else slowly, and only for requests that come
// back to their region.
func (s *Shares) Follow(plan, capacity map[string]float64, steps Steps, load Load) {
	s.relieving = s.current == nil || s.relieving || !load.bears(s.current)
	switch {
	case s.relieving:
		s.Move(plan, capacity, steps.Relief)
		s.relieving = s.distance(plan) > reached
	case plan[load.Region] > s.current[load.Region]:
		s.Move(plan, capacity, steps.Return)
	default:
		s.evict(capacity)
	}
}

// distance is the sum of what the shares would gain on the way to the plan.
func (s *Shares) distance(plan map[string]float64) float64 {
	gain := 0.0
	for region, target := range plan {
		gain += math.Max(target-s.current[region], 0)
	}
	return gain
}

// Move goes towards the plan by at most step, the sum of what the shares gain.
// A region that can take nothing loses its share at once, to the others in
// proportion.
func (s *Shares) Move(plan, capacity map[string]float64, step float64) {
	if s.current == nil {
		s.current = plan
		return
	}
	s.evict(capacity)
	gain := s.distance(plan)
	if gain <= 0 {
		return
	}
	part := math.Min(1, step/gain)
	next := make(map[string]float64, len(plan))
	for region, now := range s.current {
		next[region] = now + part*(plan[region]-now)
	}
	for region, target := range plan {
		if _, known := s.current[region]; !known {
			next[region] = part * target
		}
	}
	s.current = next
}

// evict divides the shares of regions without capacity among the others.
func (s *Shares) evict(capacity map[string]float64) {
	kept := 0.0
	for region, share := range s.current {
		if capacity[region] > 0 {
			kept += share
		}
	}
	next := make(map[string]float64, len(s.current))
	for region, share := range s.current {
		if capacity[region] > 0 && kept > 0 {
			next[region] = share / kept
		}
	}
	if len(next) > 0 {
		s.current = next
	}
}

// Weights returns the shares in the order of the regions' names.
func (s *Shares) Weights() []weighted.Weight {
	weights := make([]weighted.Weight, 0, len(s.current))
	for region, share := range s.current {
		weights = append(weights, weighted.Weight{Name: region, Weight: share})
	}
	slices.SortFunc(weights, func(a, b weighted.Weight) int { return strings.Compare(a.Name, b.Name) })
	return weights
}

// Steering holds the shares of each upstream and deals requests by them. It is
// safe for concurrent use.
type Steering struct {
	region    string
	mu        sync.Mutex
	upstreams map[string]*steered
}

type steered struct {
	shares  Shares
	weights []weighted.Weight
	wheel   *weighted.Wheel
}

// NewSteering returns the steering of an instance in the region.
func NewSteering(region string) *Steering {
	return &Steering{region: region, upstreams: make(map[string]*steered)}
}

// Move brings the upstream's shares nearer to the plan by at most step; regions
// without capacity lose theirs at once.
func (s *Steering) Move(upstream string, plan, capacity map[string]float64, step float64) {
	s.change(upstream, func(shares *Shares) { shares.Move(plan, capacity, step) })
}

// Follow brings them nearer to the plan as far as the load asks for it.
func (s *Steering) Follow(upstream string, plan, capacity map[string]float64, steps Steps, load Load) {
	s.change(upstream, func(shares *Shares) { shares.Follow(plan, capacity, steps, load) })
}

func (s *Steering) change(upstream string, change func(*Shares)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, found := s.upstreams[upstream]
	if !found {
		u = &steered{wheel: weighted.NewWheel()}
		s.upstreams[upstream] = u
	}
	change(&u.shares)
	u.weights = u.shares.Weights()
}

// Steers reports whether the upstream has shares.
func (s *Steering) Steers(upstream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.upstreams[upstream]
	return found
}

// Next returns the region of the upstream's next request, among the homes if the
// request is restricted to them, or "" when none may be used. Requests for the
// same object go to the same region while the shares allow it.
func (s *Steering) Next(upstream string, object uint64, homes []string, restricted bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, found := s.upstreams[upstream]
	if restricted {
		return s.home(u, homes)
	}
	if !found {
		return s.region
	}
	if object != 0 {
		return regionOf(object, u.weights, s.region)
	}
	if region := u.wheel.Next(u.weights); region != "" {
		return region
	}
	return s.region
}

// regionOf returns the object's region by weighted rendezvous hashing: a share
// that grows or shrinks moves no more objects than its change.
func regionOf(object uint64, weights []weighted.Weight, fallback string) string {
	best, highest := fallback, 0.0
	for _, w := range weights {
		uniform := (float64(mix(object, hashText(w.Name))>>11) + 0.5) / (1 << 53)
		if score := w.Weight / -math.Log(uniform); score > highest {
			best, highest = w.Name, score
		}
	}
	return best
}

// home returns this region if it is a home, else the home with the most shares.
func (s *Steering) home(u *steered, homes []string) string {
	if slices.Contains(homes, s.region) {
		return s.region
	}
	if len(homes) == 0 {
		return ""
	}
	best, most := homes[0], -1.0
	for _, region := range homes {
		if u != nil && u.shares.current[region] > most {
			best, most = region, u.shares.current[region]
		}
	}
	return best
}

// Shares returns the shares of each upstream.
func (s *Steering) Shares() map[string]map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]map[string]float64)
	for name, u := range s.upstreams {
		shares := make(map[string]float64)
		for _, weight := range u.weights {
			shares[weight.Name] = weight.Weight
		}
		all[name] = shares
	}
	return all
}
