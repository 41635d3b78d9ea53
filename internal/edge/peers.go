package edge

import (
	"context"
	"time"

	"lovagescale/internal/fleet"
	"lovagescale/internal/link"
	"lovagescale/internal/wire"
)

// Times of heartbeats.
const (
	// nearBeat is the time between heartbeats to instances of the region, farBeat
	// to the others.
	nearBeat = 250 * time.Millisecond
	farBeat  = 500 * time.Millisecond
	// beatTimeout bounds one heartbeat.
	beatTimeout = time.Second
)

// connect keeps one goroutine for each peer.
func (s *state) connect() {
	known := make(map[string]bool)
	for _, member := range s.fleet.Peers() {
		known[member.Link] = true
		if _, running := s.peers[member.Link]; running {
			continue
		}
		ctx, cancel := context.WithCancel(s.ctx)
		s.peers[member.Link] = cancel
		go s.edge.beat(ctx, member)
	}
	for address, cancel := range s.peers {
		if !known[address] {
			cancel()
			delete(s.peers, address)
		}
	}
}

// beat sends heartbeats to a peer until ctx ends, and takes the peer's mirror
// when the store is silent and the peer knows more.
func (e *Edge) beat(ctx context.Context, member fleet.Member) {
	client := link.NewClient(member.Link)
	defer client.Close()
	interval := farBeat
	if member.Region == e.settings.Region {
		interval = nearBeat
	}
	for ctx.Err() == nil {
		beat, found := (*e.beats.Load())[member.Region]
		if found {
			e.beatOnce(ctx, client, beat)
		}
		sleep(ctx, jitter(interval))
	}
}

func (e *Edge) beatOnce(ctx context.Context, client *link.Client, beat fleet.Heartbeat) {
	calling, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	var reply fleet.Acknowledgement
	if err := client.Call(calling, fleet.TypeHeartbeat, beat, &reply); err != nil {
		e.counters.beatFailures.Inc(1)
		e.log.Debug().Err(err).Str("peer", client.Peer()).Msg("heartbeat was not acknowledged")
		return
	}
	if reply.Revision <= e.revision.Load() || !e.storeSilent(time.Now()) {
		return
	}
	if err := e.pull(ctx, client); err != nil {
		e.log.Warn().Err(err).Str("peer", client.Peer()).Msg("peer gave no mirror")
	}
}

// heartbeat takes a peer's heartbeat.
func (e *Edge) heartbeat(ctx context.Context, request wire.Envelope) (any, error) {
	var beat fleet.Heartbeat
	if err := request.Decode(&beat); err != nil {
		return nil, err
	}
	err := e.loop.Call(ctx, func() {
		now := time.Now()
		if e.state.fleet.Heard(now, beat) {
			e.poison.told(now, beat.Strikes)
		}
	})
	return fleet.Acknowledgement{Revision: e.revision.Load()}, err
}
