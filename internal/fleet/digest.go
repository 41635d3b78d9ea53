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

// digestLifetime is how long the uses and the demand of a region count after its
// last digest.
const digestLifetime = 3 * time.Second

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
	stale := false
	for _, p := range c.peers {
		if p.status.Member.Region != c.self.Member.Region {
			continue
		}
		stale = stale || p.stale(now)
		if p.reports(now, SilentAfter) {
			members = append(members, p.status)
			sum.add(p.activity)
		} else {
			sum.addWorkspaces(p.activity)
		}
	}
	slices.SortFunc(members, func(a, b Status) int { return cmp.Compare(a.Member.Instance, b.Member.Instance) })
	return Digest{Region: c.self.Member.Region, Hash: hashOf(members), Members: members, Activity: sum.activity(), Stale: stale}
}

// Abroad returns the digest for other regions, which need no zones.
func (d Digest) Abroad() Digest {
	sum := newSum()
	for _, zone := range d.Activity.Workspaces {
		sum.addDemands("", zone.Workspaces)
	}
	d.Activity.Workspaces = sum.demands()
	return d
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
	digests := []Digest{c.OwnDigest(now, own).Abroad()}
	for region := range c.digests {
		digest, told := c.relayed(now, region)
		age, has := exchange.AgeMillis[region]
		if !told || region == exchange.Digest.Region || (has && age < digest.AgeMillis+relayMargin.Milliseconds()) {
			continue
		}
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
	r := c.digests[region]
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

// Ages returns how old the digests of the other regions are, in milliseconds.
func (c *Core) Ages(now time.Time) map[string]int64 {
	ages := make(map[string]int64, len(c.digests))
	for region, r := range c.digests {
		if region != c.self.Member.Region {
			ages[region] = now.Sub(r.at).Milliseconds()
		}
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
	if len(digest.Members) == 0 && found && last.digest.Hash == digest.Hash {
		digest.Members = last.digest.Members
	}
	c.digests[digest.Region] = &received{digest: digest, at: at, own: own}
	for _, status := range digest.Members {
		if p := c.learn(now, status); p != nil && at.After(p.heardAt) {
			p.heardAt = at
			p.status.State = status.State
		}
	}
}

// Others is what the other instances do.
type Others struct {
	// Uses are their requests under way by endpoint.
	Uses map[string]int
	// Upstreams is the demand on upstreams by the region where it arrives.
	Upstreams map[string][]UpstreamDemand
	// Workspaces is the demand of workspaces, which is remembered while an instance
	// of its region is known.
	Workspaces map[string]float64
	// Zone is the part of Workspaces in this instance's zone.
	Zone map[string]float64
	// Blind says that a region with instances has told nothing yet, Stale that part of
	// Workspaces is from before its instances fell silent.
	Blind, Stale bool
	// Services are the answers of upstreams.
	Services map[string]Service
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

// addWorkspaces adds demand; zone is this instance's.
func (o *Others) addWorkspaces(zone string, demand []ZoneDemand, sign float64) {
	for _, of := range demand {
		for _, d := range of.Workspaces {
			o.Workspaces[d.Workspace] += sign * float64(d.Rate)
			if of.Zone == zone {
				o.Zone[d.Workspace] += sign * float64(d.Rate)
			}
		}
	}
}

// knows reports whether an instance of the region is known.
func (c *Core) knows(region string) bool { return c.KnownInRegion(region) > 0 }

// Others returns what the other instances do, as of their last digests and
// reports.
func (c *Core) Others(now time.Time) Others {
	others := Others{
		Uses:       make(map[string]int),
		Upstreams:  make(map[string][]UpstreamDemand),
		Workspaces: make(map[string]float64),
		Zone:       make(map[string]float64),
		Services:   make(map[string]Service),
	}
	home, zone := c.self.Member.Region, c.self.Member.Zone
	delegate := c.IsDelegate(now)
	for region, r := range c.digests {
		if region == home && delegate {
			continue
		}
		if now.Sub(r.at) <= digestLifetime {
			others.add(region, r.digest.Activity, 1)
			others.add(region, r.own, -1)
		}
		if c.knows(region) {
			others.addWorkspaces(zone, r.digest.Activity.Workspaces, 1)
			others.addWorkspaces(zone, r.own.Workspaces, -1)
			others.Stale = others.Stale || r.digest.Stale || now.Sub(r.at) > SilentAfter
		}
	}
	if delegate {
		digest := c.OwnDigest(now, Activity{})
		others.add(home, digest.Activity, 1)
		others.addWorkspaces(zone, digest.Activity.Workspaces, 1)
		others.Stale = others.Stale || digest.Stale
	}
	others.Blind = c.blind(delegate)
	return others
}

// blind reports whether a region has instances and no digest of it came. A
// delegate makes that of its own region itself.
func (c *Core) blind(delegate bool) bool {
	for _, p := range c.peers {
		region := p.status.Member.Region
		_, told := c.digests[region]
		if !told && !(delegate && region == c.self.Member.Region) {
			return true
		}
	}
	return false
}

// sum adds activities.
type sum struct {
	uses       map[string]int
	upstreams  map[[2]string]float32
	workspaces map[[2]string]float32 // by zone and workspace
	services   map[string]Service
	strikes    map[uint64]quarantine.Strike
}

func newSum() *sum {
	return &sum{
		uses:       make(map[string]int),
		upstreams:  make(map[[2]string]float32),
		workspaces: make(map[[2]string]float32),
		services:   make(map[string]Service),
		strikes:    make(map[uint64]quarantine.Strike),
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
	s.addWorkspaces(a)
}

func (s *sum) addWorkspaces(a Activity) {
	for _, zone := range a.Workspaces {
		s.addDemands(zone.Zone, zone.Workspaces)
	}
}

func (s *sum) addDemands(zone string, demands []Demand) {
	for _, d := range demands {
		s.workspaces[[2]string{zone, d.Workspace}] += d.Rate
	}
}

// demands returns the demand of workspaces, a row a zone.
func (s *sum) demands() []ZoneDemand {
	rows := make(map[string][]Demand)
	for key, rate := range s.workspaces {
		rows[key[0]] = append(rows[key[0]], Demand{Workspace: key[1], Rate: rate})
	}
	var zones []ZoneDemand
	for zone, row := range rows {
		zones = append(zones, ZoneDemand{Zone: zone, Workspaces: row})
	}
	return zones
}

func (s *sum) activity() Activity {
	var a Activity
	for _, endpoint := range slices.Sorted(maps.Keys(s.uses)) {
		a.Uses = append(a.Uses, Use{Endpoint: endpoint, InFlight: s.uses[endpoint]})
	}
	for key, rate := range s.upstreams {
		a.Upstreams = append(a.Upstreams, UpstreamDemand{Upstream: key[0], Region: key[1], Rate: rate})
	}
	a.Workspaces = s.demands()
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
