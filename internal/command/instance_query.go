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

// Limits of the queries to entry instances. The check of the store's revision before a change
// queries the first revisionCheckInstances instances and ends after revisionCheckTimeout.
const (
	queryTimeout           = time.Second
	maxConcurrentQueries   = 64
	revisionCheckInstances = 12
	revisionCheckTimeout   = 500 * time.Millisecond
)

// queryResult is the reply of one listed instance, or the error of the call.
type queryResult[R any] struct {
	Instance instancelist.Instance
	Reply    R
	Err      error
}

// queryInstances sends a request to the link address of every instance and returns the
// results in the order of the instances.
func queryInstances[R any](ctx context.Context, instances []instancelist.Instance, messageType string, request any) []queryResult[R] {
	results := make([]queryResult[R], len(instances))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i, instance := range instances {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			client := link.NewClient(instance.Link)
			defer client.Close()
			results[i].Instance = instance
			results[i].Err = client.Call(ctx, messageType, request, &results[i].Reply)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return results
}

// requireStoreNotBehind queries the revision of some entry instances and returns a
// *StoreBehindError if one of them has a higher revision than the store, because that
// instance would ignore a change on top of the store's older state. Instances that do not
// reply, or a list that cannot be read, do not prevent a change.
func (e *Environment) requireStoreNotBehind(ctx context.Context, p *configuration.Publisher) error {
	queryCtx, cancel := context.WithTimeout(ctx, revisionCheckTimeout)
	defer cancel()
	instances, err := e.instanceList().Instances(queryCtx)
	if err != nil {
		return nil
	}
	results := queryInstances[spread.StatusReply](queryCtx, instances[:min(revisionCheckInstances, len(instances))], spread.TypeStatus, struct{}{})
	highest := spread.StatusReply{}
	for _, result := range results {
		if result.Err == nil && result.Reply.Revision > highest.Revision {
			highest = result.Reply
		}
	}
	current, err := p.Current(ctx)
	if err != nil {
		return &configuration.NotAppliedError{ChangeID: p.ChangeID, Cause: err}
	}
	if highest.Revision > current.Manifest.Revision {
		return &StoreBehindError{Instance: highest.Instance, InForce: highest.Revision, Store: current.Manifest.Revision}
	}
	return nil
}
