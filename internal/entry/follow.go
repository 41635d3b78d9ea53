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

// followInterval is the longest silence on a stream to a look-up process.
const followInterval = time.Second

// follower is one stream to a look-up process and what it has sent.
type follower struct {
	send     link.Send
	revision uint64
	blocks   map[string]string
	// view is the last one sent, nil before the first.
	view *membership.View
}

// follow streams this entry's state to a look-up process.
func (e *Entry) follow(ctx context.Context, request wire.Envelope, send link.Send) error {
	var follow lookup.FollowRequest
	if err := request.Decode(&follow); err != nil {
		return err
	}
	f := &follower{send: send, blocks: follow.BlockDigests}
	if f.blocks == nil {
		f.blocks = make(map[string]string)
	}
	for ctx.Err() == nil {
		changed := e.changes.next()
		if err := e.sendTo(f); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-time.After(followInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// sendTo sends what changed: the catalogue and the client blocks of a new
// revision first, so that a state never names a revision without its blocks.
func (e *Entry) sendTo(f *follower) error {
	c := e.current.Load()
	state := lookup.State{}
	if c != nil {
		state.Revision = c.Revision
		if err := f.sendConfiguration(c); err != nil {
			return err
		}
	}
	view := e.view.Load()
	f.addMembers(&state, view)
	return f.send(lookup.TypeState, state)
}

// addMembers gives all members in the first state and what changed in others.
func (f *follower) addMembers(state *lookup.State, view *membership.View) {
	state.Self = view.Self
	previous := f.view
	f.view = view
	if previous == nil {
		state.Full = true
		state.Members = view.Members
		return
	}
	if previous == view {
		return
	}
	before := make(map[string]membership.Member, len(previous.Members))
	for _, member := range previous.Members {
		before[member.Instance] = member
	}
	for _, member := range view.Members {
		if before[member.Instance] != member {
			state.Members = append(state.Members, member)
		}
		delete(before, member.Instance)
	}
	state.Removed = slices.Sorted(maps.Keys(before))
}

func (f *follower) sendConfiguration(c *configuration.Configuration) error {
	if c.Revision == f.revision {
		return nil
	}
	maps.DeleteFunc(f.blocks, func(zone, _ string) bool {
		_, listed := c.Blocks[zone]
		return !listed
	})
	for zone, blocks := range c.Blocks {
		if f.blocks[zone] == blocks.Digest {
			continue
		}
		message := lookup.ZoneBlocks{Revision: c.Revision, Zone: zone, Digest: blocks.Digest, Content: blocks.Content}
		if err := f.send(lookup.TypeBlocks, message); err != nil {
			return err
		}
		f.blocks[zone] = blocks.Digest
	}
	catalogue := lookup.Catalogue{
		Revision: c.Revision,
		Services: slices.Sorted(maps.Keys(c.Services)),
		Regions:  make(map[string]string, len(c.Zones)),
	}
	for name, zone := range c.Zones {
		catalogue.Regions[name] = zone.Region
	}
	f.revision = c.Revision
	return f.send(lookup.TypeCatalogue, catalogue)
}
