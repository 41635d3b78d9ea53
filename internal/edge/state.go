package edge

import (
	"time"

	"lovagescale/internal/allowance"
	"lovagescale/internal/catalog"
	"lovagescale/internal/fleet"
	"lovagescale/internal/mirror"
	"lovagescale/internal/placement"
	"lovagescale/internal/quotapool"
	"lovagescale/internal/store"
)

// tickInterval is the interval of the control loop's ticks.
const tickInterval = 250 * time.Millisecond

// shiftFraction is the fraction of Bounds.MaxShift by which the region shares may move
// requests to other regions.
const shiftFraction = 0.6

// fullReturnTime is the time in which all requests of a region that run in other regions
// would return to it. It is long because each object that moves is handled for the first
// time where it goes. Moving it to and fro with each wave of demand would cost more than
// it gains.
const fullReturnTime = 2 * time.Minute

// state is the control state of an instance. Only the control loop uses it.
type state struct {
	edge     *Edge
	mirror   *mirror.Mirror
	fleet    *fleet.View
	registry *placement.Registry
	// resources are the decoded entries of the mirror, by key.
	resources        map[string]Resource
	followerElection followerElection
	// peerActivity is the activity of the other instances as of the last tick.
	peerActivity fleet.PeerActivity
	// ownDemand is the demand of workspaces on this instance. zoneDemand and
	// otherZonesDemand are the demand that the other instances of its zone and all other
	// zones reported.
	ownDemand, zoneDemand, otherZonesDemand allowance.DemandHistory
	// catalogEntry is the entry of the configuration in force.
	catalogEntry store.Entry
	// copied is set while changes are applied that come from a copy of the store.
	copied bool
	// pendingRestores are the evacuated zones whose entries a copy of the store lacked,
	// with the time at which they are taken back. copyUntil is the end of the time in
	// which removals of evacuations wait.
	pendingRestores map[string]time.Time
	copyUntil       time.Time
	// pendingRemovals are the endpoints whose entries disappeared after an outage of the
	// store, with the time at which they are removed.
	pendingRemovals map[string]time.Time
	// reregisterUntil is the end of the time after an outage in which removals wait.
	reregisterUntil time.Time
	// latestStoreAnswerAt is the time of the store's last answer to any instance, as
	// far as this one knows.
	latestStoreAnswerAt time.Time
	lastTickAt          time.Time
	// firstReportAt is the time of the instance's first report.
	firstReportAt time.Time
	tableChanged  bool
	// pinnedUse is when requests last had to run in a region, by region.
	pinnedUse    map[string]time.Time
	limitLog     limitLog
	regionMixLog regionMixLog
	// random returns a random number from [0, 1).
	random func() float64
}

// applyChanges applies the changes of the given keys of the mirror.
func (s *state) applyChanges(now time.Time, keys []string) {
	for _, key := range keys {
		s.applyChange(now, key)
	}
	position := s.mirror.Position()
	s.edge.position.Store(&position)
	if s.tableChanged {
		s.publishTable(now)
	}
}

func (s *state) applyChange(now time.Time, key string) {
	entry, found := s.mirror.Get(key)
	if !found {
		s.applyRemoval(now, key)
		return
	}
	resource, err := s.edge.ports.Entries.Decode(entry)
	if err != nil {
		s.edge.log.Warn().Err(err).Str("key", key).Uint64("revision", entry.Revision).Msg("entry cannot be read")
		s.applyRemoval(now, key)
		return
	}
	if resource == nil {
		return
	}
	s.resources[key] = resource
	switch resource := resource.(type) {
	case *catalog.Catalog:
		s.applyCatalog(now, resource, entry)
	case placement.Record:
		if _, known := s.edge.settings.Zones[resource.Zone]; !known {
			s.edge.log.Warn().Str("endpoint", resource.ID).Str("zone", resource.Zone).Msg("endpoint of an unknown zone is passed over")
			s.applyRemoval(now, key)
			return
		}
		if !s.register(now, resource) {
			s.edge.log.Warn().Str("endpoint", resource.ID).Uint64("sequence", resource.Sequence).Msg("older record is passed over")
			return
		}
		delete(s.pendingRemovals, resource.ID)
		s.tableChanged = true
	case fleet.Member:
		s.divideOnceAcknowledged(now, func() { s.fleet.ApplyRegistration(now, resource) })
	case Evacuation:
		s.evacuate(resource.Zone)
		s.edge.log.Info().Str("zone", resource.Zone).Uint64("revision", entry.Revision).Msg("zone is evacuated")
	}
}

// applyRemoval applies the removal of a key. An entry that cannot be decoded any more
// counts as removed.
func (s *state) applyRemoval(now time.Time, key string) {
	resource, known := s.resources[key]
	if !known {
		return
	}
	delete(s.resources, key)
	switch resource := resource.(type) {
	case placement.Record:
		s.removeEndpoint(now, resource.ID)
	case fleet.Member:
		s.fleet.RemoveRegistration(resource.Instance)
	case Evacuation:
		s.endEvacuation(now, resource.Zone)
	}
}

// applyCatalog puts a configuration in force unless one of the same or a later version
// is.
func (s *state) applyCatalog(now time.Time, c *catalog.Catalog, entry store.Entry) {
	current := s.edge.catalog.Load()
	if current != nil && current.Version >= c.Version {
		s.edge.log.Warn().Uint64("version", c.Version).Uint64("in_force", current.Version).Msg("older configuration is passed over")
		return
	}
	s.edge.catalog.Store(c)
	s.catalogEntry = entry
	s.divideQuotas(now)
	s.edge.log.Info().Uint64("version", c.Version).Int("routes", c.RouteCount()).Int("workspaces", len(c.Workspaces)).
		Msg("configuration is in force")
}

// publishTable publishes the endpoint table for the goroutines that serve requests.
func (s *state) publishTable(time.Time) {
	table := s.registry.Table()
	s.edge.table.Store(table)
	s.tableChanged = false
	keys := make([]fleet.EndpointKey, 0, len(table.Endpoints()))
	var local []fleet.EndpointKey
	for id, endpoint := range table.Endpoints() {
		key := fleet.KeyOf(id)
		keys = append(keys, key)
		if endpoint.Region == s.edge.settings.Region {
			local = append(local, key)
		}
	}
	s.fleet.SetEndpoints(keys)
	s.fleet.SetLocalEndpoints(local)
}

func (s *state) tickNow() { s.tick(time.Now()) }

// tick runs one round of the control loop.
func (s *state) tick(now time.Time) {
	elapsed := now.Sub(s.lastTickAt)
	if s.lastTickAt.IsZero() {
		elapsed = tickInterval
	}
	s.lastTickAt = now
	s.removePendingEndpoints(now)
	s.restorePendingZones(now)
	s.fleet.Expire(now)
	s.publishFollowerElection(now)
	s.peerActivity = s.fleet.PeerActivity(now)
	s.edge.stats.UpdateServiceTimes(s.peerActivity.UpstreamAnswers)
	s.edge.stats.UpdateResponseTimes(s.peerActivity.CallerAnswers, elapsed)
	s.edge.instanceCount.Store(int64(s.fleet.Size()))
	s.edge.retryBudget.SetInstances(s.fleet.Size())
	s.updateFleetState()
	s.updateEndpoints(now)
	s.divideEndpointLimits(now)
	s.updatePreferred(now)
	s.edge.workspaceDemand.Tick(elapsed)
	s.ownDemand.Add(now, s.edge.workspaceDemand.Rates())
	s.zoneDemand.Add(now, s.peerActivity.ZoneDemand)
	s.otherZonesDemand.Add(now, s.peerActivity.DemandOutsideZone())
	s.tickPools(now, elapsed)
	s.divideQuotas(now)
	s.rebalanceRegions(now, elapsed)
	s.logRegionMix(now)
	s.updateShares(now, elapsed)
	s.publishCallerAddresses(now)
	targets := s.fleet.HandoverTargets(now)
	s.edge.handoverTargets.Store(&targets)
	if s.tableChanged {
		s.publishTable(now)
	}
}

// tickPools ends a period of the quotas. After a pause of the process, cached tokens count
// as spent.
func (s *state) tickPools(now time.Time, elapsed time.Duration) {
	if s.edge.pools.Tick(now, elapsed) {
		s.edge.tokens.Clear()
	}
	s.edge.returnUnspentTokens(now)
}

func (s *state) updateFleetState() {
	switch {
	case s.edge.leaving.Load():
		s.fleet.SetState(fleet.Leaving)
	case s.edge.catalog.Load() != nil:
		s.fleet.SetState(fleet.Ready)
	}
	s.fleet.SetNoEndpoint(s.edge.reach.Partitioned())
}

// updateEndpoints sets the number of the other instances' in-flight requests at each
// endpoint, and checks whether this instance's own ones get answers.
func (s *state) updateEndpoints(now time.Time) {
	inFlight := 0
	for id, endpoint := range s.edge.table.Load().Endpoints() {
		endpoint.SetOthersInFlight(s.peerActivity.EndpointLoads[fleet.KeyOf(id)])
		inFlight += endpoint.InFlight()
	}
	s.edge.checkReach(now, inFlight)
}

// divideQuotas sets the shares of the quotas that this instance holds for its zone. Its
// own demand counts with a delay, because the other instances learn of it later.
func (s *state) divideQuotas(now time.Time) {
	c := s.edge.catalog.Load()
	if c == nil {
		return
	}
	delay := max(s.reportInterval()+exchangeInterval, s.peerActivity.DemandAge)
	ownDemand := s.ownDemand.AsOf(now, delay)
	peerDelay := time.Duration(float64(delay) * peerDemandDelayFraction)
	zoneDemand, otherZonesDemand := s.zoneDemand.AsOf(now, peerDelay), s.otherZonesDemand.AsOf(now, peerDelay)
	division := allowance.Division{
		Demand: func(workspace string) allowance.Demands {
			return allowance.Demands{Own: ownDemand[workspace] + zoneDemand[workspace], Others: otherZonesDemand[workspace]}
		},
		Holders:    len(s.edge.settings.Zones),
		Incomplete: s.peerActivity.DemandIncomplete,
		Stale:      s.peerActivity.DemandStale,
		Reserve:    s.quotaReserve(),
	}
	s.edge.pools.SetHolders(s.fleet.PoolHolders(now), s.fleet.Contested(now))
	s.edge.pools.Divide(now, c, division, quotapool.Fractions{
		Pool:      s.fleet.PoolFraction(now),
		Contested: 1 / float64(s.fleet.ZoneSize()),
		Fallback:  1 / float64(s.fleet.ZoneSize()),
		Entitled:  s.fleet.Acknowledged() || !s.edge.hasOtherSeeds(),
	})
}

// divideOnceAcknowledged applies news of the fleet. If they show that others know of this
// instance, it gets its shares at once instead of at the next tick.
func (s *state) divideOnceAcknowledged(now time.Time, apply func()) {
	known := s.fleet.Acknowledged()
	apply()
	if !known && s.fleet.Acknowledged() {
		s.divideQuotas(now)
	}
}

// peerDemandDelayFraction is the fraction of the delay of an instance's own demand by
// which the reported demand of the others is delayed, since that is old already. Without
// it, a demand that rises everywhere at once would show at the others first, and every
// share would fall.
const peerDemandDelayFraction = 1.0 / 3

// maxQuotaReserve is the fraction of the quotas that is kept back at maxReportInterval.
const maxQuotaReserve = 0.08

// quotaReserve returns the fraction of the quotas to keep back. It is 0 at reportInterval
// and grows with the interval, since the instances then learn of changed shares later.
func (s *state) quotaReserve() float64 {
	excess := s.reportInterval() - reportInterval
	return maxQuotaReserve * excess.Seconds() / (maxReportInterval - reportInterval).Seconds()
}

// negligibleDemand is the demand of the region on an upstream, in slots, below which the
// region shares follow the plan at once, since hardly any requests would move.
const negligibleDemand = 0.5

// rebalanceRegions moves the region shares of this region's requests towards the plan.
func (s *state) rebalanceRegions(now time.Time, elapsed time.Duration) {
	s.edge.stats.Tick(elapsed)
	s.recordPinnedUse(now, s.edge.stats.UpstreamDemand())
	table := s.edge.table.Load()
	unpinned, pinned := s.demandByRegion()
	ownRegion := s.edge.settings.Region
	steps := placement.StepLimits{
		Offload: s.edge.bounds.Load().MaxShift * shiftFraction * elapsed.Seconds() / ShiftWindow.Seconds(),
		Return:  elapsed.Seconds() / fullReturnTime.Seconds(),
	}
	for _, name := range table.Upstreams() {
		serviceSeconds := s.edge.stats.ServiceTime(name).Seconds()
		capacity := table.Capacity(now, name, s.edge.stats.ServiceTime(name))
		pinnedSlots := slotsFor(pinned[name], serviceSeconds)
		available := placement.AvailableCapacity(capacity, pinnedSlots)
		demand := slotsFor(unpinned[name], serviceSeconds)
		s.updateReturnCapacity(now, name, capacity, unpinned[name], pinned[name])
		assumed := placement.AssumedDemand(s.edge.regions, available)
		for _, region := range s.edge.regions {
			if _, reported := s.peerActivity.UpstreamDemand[region]; !reported && region != ownRegion {
				demand[region] = assumed[region]
			}
		}
		load := placement.UpstreamLoad{Region: ownRegion, Demand: demand, Available: available, Utilization: table.Utilization(now, name)}
		plan := placement.Plan(ownRegion, demand, available)
		s.regionMixLog.setPlan(name, upstreamPlan{demand: demand, pinned: pinnedSlots, capacity: capacity,
			available: available, utilization: load.Utilization, plan: plan, serviceTime: s.edge.stats.ServiceTime(name)})
		if demand[ownRegion] < negligibleDemand || !s.edge.balancer.HasShares(name) {
			s.edge.balancer.MoveToward(name, placement.Plan(ownRegion, assumed, available), capacity, 1)
			continue
		}
		s.edge.balancer.Rebalance(name, plan, capacity, steps, load)
	}
}

// upstreamRates are requests per second, by upstream and region.
type upstreamRates map[string]map[string]float64

func (r upstreamRates) add(upstream, region string, rate float64) {
	if r[upstream] == nil {
		r[upstream] = make(map[string]float64)
	}
	r[upstream][region] += rate
}

// slotsFor returns the slots that requests at the rates occupy if each takes the given
// number of seconds.
func slotsFor(rates map[string]float64, seconds float64) map[string]float64 {
	slots := make(map[string]float64, len(rates))
	for region, rate := range rates {
		slots[region] = rate * seconds
	}
	return slots
}

// demandByRegion returns the demand on upstreams. The unpinned requests may run anywhere
// and are given by the region in which they arrive; the pinned ones must run in a given
// region and are given by that region.
func (s *state) demandByRegion() (unpinned, pinned upstreamRates) {
	unpinned, pinned = make(upstreamRates), make(upstreamRates)
	add := func(arrivalRegion string, demand []fleet.UpstreamDemand) {
		for _, d := range demand {
			if d.Region == "" {
				unpinned.add(d.Upstream, arrivalRegion, float64(d.Rate))
			} else {
				pinned.add(d.Upstream, d.Region, float64(d.Rate))
			}
		}
	}
	add(s.edge.settings.Region, s.edge.stats.UpstreamDemand())
	for region, demand := range s.peerActivity.UpstreamDemand {
		add(region, demand)
	}
	return unpinned, pinned
}

// publishCallerAddresses publishes the addresses for lookups, by the caller's region.
func (s *state) publishCallerAddresses(now time.Time) {
	addresses := make(map[string][]string)
	for _, region := range s.edge.regions {
		addresses[region] = s.fleet.CallerAddresses(now, region, maxLookupAddresses)
	}
	addresses[""] = s.fleet.CallerAddresses(now, "", maxLookupAddresses)
	s.edge.callerAddresses.Store(&addresses)
}

func workspaceDemands(rates map[string]float64) []fleet.WorkspaceDemand {
	var reported []fleet.WorkspaceDemand
	for name, rate := range rates {
		if rate >= fleet.MinReportedRate {
			reported = append(reported, fleet.WorkspaceDemand{Workspace: name, Rate: float32(rate)})
		}
	}
	return reported
}
