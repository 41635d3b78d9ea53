package fleet

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagescale/internal/quarantine"
)

// digestLifetime is how long the endpoint loads, the upstream demand and the upstream
// answers of a region count after its last digest.
const digestLifetime = 3 * time.Second

// overdueAfter is the time since an instance's last report from which its next one is
// overdue.
const overdueAfter = 1600 * time.Millisecond

// receivedDigest is the last digest of a region and the time at which it was made.
type receivedDigest struct {
	digest Digest
	madeAt time.Time
	// own is the part of the digest that is this instance's own activity.
	own Activity
}

// LocalDigest returns the digest of this instance's region. It combines the reports that
// this instance received with its own activity.
func (v *View) LocalDigest(now time.Time, own Activity) Digest {
	members := []Status{v.self}
	sum := newActivitySum()
	sum.add(own)
	sum.speeds.add(own.Speeds, 0)
	overdue := make(map[string]int64)
	for _, p := range v.peers {
		if p.status.Member.Region != v.self.Member.Region || !p.reportedWithin(now, SilentAfter) {
			continue
		}
		members = append(members, p.status)
		sum.add(p.activity)
		sum.speeds.add(p.activity.Speeds, now.Sub(p.reportedAt))
		if silence := now.Sub(p.reportedAt); silence > overdueAfter {
			overdue[p.status.Member.Instance] = silence.Milliseconds()
		}
	}
	slices.SortFunc(members, func(a, b Status) int { return cmp.Compare(a.Member.Instance, b.Member.Instance) })
	return Digest{
		Region: v.self.Member.Region, MembersHash: hashMembers(members), Members: members,
		OverdueMillis: overdue, Activity: sum.activity(),
	}
}

// LocalDigestWithDemand returns the digest of this instance's region with the demand of
// the workspaces, which only the delegates of other regions need: members get it in the
// totals.
func (v *View) LocalDigestWithDemand(now time.Time, own Activity) Digest {
	digest := v.LocalDigest(now, own)
	demand := newPeerDemand(now)
	v.addRegionDemand(now, "", &demand)
	digest.DemandStale = demand.stale
	demand.region.add(own.WorkspaceDemand)
	digest.Activity.WorkspaceDemand = demand.region.demands()
	v.addSlotDemand(now, &digest, own)
	return digest
}

// DigestsForMember returns the digests of all regions in reply to a report from a member
// of this region. That of this region is made now. Members that the receiver already
// knows are left out, as are the endpoint loads of other regions unless the report names
// the region. What their instances have in flight at the endpoints of this region is then
// added to its own loads.
func (v *View) DigestsForMember(now time.Time, own Activity, report Report) []Digest {
	digests := []Digest{v.LocalDigest(now, own)}
	for region := range v.digests {
		digest, found := v.remoteDigest(now, region)
		if !found {
			continue
		}
		if !slices.Contains(report.UsedRegions, region) {
			local := &digests[0].Activity
			local.EndpointLoads = append(local.EndpointLoads, v.loadsOfLocalEndpoints(digest)...)
			digest.Activity.EndpointLoads, digest.Activity.Speeds = nil, nil
		}
		digest.Activity.WorkspaceDemand, digest.Activity.SlotDemand = nil, nil // the totals contain them
		digests = append(digests, digest)
	}
	return omitKnownMembers(digests, report.MemberHashes)
}

// relayMargin is how much older the other delegate's demand of a region must be than this
// instance's before this instance relays its digest. Delegates that reach each other
// directly need no relay.
const relayMargin = time.Second

// DigestsForDelegate returns the digests for a delegate of another region: that of this
// region, made now, and those that the other delegate lacks or has in a version older by
// relayMargin.
func (v *View) DigestsForDelegate(now time.Time, own Activity, exchange Exchange) []Digest {
	digests := []Digest{v.LocalDigestWithDemand(now, own)}
	for region, demand := range v.regionDemands {
		digest, found := v.remoteDigest(now, region)
		digest.AgeMillis = max(digest.AgeMillis, now.Sub(demand.madeAt).Milliseconds())
		age, known := exchange.DemandAgeMillis[region]
		if !found || region == exchange.Digest.Region || (known && age < digest.AgeMillis+relayMargin.Milliseconds()) {
			continue
		}
		digest.Activity.WorkspaceDemand, digest.Activity.SlotDemand, digest.DemandStale = demand.demands, demand.slots, demand.stale
		digests = append(digests, digest)
	}
	return omitKnownMembers(digests, exchange.MemberHashes)
}

// remoteDigest returns the last digest of another region with its present age. It reports
// false if there is none or no instance of the region is known.
func (v *View) remoteDigest(now time.Time, region string) (Digest, bool) {
	if region == v.self.Member.Region || !v.hasMembersIn(region) {
		return Digest{}, false
	}
	received, found := v.digests[region]
	if !found {
		return Digest{}, false
	}
	digest := received.digest
	digest.AgeMillis = now.Sub(received.madeAt).Milliseconds()
	return digest, true
}

// omitKnownMembers removes the members from each digest whose members' hash the receiver
// has.
func omitKnownMembers(digests []Digest, known map[string]uint64) []Digest {
	for i := range digests {
		if digests[i].MembersHash == known[digests[i].Region] {
			digests[i].Members = nil
		}
	}
	return digests
}

// DemandAges returns the age of the demand on each other region, in milliseconds.
func (v *View) DemandAges(now time.Time) map[string]int64 {
	ages := make(map[string]int64, len(v.regionDemands))
	for region, demand := range v.regionDemands {
		ages[region] = now.Sub(demand.madeAt).Milliseconds()
	}
	return ages
}

// MemberHashes returns the hash of the members that this instance knows, by region.
func (v *View) MemberHashes() map[string]uint64 {
	hashes := make(map[string]uint64, len(v.digests))
	for region, received := range v.digests {
		hashes[region] = received.digest.MembersHash
	}
	return hashes
}

// ApplyDigest stores a digest, unless a newer one of the region is stored, and learns the
// members in it. If the digest is of this instance's region, own is this instance's part
// of it.
func (v *View) ApplyDigest(now time.Time, digest Digest, own Activity) {
	madeAt := now.Add(-time.Duration(digest.AgeMillis) * time.Millisecond)
	previous, found := v.digests[digest.Region]
	if found && madeAt.Before(previous.madeAt) {
		return
	}
	if len(digest.Members) == 0 {
		if found && previous.digest.MembersHash == digest.MembersHash {
			digest.Members = previous.digest.Members
		} else {
			digest.MembersHash = 0 // the omitted members are unknown; the next report asks for them
		}
	}
	v.digests[digest.Region] = &receivedDigest{digest: digest, madeAt: madeAt, own: own}
	for _, status := range digest.Members {
		p := v.upsertPeer(now, status)
		if p == nil || p.reportedAt.After(madeAt) {
			continue
		}
		silence := time.Duration(digest.OverdueMillis[status.Member.Instance]) * time.Millisecond
		p.status = status
		p.lastSeenAt = later(p.reportedAt, madeAt.Add(-silence))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// PeerActivity is the combined activity of all other instances.
type PeerActivity struct {
	// EndpointLoads is the number of their in-flight requests, by endpoint.
	EndpointLoads map[EndpointKey]int
	// UpstreamDemand is the demand on upstreams, by the region in which the requests
	// arrive.
	UpstreamDemand map[string][]UpstreamDemand
	// ZoneDemand is the demand of workspaces, in requests per second, on the other
	// instances of this one's zone, RegionDemand that on those of its region and
	// OtherRegionsDemand that on all other regions. The demand of a region counts as long
	// as an instance of the region is known.
	ZoneDemand, RegionDemand, OtherRegionsDemand map[string]float64
	// DemandIncomplete is set if a region that has instances has not reported its demand
	// yet, DemandStale if part of the demand was reported before its instances became
	// silent.
	DemandIncomplete, DemandStale bool
	// DemandAge is the age of the oldest report in the demand, stale ones excepted.
	DemandAge time.Duration
	// UpstreamAnswers are the answers of the upstreams' endpoints, by upstream.
	UpstreamAnswers map[string]UpstreamAnswers
	// CallerAnswers are the answers to the instances of all regions, by the upstream and the
	// region of the endpoints that gave them.
	CallerAnswers map[AnswersKey]AnswerRates
	// Objects are the largest estimates of the number of objects, by upstream and region.
	Objects map[[2]string]float32
}

// DemandOutsideZone returns the demand of workspaces on all zones but this instance's.
func (a *PeerActivity) DemandOutsideZone() map[string]float64 {
	outside := make(map[string]float64, len(a.RegionDemand))
	for workspace, rate := range a.OtherRegionsDemand {
		outside[workspace] = rate
	}
	for workspace, rate := range a.RegionDemand {
		outside[workspace] += max(rate-a.ZoneDemand[workspace], 0)
	}
	return outside
}

// add adds the activity of a region if sign is 1, and subtracts it if sign is -1.
func (a *PeerActivity) add(region string, activity Activity, sign int) {
	if sign > 0 {
		objectCounts(a.Objects).add(activity.Objects)
	}
	for _, load := range activity.EndpointLoads {
		a.EndpointLoads[load.Endpoint] += sign * load.InFlight
	}
	for _, demand := range activity.UpstreamDemand {
		demand.Rate *= float32(sign)
		a.UpstreamDemand[region] = append(a.UpstreamDemand[region], demand)
	}
	for _, answers := range activity.UpstreamAnswers {
		sum := a.UpstreamAnswers[answers.Upstream]
		sum.Rate += float32(sign) * answers.Rate
		sum.Busy += float32(sign) * answers.Busy
		a.UpstreamAnswers[answers.Upstream] = sum
	}
	callerAnswers(a.CallerAnswers).add(region, activity, sign)
}

// hasMembersIn reports whether an instance of the region is known.
func (v *View) hasMembersIn(region string) bool { return v.RegionSize(region) > 0 }

// PeerActivity returns the activity of the other instances according to their last
// digests and reports.
func (v *View) PeerActivity(now time.Time) PeerActivity {
	activity := PeerActivity{
		EndpointLoads:   make(map[EndpointKey]int),
		UpstreamDemand:  make(map[string][]UpstreamDemand),
		UpstreamAnswers: make(map[string]UpstreamAnswers),
		CallerAnswers:   make(map[AnswersKey]AnswerRates),
		Objects:         make(map[[2]string]float32),
	}
	localRegion := v.self.Member.Region
	delegate := v.IsDelegate(now)
	for region, received := range v.digests {
		if region == localRegion && delegate {
			continue
		}
		if now.Sub(received.madeAt) <= digestLifetime {
			activity.add(region, received.digest.Activity, 1)
			activity.add(region, received.own, -1)
		}
	}
	if delegate {
		activity.add(localRegion, v.LocalDigest(now, Activity{}).Activity, 1)
	}
	demand := v.peerDemand(now, v.self.Member.Zone)
	activity.ZoneDemand, activity.RegionDemand, activity.OtherRegionsDemand = demand.zone, demand.region, demand.otherRegions
	activity.DemandIncomplete, activity.DemandStale = demand.incomplete, demand.stale
	activity.DemandAge = now.Sub(demand.oldestAt)
	return activity
}

// activitySum adds up the activities of instances.
type activitySum struct {
	endpointLoads   map[EndpointKey]int
	upstreamDemand  map[[2]string]float32
	upstreamAnswers map[string]UpstreamAnswers
	strikes         map[uint64]quarantine.Strike
	leaving         map[LeavingEndpoint]bool
	limits          map[endpointRun]float32
	limitNews       limitNewsSum
	remoteAnswers   remoteAnswersSum
	objects         objectCounts
	speeds          speedReports
}

func newActivitySum() *activitySum {
	return &activitySum{
		endpointLoads:   make(map[EndpointKey]int),
		upstreamDemand:  make(map[[2]string]float32),
		upstreamAnswers: make(map[string]UpstreamAnswers),
		strikes:         make(map[uint64]quarantine.Strike),
		leaving:         make(map[LeavingEndpoint]bool),
		limits:          make(map[endpointRun]float32),
		limitNews:       make(limitNewsSum),
		remoteAnswers:   make(remoteAnswersSum),
		objects:         make(objectCounts),
		speeds:          make(speedReports),
	}
}

func (s *activitySum) add(a Activity) {
	s.objects.add(a.Objects)
	for _, load := range a.EndpointLoads {
		s.endpointLoads[load.Endpoint] += load.InFlight
	}
	for _, demand := range a.UpstreamDemand {
		s.upstreamDemand[[2]string{demand.Upstream, demand.Region}] += demand.Rate
	}
	for _, answers := range a.UpstreamAnswers {
		total := s.upstreamAnswers[answers.Upstream]
		total.Upstream = answers.Upstream
		total.Rate += answers.Rate
		total.Busy += answers.Busy
		s.upstreamAnswers[answers.Upstream] = total
	}
	s.remoteAnswers.add(a.RemoteAnswers)
	for _, strike := range a.Strikes {
		s.strikes[strike.ID] = strike
	}
	for _, endpoint := range a.Leaving {
		s.leaving[endpoint] = true
	}
	s.limitNews.add(a.LimitNews)
	for _, limit := range a.Limits {
		run := endpointRun{limit.Endpoint, limit.StartMillis}
		if known, found := s.limits[run]; !found || limit.PerSecond < known {
			s.limits[run] = limit.PerSecond
		}
	}
}

func (s *activitySum) activity() Activity {
	a := Activity{Objects: s.objects.list(), Speeds: s.speeds.list()}
	for _, endpoint := range slices.Sorted(maps.Keys(s.endpointLoads)) {
		a.EndpointLoads = append(a.EndpointLoads, EndpointLoad{Endpoint: endpoint, InFlight: s.endpointLoads[endpoint]})
	}
	for key, rate := range s.upstreamDemand {
		a.UpstreamDemand = append(a.UpstreamDemand, UpstreamDemand{Upstream: key[0], Region: key[1], Rate: rate})
	}
	for _, answers := range s.upstreamAnswers {
		a.UpstreamAnswers = append(a.UpstreamAnswers, answers)
	}
	a.RemoteAnswers = s.remoteAnswers.answers()
	for _, strike := range s.strikes {
		a.Strikes = append(a.Strikes, strike)
	}
	for endpoint := range s.leaving {
		a.Leaving = append(a.Leaving, endpoint)
	}
	a.LimitNews = s.limitNews.list()
	for run, perSecond := range s.limits {
		a.Limits = append(a.Limits, EndpointLimit{Endpoint: run.endpoint, StartMillis: run.startMillis, PerSecond: perSecond})
	}
	a.RoundRates()
	return a
}

// hashMembers returns the hash of the members in their order. It is never 0, which stands
// for unknown members.
func hashMembers(members []Status) uint64 {
	hash := xxhash.New()
	var number [9]byte
	for _, m := range members {
		_, _ = hash.WriteString(m.Member.Instance) // never fails
		binary.BigEndian.PutUint64(number[:], uint64(m.Member.Incarnation))
		number[8] = byte(m.State)
		if m.NoEndpoint {
			number[8] |= 1 << 7
		}
		_, _ = hash.Write(number[:]) // never fails
		if capacity := m.capacity(); capacity.IsKnown() {
			binary.BigEndian.PutUint32(number[:], math.Float32bits(capacity.LinkMbps))
			binary.BigEndian.PutUint32(number[4:], math.Float32bits(capacity.Cores))
			_, _ = hash.Write(number[:8]) // never fails
		}
	}
	return hash.Sum64() | 1
}
