package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"lovagescale/internal/catalog"
	"lovagescale/internal/fleet"
	"lovagescale/internal/link"
	"lovagescale/internal/mirror"
	"lovagescale/internal/placement"
	"lovagescale/internal/store"
	"lovagescale/internal/wire"
)

// A store that comes back from a copy has lost what it acknowledged since. Nothing that an
// instance has acknowledged is undone by that:
//   - A configuration stays in force until a later version comes.
//   - An endpoint that was draining or gone stays out of use until it writes a later record.
//   - Endpoints and evacuations that the copy lacks stay for reregistrationTime, in which
//     endpoints and the operator write their entries again.
//
// An instance that begins a new era asks its peers what they know beyond the copy, since
// they may have acknowledged more than it did; one that has just started knows nothing.

const (
	// stateQueryTimeout bounds the time in which peers are asked.
	stateQueryTimeout = 600 * time.Millisecond
	// maxQueriedPeers bounds the peers that are asked.
	maxQueriedPeers = 4
)

// applyDelta applies a delta of the mirror that came from the store or from a peer. If it
// begins a new era, the peers at the given link addresses and those that the delta names
// are asked first what they know beyond the store's copy.
func (e *Edge) applyDelta(ctx context.Context, delta mirror.Delta, peers []string) (changed int, err error) {
	var replies []fleet.StateReply
	if delta.Full && delta.Era > e.position.Load().Era {
		replies = e.queryPeerStates(ctx, delta.Entries, peers)
	}
	err = e.loop.Call(ctx, func() { changed = e.state.applyDelta(time.Now(), delta, replies) })
	return changed, err
}

// applyDelta merges a delta into the mirror, after what peers know beyond it, and returns
// the number of keys that changed.
func (s *state) applyDelta(now time.Time, delta mirror.Delta, replies []fleet.StateReply) int {
	previous := s.mirror.Position()
	changed := s.mirror.Merge(delta)
	if s.mirror.Position().Era == previous.Era {
		s.applyChanges(now, changed)
		return len(changed)
	}
	if previous != (store.Position{}) {
		s.beginEra(now, previous)
	}
	for _, reply := range replies {
		s.applyStateReply(now, reply)
	}
	s.copied = true
	s.applyChanges(now, changed)
	s.copied = false
	return len(changed)
}

// beginEra prepares for the changes of a copy. Endpoints and the operator get time to write
// their entries again, and the instance's registration is written anew.
func (s *state) beginEra(now time.Time, previous store.Position) {
	s.reregisterUntil = now.Add(reregistrationTime)
	s.copyUntil = s.reregisterUntil
	position := s.mirror.Position()
	s.edge.log.Warn().Uint64("era", position.Era).Uint64("revision", position.Revision).
		Uint64("previous_era", previous.Era).Uint64("previous_revision", previous.Revision).Msg("store came back from a copy")
	select {
	case s.edge.eraBegun <- struct{}{}:
	default: // the registration is already to be written anew
	}
}

// register applies the record of an endpoint and reports whether it did.
func (s *state) register(now time.Time, record placement.Record) bool {
	policy := s.coldPolicy(record.ID, record.Upstream, record.Zone)
	if s.copied {
		return s.registry.RegisterCopy(now, record, policy)
	}
	return s.registry.Register(now, record, policy)
}

func (s *state) evacuate(zone string) {
	delete(s.pendingRestores, zone)
	s.registry.Evacuate(zone)
	s.tableChanged = true
	s.edge.log.Info().Str("zone", zone).Uint64("revision", s.mirror.Position().Revision).Msg("zone is evacuated")
}

// endEvacuation takes a zone back whose evacuation is no longer in the store. Until
// copyUntil it waits, because the operator may write the evacuation again.
func (s *state) endEvacuation(now time.Time, zone string) {
	if now.Before(s.copyUntil) {
		s.restoreLater(zone)
		return
	}
	s.restore(now, zone)
}

func (s *state) restoreLater(zone string) {
	if s.pendingRestores == nil {
		s.pendingRestores = make(map[string]time.Time)
	}
	s.pendingRestores[zone] = s.copyUntil
}

func (s *state) restore(now time.Time, zone string) {
	s.registry.Restore(now, zone, func(e *placement.Endpoint) placement.ColdPolicy {
		return s.coldPolicy(e.ID, e.Upstream, e.Zone)
	})
	s.tableChanged = true
	s.edge.log.Info().Str("zone", zone).Msg("zone is taken back")
}

// restorePendingZones takes back the zones whose evacuation was not written again.
func (s *state) restorePendingZones(now time.Time) {
	for zone, until := range s.pendingRestores {
		if now.After(until) {
			delete(s.pendingRestores, zone)
			s.restore(now, zone)
		}
	}
}

// queryPeerStates asks peers what they know beyond the entries of a copy and returns the
// replies that come within stateQueryTimeout.
func (e *Edge) queryPeerStates(ctx context.Context, entries []store.Entry, peers []string) []fleet.StateReply {
	query, registered := e.decodeCopy(entries)
	queried := e.peersToQuery(slices.Concat(peers, *e.seeds.Load(), registered))
	ctx, cancel := context.WithTimeout(ctx, stateQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	var replies []fleet.StateReply
	var group sync.WaitGroup
	for _, peer := range queried {
		group.Go(func() {
			client := link.NewClient(peer)
			defer client.Close()
			var reply fleet.StateReply
			if err := client.Call(ctx, fleet.TypeStateQuery, query, &reply); err != nil {
				e.log.Info().Err(err).Str("peer", peer).Msg("peer does not tell what it knows beyond the copy")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	group.Wait()
	e.log.Info().Int("peers", len(queried)).Int("replies", len(replies)).Msg("peers were asked what they know beyond the copy")
	return replies
}

// peersToQuery returns the first maxQueriedPeers other instances among the link addresses,
// each once.
func (e *Edge) peersToQuery(addresses []string) []string {
	var peers []string
	for _, address := range addresses {
		if address != e.settings.Link && !slices.Contains(peers, address) {
			peers = append(peers, address)
		}
	}
	return peers[:min(len(peers), maxQueriedPeers)]
}

// decodeCopy returns the query for the endpoints among the entries, and the link
// addresses of the registered instances.
func (e *Edge) decodeCopy(entries []store.Entry) (query fleet.StateQuery, registered []string) {
	for _, entry := range entries {
		resource, err := e.ports.Entries.Decode(entry)
		if err != nil {
			continue // reported when the entry is applied
		}
		switch resource := resource.(type) {
		case placement.Record:
			query.Endpoints = append(query.Endpoints, fleet.EndpointRecord{
				Endpoint: resource.ID, StartMillis: resource.StartMillis, Sequence: resource.Sequence})
		case fleet.Member:
			registered = append(registered, resource.Link)
		}
	}
	return query, registered
}

// handleStateQuery tells a peer what this instance knows beyond a copy of the store.
func (e *Edge) handleStateQuery(ctx context.Context, request wire.Envelope) (any, error) {
	var query fleet.StateQuery
	if err := request.Decode(&query); err != nil {
		return nil, err
	}
	var reply fleet.StateReply
	err := e.loop.Call(ctx, func() { reply = e.state.stateReply(query) })
	return reply, err
}

func (s *state) stateReply(query fleet.StateQuery) fleet.StateReply {
	reply := fleet.StateReply{Configuration: s.catalogEntry, EvacuatedZones: s.registry.Evacuated()}
	for _, e := range query.Endpoints {
		if last, departed := s.registry.Departed(e.Endpoint, e.StartMillis, e.Sequence); departed {
			reply.Departed = append(reply.Departed, fleet.EndpointRecord{
				Endpoint: last.ID, StartMillis: last.StartMillis, Sequence: last.Sequence})
		}
	}
	return reply
}

// applyStateReply applies what a peer knows beyond a copy of the store. Evacuations that
// the copy lacks count for reregistrationTime.
func (s *state) applyStateReply(now time.Time, reply fleet.StateReply) {
	s.applyPeerCatalog(now, reply.Configuration)
	for _, e := range reply.Departed {
		s.registry.Depart(e.Endpoint, e.StartMillis, e.Sequence)
		delete(s.pendingRemovals, e.Endpoint)
		s.tableChanged = true
	}
	for _, zone := range reply.EvacuatedZones {
		s.evacuate(zone)
		if !s.evacuatedInStore(zone) {
			s.copyUntil = now.Add(reregistrationTime)
			s.restoreLater(zone)
		}
	}
}

func (s *state) applyPeerCatalog(now time.Time, entry store.Entry) {
	if entry.Key == "" {
		return
	}
	resource, err := s.edge.ports.Entries.Decode(entry)
	if err != nil {
		s.edge.log.Warn().Err(err).Msg("peer's configuration cannot be read")
		return
	}
	if c, ok := resource.(*catalog.Catalog); ok {
		s.applyCatalog(now, c, entry)
	}
}

// evacuatedInStore reports whether the mirror holds the evacuation of a zone.
func (s *state) evacuatedInStore(zone string) bool {
	_, found := s.mirror.Get(s.edge.ports.Entries.EvacuationKey(zone))
	return found
}
