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
	"lovagescale/internal/routing"
	"lovagescale/internal/spread"
	"lovagescale/internal/wire"
)

// followInterval is the longest pause on the stream to look-ups.
const followInterval = time.Second

func wait(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// putInForce runs on the control goroutine. It ignores a revision lower than
// the one in force; the same one comes again with a pushed withdrawal.
func (e *Entry) putInForce(c *configuration.Configuration) {
	if current := e.current.Load(); current != nil && c.Revision < current.Revision {
		return
	}
	e.current.Store(c)
	e.router.Apply(c)
	e.gateway.Apply(c)
	e.changes.signal()
	e.log.Info().Uint64("revision", c.Revision).Msg("configuration in force")
}

// follow streams this entry's state to a look-up process.
func (e *Entry) follow(ctx context.Context, request wire.Envelope, send link.Send) error {
	var follow lookup.Follow
	if err := request.Decode(&follow); err != nil {
		return err
	}
	sent := follow.HaveRevision
	for ctx.Err() == nil {
		changed := e.changes.next()
		state := e.lookupState(sent)
		if err := send(lookup.TypeState, state); err != nil {
			return err
		}
		sent = state.Revision
		select {
		case <-changed:
		case <-time.After(followInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (e *Entry) lookupState(sent uint64) lookup.State {
	view := e.view.Load()
	state := lookup.State{Self: view.Self, Members: view.Members}
	c := e.current.Load()
	if c == nil {
		return state
	}
	state.Revision = c.Revision
	state.Services = slices.Sorted(maps.Keys(c.Services))
	if c.Revision == sent {
		return state
	}
	state.Blocks = make(map[string][]string, len(c.Zones))
	state.Regions = make(map[string]string, len(c.Zones))
	for name, zone := range c.Zones {
		state.Blocks[name] = zone.ClientBlocks
		state.Regions[name] = zone.Region
	}
	return state
}

// Dump is the state dump of an entry.
type Dump struct {
	Self      membership.Member       `json:"self"`
	Members   []membership.Member     `json:"members"`
	Revision  uint64                  `json:"revision"`
	Spread    spread.StatusReply      `json:"spread"`
	Stopping  bool                    `json:"stopping"`
	Endpoints []routing.EndpointState `json:"endpoints"`
}

func (e *Entry) dump(ctx context.Context) (any, error) {
	view := e.view.Load()
	dump := Dump{
		Self:      view.Self,
		Members:   view.Members,
		Stopping:  e.stopping.Load(),
		Endpoints: e.router.State(),
	}
	if c := e.current.Load(); c != nil {
		dump.Revision = c.Revision
	}
	err := e.loop.Call(ctx, func() { dump.Spread = e.spreading.state() })
	return dump, err
}
