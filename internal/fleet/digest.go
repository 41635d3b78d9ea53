package fleet

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/quarantine"
)

// digestLifetime is how long the uses of a region and its demand on upstreams count
// after its last digest.
const digestLifetime = 3 * time.Second

// overdueAfter is the time without a report after which one should have come.
const overdueAfter = 1600 * time.Millisecond

// received is a region's digest and when it was made.
type received struct {
	digest Digest
	at     time.Time
	// own is this instance's part of it.
	own Activity
}

// OwnDigest returns the digest of this instance's region from the reports to
// this instance and its own activity.
func (c *Core) OwnDigest(now time.Time, own Activity) Digest {
	members := []Status{c.self}
	sum := newSum()
	sum.add(own)
	overdue := make(map[string]int64)
	for _, p := range c.peers {
		if p.status.Member.Region != c.self.Member.Region || !p.reports(now, SilentAfter) {
			continue
		}
		members = append(members, p.status)
		sum.add(p.activity)
		if quiet := now.Sub(p.reportedAt); quiet > overdueAfter {
			overdue[p.status.Member.Instance] = quiet.Milliseconds()
		}
	}
	slices.SortFunc(members, func(a, b Status) int { return cmp.Compare(a.Member.Instance, b.Member.Instance) })
	return Digest{
		Region: c.self.Member.Region, Hash: hashOf(members), Members: members,
		OverdueMillis: overdue, Activity: sum.activity(),
	}
}

// DigestAbroad returns the digest of this instance's region for other regions, with
// the demand on it.
func (c *Core) DigestAbroad(now time.Time, own Activity) Digest {
	digest := c.OwnDigest(now, own)
	demand := newDemandView(now)
	c.sumRegion(now, "", &demand)
	digest.Stale = demand.stale
	demand.region.add(own.Demand)
	digest.Activity.Demand = demand.region.rows()
	return digest
}

// Digests returns the digests of all regions for a member of this one, the own one
// made now: without the members that it knows, and with uses of endpoints in its
// own region and in those that it names.
func (c *Core) Digests(now time.Time, own Activity, report Report) []Digest {
	digests := []Digest{c.OwnDigest(now, own)}
	for region := range c.digests {
		digest, told := c.relayed(now, region)
		if !told {
			continue
		}
		if !slices.Contains(report.Regions, region) {
			digest.Activity.Uses = nil
		}
		digest.Activity.Demand = nil // the totals have it
		digests = append(digests, digest)
	}
	return withoutKnown(digests, report.Known)
}

// relayMargin is how much older a delegate's digest must be than this one's for
// this one to be passed on: delegates that reach each other need no relay.
const relayMargin = time.Second

// Relays returns the digests for a delegate of another region: the own one made
// now, and those that the other one lacks or has from long before.
func (c *Core) Relays(now time.Time, own Activity, exchange Exchange) []Digest {
	digests := []Digest{c.DigestAbroad(now, own)}
	for region, demand := range c.demands {
		digest, told := c.relayed(now, region)
		digest.AgeMillis = max(digest.AgeMillis, now.Sub(demand.at).Milliseconds())
		age, has := exchange.AgeMillis[region]
		if !told || region == exchange.Digest.Region || (has && age < digest.AgeMillis+relayMargin.Milliseconds()) {
			continue
		}
		digest.Activity.Demand, digest.Stale = demand.rows, demand.stale
		digests = append(digests, digest)
	}
	return withoutKnown(digests, exchange.Known)
}

// relayed returns the digest of another region with its age, if instances of it are
// known.
func (c *Core) relayed(now time.Time, region string) (Digest, bool) {
	if region == c.self.Member.Region || !c.knows(region) {
		return Digest{}, false
	}
	r, found := c.digests[region]
	if !found {
		return Digest{}, false
	}
	digest := r.digest
	digest.AgeMillis = now.Sub(r.at).Milliseconds()
	return digest, true
}

func withoutKnown(digests []Digest, known map[string]uint64) []Digest {
	for i := range digests {
		if digests[i].Hash == known[digests[i].Region] {
			digests[i].Members = nil
		}
	}
	return digests
}

// Ages returns how old the demand on the other regions is, in milliseconds.
func (c *Core) Ages(now time.Time) map[string]int64 {
	ages := make(map[string]int64, len(c.demands))
	for region, demand := range c.demands {
		ages[region] = now.Sub(demand.at).Milliseconds()
	}
	return ages
}

// Known returns the hashes of the members that this instance knows, by region.
func (c *Core) Known() map[string]uint64 {
	known := make(map[string]uint64, len(c.digests))
	for region, r := range c.digests {
		known[region] = r.digest.Hash
	}
	return known
}

// Digested takes a digest. own is this instance's part of it, for its own
// region's.
func (c *Core) Digested(now time.Time, digest Digest, own Activity) {
	at := now.Add(-time.Duration(digest.AgeMillis) * time.Millisecond)
	last, found := c.digests[digest.Region]
	if found && at.Before(last.at) {
		return
	}
	if len(digest.Members) == 0 {
		if found && last.digest.Hash == digest.Hash {
			digest.Members = last.digest.Members
		} else {
			digest.Hash = 0 // its members were left out and are not known: asked for again
		}
	}
	c.digests[digest.Region] = &received{digest: digest, at: at, own: own}
	for _, status := range digest.Members {
		p := c.learn(now, status)
		if p == nil || p.reportedAt.After(at) {
			continue
		}
		quiet := time.Duration(digest.OverdueMillis[status.Member.Instance]) * time.Millisecond
		p.status.State = status.State
		p.heardAt = later(p.reportedAt, at.Add(-quiet))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Others is what the other instances do.
type Others struct {
	// Uses are their requests under way by endpoint.
	Uses map[EndpointKey]int
	// Upstreams is the demand on upstreams by the region where it arrives.
	Upstreams map[string][]UpstreamDemand
	// Zone is the demand of workspaces on the other instances of this one's zone,
	// Region on those of its whole region and Abroad on the other regions. It is
	// remembered while an instance of its region is known.
	Zone, Region, Abroad map[string]float64
	// Blind says that a region with instances has told nothing yet, Stale that part of
	// the demand is from before its instances fell silent.
	Blind, Stale bool
	// Age is how old the oldest news of the demand is, but for stale ones.
	Age time.Duration
	// Services are the answers of upstreams.
	Services map[string]Service
}

// Elsewhere returns the demand of workspaces on all other zones.
func (o *Others) Elsewhere() map[string]float64 {
	elsewhere := make(map[string]float64, len(o.Region))
	for workspace, rate := range o.Abroad {
		elsewhere[workspace] = rate
	}
	for workspace, rate := range o.Region {
		elsewhere[workspace] += max(rate-o.Zone[workspace], 0)
	}
	return elsewhere
}

// add takes an activity of a region, or takes one out with sign -1.
func (o *Others) add(region string, activity Activity, sign int) {
	for _, use := range activity.Uses {
		o.Uses[use.Endpoint] += sign * use.InFlight
	}
	for _, d := range activity.Upstreams {
		d.Rate *= float32(sign)
		o.Upstreams[region] = append(o.Upstreams[region], d)
	}
	for _, service := range activity.Services {
		sum := o.Services[service.Upstream]
		sum.Answers += float32(sign) * service.Answers
		sum.Busy += float32(sign) * service.Busy
		o.Services[service.Upstream] = sum
	}
}

// knows reports whether an instance of the region is known.
func (c *Core) knows(region string) bool { return c.KnownInRegion(region) > 0 }

// Others returns what the other instances do, as of their last digests and
// reports.
func (c *Core) Others(now time.Time) Others {
	others := Others{
		Uses:      make(map[EndpointKey]int),
		Upstreams: make(map[string][]UpstreamDemand),
		Services:  make(map[string]Service),
	}
	home := c.self.Member.Region
	delegate := c.IsDelegate(now)
	for region, r := range c.digests {
		if region == home && delegate {
			continue
		}
		if now.Sub(r.at) <= digestLifetime {
			others.add(region, r.digest.Activity, 1)
			others.add(region, r.own, -1)
		}
	}
	if delegate {
		others.add(home, c.OwnDigest(now, Activity{}).Activity, 1)
	}
	demand := c.viewed(now, c.self.Member.Zone)
	others.Zone, others.Region, others.Abroad = demand.zone, demand.region, demand.abroad
	others.Blind, others.Stale = demand.blind, demand.stale
	others.Age = now.Sub(demand.at)
	return others
}

// sum adds activities.
type sum struct {
	uses      map[EndpointKey]int
	upstreams map[[2]string]float32
	services  map[string]Service
	strikes   map[uint64]quarantine.Strike
}

func newSum() *sum {
	return &sum{
		uses:      make(map[EndpointKey]int),
		upstreams: make(map[[2]string]float32),
		services:  make(map[string]Service),
		strikes:   make(map[uint64]quarantine.Strike),
	}
}

func (s *sum) add(a Activity) {
	for _, use := range a.Uses {
		s.uses[use.Endpoint] += use.InFlight
	}
	for _, d := range a.Upstreams {
		s.upstreams[[2]string{d.Upstream, d.Region}] += d.Rate
	}
	for _, service := range a.Services {
		total := s.services[service.Upstream]
		total.Upstream = service.Upstream
		total.Answers += service.Answers
		total.Busy += service.Busy
		s.services[service.Upstream] = total
	}
	for _, strike := range a.Strikes {
		s.strikes[strike.ID] = strike
	}
}

func (s *sum) activity() Activity {
	var a Activity
	for _, endpoint := range slices.Sorted(maps.Keys(s.uses)) {
		a.Uses = append(a.Uses, Use{Endpoint: endpoint, InFlight: s.uses[endpoint]})
	}
	for key, rate := range s.upstreams {
		a.Upstreams = append(a.Upstreams, UpstreamDemand{Upstream: key[0], Region: key[1], Rate: rate})
	}
	for _, service := range s.services {
		a.Services = append(a.Services, service)
	}
	for _, strike := range s.strikes {
		a.Strikes = append(a.Strikes, strike)
	}
	return a
}

// hashOf returns the hash of members in their order; it is never 0.
func hashOf(members []Status) uint64 {
	hash := xxhash.New()
	var number [9]byte
	for _, m := range members {
		_, _ = hash.WriteString(m.Member.Instance) // never fails
		binary.BigEndian.PutUint64(number[:], uint64(m.Member.Incarnation))
		number[8] = byte(m.State)
		_, _ = hash.Write(number[:]) // never fails
	}
	return hash.Sum64() | 1
}
