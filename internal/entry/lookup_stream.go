package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"lovagescale/internal/configuration"
	"lovagescale/internal/link"
	"lovagescale/internal/lookup"
	"lovagescale/internal/membership"
	"lovagescale/internal/wire"
)

// maxStreamInterval is the maximum time between two state messages on a lookup stream.
const maxStreamInterval = time.Second

// lookupStream is a stream to one lookup server. It records what was sent, so that
// only changes are sent again.
type lookupStream struct {
	send         link.Send
	sentRevision uint64
	blockDigests map[string]string // of the client blocks that the server has, by zone
	// sentView is the membership view that was sent last, or nil.
	sentView *membership.View
}

// serveLookupStream streams this entry's state to a lookup server.
func (e *Entry) serveLookupStream(ctx context.Context, envelope wire.Envelope, send link.Send) error {
	var request lookup.FollowRequest
	if err := envelope.Decode(&request); err != nil {
		return err
	}
	stream := &lookupStream{send: send, blockDigests: request.BlockDigests}
	if stream.blockDigests == nil {
		stream.blockDigests = make(map[string]string)
	}
	for ctx.Err() == nil {
		changed := e.changes.nextChange()
		if err := e.sendState(stream); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-time.After(maxStreamInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// sendState sends what has changed. The catalogue and the client blocks of a new
// revision are sent before the state that names the revision.
func (e *Entry) sendState(stream *lookupStream) error {
	c := e.configuration.Load()
	state := lookup.State{}
	if c != nil {
		state.Revision = c.Revision
		if err := stream.sendConfiguration(c); err != nil {
			return err
		}
	}
	view := e.view.Load()
	stream.addMembers(&state, view)
	return stream.send(lookup.TypeState, state)
}

// addMembers adds all members to the first state of a stream and the changed members
// to later ones.
func (s *lookupStream) addMembers(state *lookup.State, view *membership.View) {
	state.Self = view.Self
	previous := s.sentView
	s.sentView = view
	if previous == nil {
		state.Full = true
		state.Members = view.Members
		return
	}
	if previous == view {
		return
	}
	unseen := make(map[string]membership.Member, len(previous.Members))
	for _, member := range previous.Members {
		unseen[member.Instance] = member
	}
	for _, member := range view.Members {
		if unseen[member.Instance] != member {
			state.Members = append(state.Members, member)
		}
		delete(unseen, member.Instance)
	}
	state.Removed = slices.Sorted(maps.Keys(unseen))
}

func (s *lookupStream) sendConfiguration(c *configuration.Configuration) error {
	if c.Revision == s.sentRevision {
		return nil
	}
	maps.DeleteFunc(s.blockDigests, func(zone, _ string) bool {
		_, listed := c.Blocks[zone]
		return !listed
	})
	for zone, blocks := range c.Blocks {
		if s.blockDigests[zone] == blocks.Digest {
			continue
		}
		message := lookup.ZoneBlocks{Revision: c.Revision, Zone: zone, Digest: blocks.Digest, Content: blocks.Content}
		if err := s.send(lookup.TypeBlocks, message); err != nil {
			return err
		}
		s.blockDigests[zone] = blocks.Digest
	}
	catalogue := lookup.Catalogue{
		Revision: c.Revision,
		Services: slices.Sorted(maps.Keys(c.Services)),
		Regions:  make(map[string]string, len(c.Zones)),
	}
	for name, zone := range c.Zones {
		catalogue.Regions[name] = zone.Region
	}
	s.sentRevision = c.Revision
	return s.send(lookup.TypeCatalogue, catalogue)
}
