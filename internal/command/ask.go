package command

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"lovagescale/internal/configuration"
	"lovagescale/internal/instancelist"
	"lovagescale/internal/link"
	"lovagescale/internal/spread"
)

// Bounds of the questions to entries.
const (
	askTimeout  = time.Second
	askAtOnce   = 64
	askedAhead  = 12
	aheadPeriod = 500 * time.Millisecond
)

// answer is what one listed instance said.
type answer[R any] struct {
	Instance instancelist.Instance
	Reply    R
	Err      error
}

// askAll sends a request to the link of every instance.
func askAll[R any](ctx context.Context, instances []instancelist.Instance, messageType string, request any) []answer[R] {
	answers := make([]answer[R], len(instances))
	var group errgroup.Group
	group.SetLimit(askAtOnce)
	for i, instance := range instances {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			client := link.NewClient(instance.Link)
			defer client.Close()
			answers[i].Instance = instance
			answers[i].Err = client.Call(ctx, messageType, request, &answers[i].Reply)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return answers
}

// requireStoreAhead asks some entries for their revision and returns a
// *StoreBehindError when one has a higher revision than the store: a change on
// top of the older state would be ignored by it. Entries that cannot be heard
// do not hinder a change.
func (e *Environment) requireStoreAhead(ctx context.Context, p *configuration.Publisher) error {
	asking, cancel := context.WithTimeout(ctx, aheadPeriod)
	defer cancel()
	instances, err := e.list().Instances(asking)
	if err != nil {
		return nil
	}
	answers := askAll[spread.StatusReply](asking, instances[:min(askedAhead, len(instances))], spread.TypeStatus, struct{}{})
	ahead := spread.StatusReply{}
	for _, a := range answers {
		if a.Err == nil && a.Reply.Revision > ahead.Revision {
			ahead = a.Reply
		}
	}
	current, err := p.Current(ctx)
	if err != nil {
		return &configuration.NotAppliedError{ChangeID: p.ChangeID, Cause: err}
	}
	if ahead.Revision > current.Manifest.Revision {
		return &StoreBehindError{Instance: ahead.Instance, InForce: ahead.Revision, Store: current.Manifest.Revision}
	}
	return nil
}
