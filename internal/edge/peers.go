package edge

import (
	"context"
	"time"

	"lovagescale/internal/fleet"
	"lovagescale/internal/link"
	"lovagescale/internal/wire"
)

// Times of reports and exchanges.
const (
	// reportInterval is the time between two reports to a delegate in a region of
	// at most instancesPerInterval instances; in a larger one it grows with them,
	// so that a delegate's work does not.
	reportInterval       = 250 * time.Millisecond
	instancesPerInterval = 8
	maxReportInterval    = time.Second
	// startTime is how long an instance that begins reports at the shortest interval:
	// until it has heard who lives it holds small parts of the quotas.
	startTime = 3 * time.Second
	// exchangeInterval is the time between two exchanges of a delegate with another
	// region.
	exchangeInterval = 500 * time.Millisecond
	// talkTimeout bounds a report or an exchange.
	talkTimeout = 700 * time.Millisecond
)

// talk reports to the delegates of the region, and as a delegate exchanges with
// the other regions, until ctx ends.
func (e *Edge) talk(ctx context.Context) {
	exchanged := time.Time{}
	for ctx.Err() == nil {
		now := time.Now()
		var t turn
		if err := e.loop.Call(ctx, func() { t = e.state.turn(now) }); err != nil {
			return
		}
		for i, delegate := range t.reportTo {
			report := t.report
			report.OmitDigests = t.large && (i > 0 || t.delegate)
			go e.report(ctx, delegate, report)
		}
		if now.Sub(exchanged) >= exchangeInterval {
			exchanged = now
			for _, delegate := range t.exchangeWith {
				go e.exchangeDigest(ctx, delegate, t.exchange)
			}
		}
		sleep(ctx, jitter(t.interval))
	}
}

// turn is what an instance tells at one time.
type turn struct {
	report       fleet.Report
	reportTo     []fleet.Member
	exchange     fleet.Exchange
	exchangeWith []fleet.Member
	interval     time.Duration
	// delegate says that this instance has the reports of its region itself.
	delegate bool
	// large says that the region has so many instances that one delegate's digests
	// must do; in a small one two are fresher.
	large bool
}

// turn returns what to tell now.
func (s *state) turn(now time.Time) turn {
	own := s.activity(now)
	self := s.fleet.Self()
	interval := s.reportInterval()
	t := turn{interval: interval, large: interval > reportInterval}
	if s.beganAt.IsZero() {
		s.beganAt = now
	}
	if now.Sub(s.beganAt) < startTime {
		t.interval = reportInterval
	}
	t.report = fleet.Report{
		Status:       fleet.Status{Member: self, State: s.fleet.State()},
		Activity:     own,
		MemberHashes: s.fleet.MemberHashes(),
		UsedRegions:  s.regionsInUse(),
	}
	place := -1
	for i, delegate := range s.fleet.Delegates(now, self.Region) {
		if delegate == self {
			place = i
		} else {
			t.reportTo = append(t.reportTo, delegate)
		}
	}
	if place < 0 {
		return t
	}
	t.delegate = true
	t.exchange = fleet.Exchange{
		Digest:          s.fleet.LocalDigestWithDemand(now, own),
		MemberHashes:    s.fleet.MemberHashes(),
		DemandAgeMillis: s.fleet.DemandAges(now),
	}
	for _, region := range s.edge.regions {
		if region == self.Region {
			continue
		}
		if others := s.fleet.Delegates(now, region); len(others) > 0 {
			t.exchangeWith = append(t.exchangeWith, others[min(place, len(others)-1)])
		}
	}
	return t
}

// regionsInUse returns the other regions that get requests of this instance.
func (s *state) regionsInUse() []string {
	inUse := make(map[string]bool)
	for _, shares := range s.edge.steering.Shares() {
		for region, share := range shares {
			inUse[region] = inUse[region] || share > 0
		}
	}
	for _, endpoint := range s.edge.table.Load().Endpoints() {
		inUse[endpoint.Region] = inUse[endpoint.Region] || endpoint.InFlight() > 0
	}
	var regions []string
	for region, used := range inUse {
		if used && region != s.edge.settings.Region {
			regions = append(regions, region)
		}
	}
	return regions
}

func (s *state) reportInterval() time.Duration {
	n := s.fleet.RegionSize(s.edge.settings.Region)
	return min(max(reportInterval*time.Duration(n)/instancesPerInterval, reportInterval), maxReportInterval)
}

// activity returns what this instance does.
func (s *state) activity(now time.Time) fleet.Activity {
	activity := fleet.Activity{
		UpstreamDemand:    s.edge.usual.demand(),
		WorkspaceDemand:   demands(s.edge.arrivals.Rates()),
		UpstreamResponses: s.edge.usual.served(),
		Strikes:           s.edge.poison.recent(now),
	}
	for id, endpoint := range s.edge.table.Load().Endpoints() {
		if n := endpoint.InFlight(); n > 0 {
			activity.EndpointLoads = append(activity.EndpointLoads, fleet.EndpointLoad{Endpoint: fleet.KeyOf(id), InFlight: n})
		}
	}
	return activity
}

// report sends a report to a delegate and takes its digests.
func (e *Edge) report(ctx context.Context, delegate fleet.Member, report fleet.Report) {
	e.tell(ctx, delegate, fleet.TypeReport, report, func(now time.Time, reply fleet.Reply) {
		e.state.following.heard(now, delegate.Instance, time.Duration(reply.StoreAgeMillis)*time.Millisecond)
		e.state.publishFollowing(now)
		e.state.takeReply(now, report, reply)
	})
}

// takeReply takes the answer of a delegate of the region to a report.
func (s *state) takeReply(now time.Time, report fleet.Report, reply fleet.Reply) {
	for _, digest := range reply.Digests {
		own := fleet.Activity{}
		if digest.Region == s.edge.settings.Region {
			own = report.Activity
		}
		s.digested(now, digest, own)
	}
	if reply.Totals != nil {
		s.fleet.ApplyTotals(now, *reply.Totals, report.Activity.WorkspaceDemand)
	}
}

// exchangeDigest sends this region's digest to a delegate of another region and
// takes that region's.
func (e *Edge) exchangeDigest(ctx context.Context, delegate fleet.Member, exchange fleet.Exchange) {
	e.tell(ctx, delegate, fleet.TypeExchange, exchange, e.state.takeRelays)
}

// takeRelays takes the answer of a delegate of another region to an exchange.
func (s *state) takeRelays(now time.Time, reply fleet.Reply) {
	for _, digest := range reply.Digests {
		if digest.Region != s.edge.settings.Region {
			s.digested(now, digest, fleet.Activity{})
			s.fleet.ApplyRegionDemand(now, digest)
		}
	}
}

// tell sends a message and takes the reply on the control loop. When the peer's
// mirror is ahead and this instance does not follow the store itself, it pulls.
func (e *Edge) tell(ctx context.Context, to fleet.Member, messageType string, message any, take func(time.Time, fleet.Reply)) {
	calling, cancel := context.WithTimeout(ctx, talkTimeout)
	defer cancel()
	client := e.peers.Client(to.Link)
	var reply fleet.Reply
	err := client.Call(calling, messageType, message, &reply)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		e.counters.talkFailures.Inc(1)
		e.log.Info().Err(err).Str("peer", to.Instance).Str("type", messageType).Msg("peer did not answer")
		e.loop.TryPost(func() { e.state.peerFailed(time.Now(), to.Instance) })
		return
	}
	err = e.loop.Call(ctx, func() {
		now := time.Now()
		e.state.fleet.RecordResponse(to.Instance)
		e.state.storeSeen(now, now.Add(-time.Duration(reply.StoreAgeMillis)*time.Millisecond))
		take(now, reply)
	})
	if err != nil {
		return
	}
	if reply.Revision > e.revision.Load() && e.storeSilent(time.Now()) {
		e.pullOnce(ctx, client)
	}
}

// peerFailed learns that an instance does not answer.
func (s *state) peerFailed(now time.Time, instance string) {
	s.fleet.RecordFailure(now, instance)
	s.following.failed(instance)
	s.publishFollowing(now)
}

// pullOnce pulls unless a pull is under way.
func (e *Edge) pullOnce(ctx context.Context, client *link.Client) {
	if !e.pulling.CompareAndSwap(false, true) {
		return
	}
	defer e.pulling.Store(false)
	if err := e.pull(ctx, client); err != nil {
		e.log.Warn().Err(err).Str("peer", client.Peer()).Msg("peer gave no mirror")
	}
}

// digested takes a digest.
func (s *state) digested(now time.Time, digest fleet.Digest, own fleet.Activity) {
	s.fleet.ApplyDigest(now, digest, own)
	s.edge.poison.told(now, digest.Activity.Strikes)
}

// reported answers a report of the region.
func (e *Edge) reported(ctx context.Context, request wire.Envelope) (any, error) {
	var report fleet.Report
	if err := request.Decode(&report); err != nil {
		return nil, err
	}
	return e.reply(ctx, func(now time.Time) fleet.Reply { return e.state.answerReport(now, report) })
}

// answerReport takes a report of the region and returns what its sender is told.
func (s *state) answerReport(now time.Time, report fleet.Report) fleet.Reply {
	if s.fleet.ApplyReport(now, report) {
		s.edge.poison.told(now, report.Activity.Strikes)
	}
	if report.OmitDigests {
		return fleet.Reply{}
	}
	own := s.activity(now)
	totals := s.fleet.Totals(now, report.Status.Member.Zone, own.WorkspaceDemand)
	return fleet.Reply{Digests: s.fleet.DigestsForMember(now, own, report), Totals: &totals}
}

// exchanged answers an exchange of another region.
func (e *Edge) exchanged(ctx context.Context, request wire.Envelope) (any, error) {
	var exchange fleet.Exchange
	if err := request.Decode(&exchange); err != nil {
		return nil, err
	}
	return e.reply(ctx, func(now time.Time) fleet.Reply { return e.state.answerExchange(now, exchange) })
}

// answerExchange takes an exchange of another region and returns what its sender
// lacks.
func (s *state) answerExchange(now time.Time, exchange fleet.Exchange) fleet.Reply {
	s.digested(now, exchange.Digest, fleet.Activity{})
	s.fleet.ApplyRegionDemand(now, exchange.Digest)
	return fleet.Reply{Digests: s.fleet.DigestsForDelegate(now, s.activity(now), exchange)}
}

// reply answers with what this instance knows; take takes the message on the control
// loop and returns the digests and totals.
func (e *Edge) reply(ctx context.Context, take func(time.Time) fleet.Reply) (any, error) {
	var reply fleet.Reply
	err := e.loop.Call(ctx, func() {
		now := time.Now()
		reply = take(now)
		reply.Revision = e.state.mirror.Revision()
		reply.StoreAgeMillis = e.state.toldAge(now).Milliseconds()
	})
	return reply, err
}
