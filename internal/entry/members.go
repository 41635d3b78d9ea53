package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"lovagescale/internal/membership"
	"lovagescale/internal/platform"
	"lovagescale/internal/wire"
)

// typeHello asks an entry who it is.
const typeHello = "membership.hello"

// Intervals of the look at other entries.
const (
	helloInterval = time.Second
	helloTimeout  = 500 * time.Millisecond
)

func (e *Entry) hello(context.Context, wire.Envelope) (any, error) {
	return e.view.Load().Self, nil
}

// watchMembers asks every listed instance who it is until ctx ends.
func (e *Entry) watchMembers(ctx context.Context) {
	var listed []platform.Instance
	for ctx.Err() == nil {
		if instances, err := e.list.Instances(ctx); err == nil {
			listed = instances
		}
		members := e.askMembers(ctx, listed)
		_ = e.loop.Post(func() { e.putMembers(members) })
		wait(ctx, helloInterval)
	}
}

func (e *Entry) askMembers(ctx context.Context, listed []platform.Instance) []membership.Member {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var mu sync.Mutex
	var members []membership.Member
	var asked sync.WaitGroup
	for _, instance := range listed {
		if instance.ID == e.self.Instance {
			continue
		}
		asked.Go(func() {
			var member membership.Member
			if e.peers.Client(instance.Link).Call(ctx, typeHello, struct{}{}, &member) != nil {
				return
			}
			if instance.State == platform.Leaving {
				member.State = platform.Leaving
			}
			mu.Lock()
			defer mu.Unlock()
			members = append(members, member)
		})
	}
	asked.Wait()
	return members
}

// putMembers runs on the control goroutine.
func (e *Entry) putMembers(others []membership.Member) {
	self := e.view.Load().Self
	members := append([]membership.Member{self}, others...)
	slices.SortFunc(members, func(a, b membership.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	view := &membership.View{Self: self, Members: members}
	e.view.Store(view)
	e.router.ApplyView(view)
	e.changes.signal()
}
