package edge

import (
	"context"
	"time"

	"lovagescale/internal/fleet"
	"lovagescale/internal/link"
	"lovagescale/internal/wire"
)

// Times of reports and exchanges between instances.
const (
	// reportInterval is the interval of an instance's reports to the delegates in a
	// region of at most instancesPerInterval instances. In a larger region the interval
	// grows with the number of instances up to maxReportInterval, so that the load of a
	// delegate does not.
	reportInterval       = 250 * time.Millisecond
	instancesPerInterval = 8
	maxReportInterval    = time.Second
	// frequentReportTime is how long after its first report an instance reports at the
	// shortest interval: it holds small shares of the quotas until it knows which
	// instances are alive.
	frequentReportTime = 3 * time.Second
	// exchangeInterval is the interval of a delegate's exchanges with another region.
	exchangeInterval = 500 * time.Millisecond
	// messageTimeout bounds a report or an exchange.
	messageTimeout = 700 * time.Millisecond
)

// sendMessages reports to the delegates of the region and, as a delegate, exchanges
// digests with the other regions, until ctx ends.
func (e *Edge) sendMessages(ctx context.Context) {
	lastExchange := time.Time{}
	for ctx.Err() == nil {
		now := time.Now()
		var round messageRound
		if err := e.loop.Call(ctx, func() { round = e.state.newMessageRound(now) }); err != nil {
			return
		}
		for i, delegate := range round.reportTo {
			report := round.report
			report.OmitDigests = round.largeRegion && (i > 0 || round.isDelegate)
			go e.sendReport(ctx, delegate, report, round.packed[delegate.Instance])
		}
		if now.Sub(lastExchange) >= exchangeInterval {
			lastExchange = now
			for _, exchange := range round.exchanges {
				go e.sendExchange(ctx, exchange)
			}
		}
		sleep(ctx, jitter(round.interval))
	}
}

// messageRound holds the messages that an instance sends in one round.
type messageRound struct {
	report    fleet.Report
	reportTo  []fleet.Member
	exchanges []outgoingExchange
	// packed is the packed activity of the report, by the delegate that accepts it.
	packed   map[string][]byte
	interval time.Duration
	// isDelegate is set if this instance is a delegate, so that it receives the reports
	// of its region itself.
	isDelegate bool
	// largeRegion is set if the region is so large that an instance gets digests from only
	// one delegate. In a small region it gets them from two, which keeps them fresher.
	largeRegion bool
}

// outgoingExchange is an exchange as it is sent to a delegate of another region.
type outgoingExchange struct {
	to       fleet.Member
	exchange fleet.Exchange
	// membersHash is the hash of this region's members.
	membersHash uint64
}

// newExchange returns the exchange as the delegate accepts it.
func (s *state) newExchange(to fleet.Member, exchange fleet.Exchange) outgoingExchange {
	outgoing := outgoingExchange{to: to, exchange: exchange, membersHash: exchange.Digest.MembersHash}
	packed, err := s.fleet.PackExchange(to, exchange)
	if err != nil {
		s.edge.log.Warn().Err(err).Str("peer", to.Instance).Msg("exchange is sent unpacked")
		return outgoing
	}
	outgoing.exchange = packed
	return outgoing
}

// newMessageRound returns the messages to send now.
func (s *state) newMessageRound(now time.Time) messageRound {
	ownActivity := s.activity(now)
	self := s.fleet.Self()
	interval := s.reportInterval()
	round := messageRound{interval: interval, largeRegion: interval > reportInterval}
	if s.firstReportAt.IsZero() {
		s.firstReportAt = now
	}
	if now.Sub(s.firstReportAt) < frequentReportTime {
		round.interval = reportInterval
	}
	round.report = fleet.Report{
		Status:       s.fleet.Status(),
		Activity:     ownActivity,
		MemberHashes: s.fleet.MemberHashes(),
		UsedRegions:  s.regionsInUse(now),
		Packing:      s.fleet.Packing(),
	}
	position := -1
	for i, delegate := range s.fleet.Delegates(now, self.Region) {
		if delegate == self {
			position = i
		} else {
			round.reportTo = append(round.reportTo, delegate)
		}
	}
	if position >= 0 {
		// A digest in the reply replaces an older one that an exchange brought, so it must
		// have the endpoint loads too.
		round.report.UsedRegions = s.edge.otherRegions()
	}
	round.packed = s.packReports(round)
	if position < 0 {
		return round
	}
	round.isDelegate = true
	exchange := fleet.Exchange{
		Digest:          s.fleet.LocalDigestWithDemand(now, ownActivity),
		MemberHashes:    s.fleet.MemberHashes(),
		DemandAgeMillis: s.fleet.DemandAges(now),
		Packing:         s.fleet.Packing(),
	}
	for _, region := range s.edge.otherRegions() {
		if delegates := s.fleet.Delegates(now, region); len(delegates) > 0 {
			round.exchanges = append(round.exchanges, s.newExchange(delegates[min(position, len(delegates)-1)], exchange))
		}
	}
	return round
}

func (s *state) reportInterval() time.Duration {
	n := s.fleet.RegionSize(s.edge.settings.Region)
	return min(max(reportInterval*time.Duration(n)/instancesPerInterval, reportInterval), maxReportInterval)
}

// activity returns the activity of this instance.
func (s *state) activity(now time.Time) fleet.Activity {
	activity := fleet.Activity{
		UpstreamDemand:  s.edge.stats.UpstreamDemand(),
		WorkspaceDemand: workspaceDemands(s.edge.workspaceDemand.Rates()),
		UpstreamAnswers: s.edge.stats.UpstreamAnswers(),
		RemoteAnswers:   s.edge.stats.RemoteAnswers(),
		Strikes:         s.edge.quarantine.activeStrikes(now),
		Objects:         s.objectEstimates(),
	}
	s.addSlotDemand(&activity)
	endpoints := s.edge.table.Load().Endpoints()
	s.addLimits(now, &activity, endpoints)
	activity.Speeds = endpointSpeeds(now, endpoints)
	for id, endpoint := range endpoints {
		if n := endpoint.InFlight(); n > 0 {
			activity.EndpointLoads = append(activity.EndpointLoads, fleet.EndpointLoad{Endpoint: fleet.KeyOf(id), InFlight: n})
		}
		if endpoint.SaidLeaving() {
			activity.Leaving = append(activity.Leaving, fleet.LeavingEndpoint{Endpoint: id, StartMillis: endpoint.StartMillis})
		}
	}
	return activity
}

// sendReport sends a report to a delegate and applies the digests of its reply.
func (e *Edge) sendReport(ctx context.Context, delegate fleet.Member, report fleet.Report, packed []byte) {
	e.sendMessage(ctx, delegate, fleet.TypeReport, withPacked(report, packed), func(now time.Time, reply fleet.Reply) {
		e.state.followerElection.recordDelegateReply(now, delegate.Instance, time.Duration(reply.StoreAgeMillis)*time.Millisecond)
		e.state.publishFollowerElection(now)
		e.state.fleet.RecordReported(delegate, reply)
		e.state.applyReportReply(now, report, reply)
	})
}

// applyReportReply applies the reply of a delegate of the region to a report.
func (s *state) applyReportReply(now time.Time, report fleet.Report, reply fleet.Reply) {
	reply, ok := s.unpackReply(reply)
	if !ok {
		return
	}
	for _, digest := range reply.Digests {
		own := fleet.Activity{}
		if digest.Region == s.edge.settings.Region {
			own = report.Activity
		}
		s.applyDigest(now, digest, own)
	}
	if reply.Totals != nil {
		s.fleet.ApplyTotals(now, *reply.Totals, report.Activity.WorkspaceDemand)
		s.fleet.ApplySlotTotals(now, *reply.Totals, report.Activity)
	}
}

// sendExchange sends this region's digest to a delegate of another region and applies the
// digests of its reply.
func (e *Edge) sendExchange(ctx context.Context, outgoing outgoingExchange) {
	e.sendMessage(ctx, outgoing.to, fleet.TypeExchange, outgoing.exchange, func(now time.Time, reply fleet.Reply) {
		e.state.applyExchangeReply(now, outgoing, reply)
	})
}

// applyExchangeReply applies the reply of a delegate of another region to an exchange.
func (s *state) applyExchangeReply(now time.Time, outgoing outgoingExchange, reply fleet.Reply) {
	s.fleet.RecordExchanged(outgoing.to, outgoing.membersHash, reply)
	reply, ok := s.unpackReply(reply)
	if !ok {
		return
	}
	for _, digest := range reply.Digests {
		if digest.Region != s.edge.settings.Region {
			s.applyDigest(now, digest, fleet.Activity{})
			s.fleet.ApplyRegionDemand(now, digest)
		}
	}
}

// sendMessage sends a message and calls apply with the reply on the control loop. If the
// peer's mirror is at a later position and this instance does not follow the store
// itself, it pulls from the peer.
func (e *Edge) sendMessage(ctx context.Context, to fleet.Member, messageType string, message any, apply func(time.Time, fleet.Reply)) {
	callCtx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	client := e.peers.Client(to.Link)
	var reply fleet.Reply
	err := client.Call(callCtx, messageType, message, &reply)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		e.counters.messageFailures.Inc(1)
		e.log.Info().Err(err).Str("peer", to.Instance).Str("type", messageType).Msg("peer did not answer")
		e.loop.TryPost(func() { e.state.recordPeerFailure(time.Now(), to.Instance) })
		return
	}
	err = e.loop.Call(ctx, func() {
		now := time.Now()
		e.state.divideOnceAcknowledged(now, func() { e.state.fleet.RecordReply(to.Instance) })
		e.state.recordStoreAnswer(now, now.Add(-time.Duration(reply.StoreAgeMillis)*time.Millisecond))
		apply(now, reply)
	})
	if err != nil {
		return
	}
	if reply.Position().Compare(*e.position.Load()) > 0 && e.needsPeerMirror(time.Now()) {
		e.pullUnlessInProgress(ctx, client)
	}
}

// unpackReply returns an unpacked reply. It returns false if the reply cannot be read.
func (s *state) unpackReply(reply fleet.Reply) (fleet.Reply, bool) {
	unpacked, err := s.fleet.UnpackReply(reply)
	if err != nil {
		s.edge.log.Warn().Err(err).Msg("reply is passed over")
		return fleet.Reply{}, false
	}
	return unpacked, true
}

// recordPeerFailure records that an instance did not reply.
func (s *state) recordPeerFailure(now time.Time, instance string) {
	s.fleet.RecordFailure(now, instance)
	s.followerElection.removeDelegate(instance)
	s.publishFollowerElection(now)
}

// pullUnlessInProgress pulls from the peer unless another pull is in progress.
func (e *Edge) pullUnlessInProgress(ctx context.Context, client *link.Client) {
	if !e.pullInProgress.CompareAndSwap(false, true) {
		return
	}
	defer e.pullInProgress.Store(false)
	if err := e.pull(ctx, client); err != nil {
		e.log.Warn().Err(err).Str("peer", client.Peer()).Msg("mirror was not pulled from the peer")
	}
}

// applyDigest applies a digest and what it tells of requests and endpoints. If the digest is of this instance's
// region, own is this instance's part of it.
func (s *state) applyDigest(now time.Time, digest fleet.Digest, own fleet.Activity) {
	s.fleet.ApplyDigest(now, digest, own)
	s.applySpeeds(now.Add(-time.Duration(digest.AgeMillis)*time.Millisecond), digest.Activity.Speeds)
	s.applyWarnings(now, digest.Activity)
}

// applyWarnings applies what other instances found out about requests that crash endpoints,
// about endpoints that are leaving and about limits that endpoints name.
func (s *state) applyWarnings(now time.Time, activity fleet.Activity) {
	s.edge.quarantine.addStrikes(now, activity.Strikes)
	for _, endpoint := range activity.Leaving {
		s.registry.SetLeaving(endpoint.Endpoint, endpoint.StartMillis)
	}
	s.applyLimitNews(now, activity.LimitNews)
}

// handleReport handles a report from an instance of the region.
func (e *Edge) handleReport(ctx context.Context, request wire.Envelope) (any, error) {
	report, err := decodeReport(request)
	if err != nil {
		return nil, err
	}
	return e.newReply(ctx, func(now time.Time) fleet.Reply { return e.state.handleReport(now, report) })
}

// handleReport applies a report from an instance of the region and returns the reply.
func (s *state) handleReport(now time.Time, report fleet.Report) fleet.Reply {
	if s.fleet.ApplyReport(now, report) {
		s.applySpeeds(now, report.Activity.Speeds)
		s.applyWarnings(now, report.Activity)
	}
	packing := fleet.Packing{AcceptsReports: true}
	if report.OmitDigests {
		return fleet.Reply{Packing: packing}
	}
	own := s.activity(now)
	totals := s.fleet.Totals(now, report.Status.Member.Zone, own.WorkspaceDemand)
	s.fleet.AddSlotTotals(now, &totals, own)
	reply := fleet.Reply{Digests: s.fleet.DigestsForMember(now, own, report), Totals: &totals, Packing: packing}
	return s.packReply(reply, report.Packing)
}

// packReply returns the reply as its receiver accepts it.
func (s *state) packReply(reply fleet.Reply, accepts fleet.Packing) fleet.Reply {
	packed, err := s.fleet.PackReply(reply, accepts)
	if err != nil {
		s.edge.log.Warn().Err(err).Msg("reply is sent unpacked")
		return reply
	}
	return packed
}

// handleExchange handles an exchange from a delegate of another region.
func (e *Edge) handleExchange(ctx context.Context, request wire.Envelope) (any, error) {
	var exchange fleet.Exchange
	if err := request.Decode(&exchange); err != nil {
		return nil, err
	}
	return e.newReply(ctx, func(now time.Time) fleet.Reply { return e.state.handleExchange(now, exchange) })
}

// handleExchange applies an exchange from a delegate of another region and returns the
// digests that its sender lacks.
func (s *state) handleExchange(now time.Time, exchange fleet.Exchange) fleet.Reply {
	exchange, err := s.fleet.UnpackExchange(exchange)
	if err != nil {
		s.edge.log.Warn().Err(err).Msg("exchange is passed over")
		return fleet.Reply{}
	}
	s.applyDigest(now, exchange.Digest, fleet.Activity{})
	s.fleet.ApplyRegionDemand(now, exchange.Digest)
	reply := fleet.Reply{Digests: s.fleet.DigestsForDelegate(now, s.activity(now), exchange)}
	reply.Packing = s.fleet.Packing()
	return s.packReply(reply, exchange.Packing)
}

// newReply returns the reply to a message. On the control loop it calls handle, which
// applies the message and returns the digests and totals, and then adds the revision and
// the store age.
func (e *Edge) newReply(ctx context.Context, handle func(time.Time) fleet.Reply) (any, error) {
	var reply fleet.Reply
	err := e.loop.Call(ctx, func() {
		now := time.Now()
		reply = handle(now)
		position := e.state.mirror.Position()
		reply.Era, reply.Revision = position.Era, position.Revision
		reply.StoreAgeMillis = e.state.storeAgeForPeers(now).Milliseconds()
	})
	return reply, err
}
