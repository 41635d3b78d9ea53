package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lovagescale/internal/fleet"
	"lovagescale/internal/link"
	"lovagescale/internal/mirror"
	"lovagescale/internal/store"
	"lovagescale/internal/wire"
)

// Times of following the store.
const (
	// watchWait is how long a watch waits; a connection that has gone silent is
	// noticed after it. It is short, since the region depends on its delegates.
	watchWait = time.Second
	// followPause is the pause after a failed call, and maxFollowPause the longest.
	followPause    = 150 * time.Millisecond
	maxFollowPause = time.Second
	// pullTimeout bounds one pull from a peer.
	pullTimeout = time.Second
	// batchPart is the part of the time in which a change must be in force that a
	// watch pauses for, so that further changes come with the same answer.
	batchPart = 0.08
	// restPause is the pause of an instance that leaves following to its delegates.
	restPause = 250 * time.Millisecond
	// storeFresh is how old the store's last answer may be.
	storeFresh = watchWait + 700*time.Millisecond
	// joinPause is the pause between two rounds of asking the seeds.
	joinPause = 500 * time.Millisecond
)

// follow keeps the mirror up to date with the store until ctx ends, but rests while
// a delegate does it for the region (see following).
func (e *Edge) follow(ctx context.Context) {
	whole := true
	pause := followPause
	for ctx.Err() == nil {
		if !whole && e.rests(time.Now()) {
			sleep(ctx, restPause)
			continue
		}
		var err error
		if whole {
			err = e.readWhole(ctx)
		} else {
			err = e.readChanges(ctx)
		}
		var lost *store.HistoryLostError
		switch {
		case err == nil:
			whole = false
			pause = followPause
		case errors.As(err, &lost):
			whole = true
			e.log.Warn().Err(err).Msg("store is read whole")
		default:
			e.counters.storeFailures.Inc(1)
			e.storeLost.Store(true)
			e.log.Warn().Err(err).Dur("pause", pause).Msg("store is not followed")
			sleep(ctx, jitter(pause))
			pause = min(2*pause, maxFollowPause)
		}
	}
}

func (e *Edge) readWhole(ctx context.Context) error {
	e.counters.storeCalls.Inc(1)
	entries, revision, err := e.ports.Follower.Snapshot(ctx, e.ports.Entries.Prefix())
	if err != nil {
		return err
	}
	e.log.Info().Uint64("revision", revision).Int("entries", len(entries)).Msg("store was read whole")
	return e.loop.Call(ctx, func() {
		now := time.Now()
		e.heardStore(now)
		e.state.changed(now, e.state.mirror.ApplySnapshot(entries, revision))
		e.state.following.read(now)
		e.state.publishFollowing(now)
	})
}

func (e *Edge) readChanges(ctx context.Context) error {
	e.counters.storeCalls.Inc(1)
	changes, revision, err := e.ports.Follower.Changes(ctx, e.ports.Entries.Prefix(), e.revision.Load(), watchWait)
	if err != nil {
		return err
	}
	err = e.loop.Call(ctx, func() {
		now := time.Now()
		e.heardStore(now)
		e.state.changed(now, e.state.mirror.ApplyChanges(changes, revision))
	})
	if len(changes) > 0 {
		sleep(ctx, time.Duration(batchPart*float64(e.bounds.Load().InForce)))
	}
	return err
}

// heardStore notes that the store answered this instance.
func (e *Edge) heardStore(now time.Time) {
	e.storeHeard.Store(now.UnixNano())
	e.storeLost.Store(false)
	e.state.storeSeen(now, now)
}

// storeAge returns how long ago the store answered this instance; after a call
// that failed, it counts as too long.
func (e *Edge) storeAge(now time.Time) time.Duration {
	age := now.Sub(time.Unix(0, e.storeHeard.Load()))
	if e.storeLost.Load() {
		return max(age, storeFresh+time.Millisecond)
	}
	return age
}

// storeSilent reports whether this instance does not follow the store by itself
// now.
func (e *Edge) storeSilent(now time.Time) bool {
	return e.rests(now) || e.storeAge(now) > storeFresh
}

// join asks the seeds for their mirror until this instance has one.
func (e *Edge) join(ctx context.Context) {
	for ctx.Err() == nil && e.revision.Load() == 0 {
		for _, seed := range *e.seeds.Load() {
			if seed != e.settings.Link && e.revision.Load() == 0 {
				e.joinSeed(ctx, seed)
			}
		}
		sleep(ctx, jitter(joinPause))
	}
}

// hasOtherSeeds reports whether the settings name another instance.
func (e *Edge) hasOtherSeeds() bool {
	return slices.ContainsFunc(*e.seeds.Load(), func(seed string) bool { return seed != e.settings.Link })
}

func (e *Edge) joinSeed(ctx context.Context, seed string) {
	client := link.NewClient(seed)
	defer client.Close()
	if err := e.pull(ctx, client); err != nil {
		e.log.Debug().Err(err).Str("seed", seed).Msg("seed gave nothing")
	}
}

// pull takes from a peer what this instance's mirror lacks.
func (e *Edge) pull(ctx context.Context, client *link.Client) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var delta mirror.Delta
	if err := client.Call(ctx, fleet.TypePull, fleet.Pull{After: e.revision.Load()}, &delta); err != nil {
		return err
	}
	return e.loop.Call(ctx, func() {
		now := time.Now()
		changed := e.state.mirror.Merge(delta)
		e.state.changed(now, changed)
		e.log.Info().Str("peer", client.Peer()).Uint64("revision", delta.Revision).Int("changed", len(changed)).
			Msg("mirror was taken from a peer")
	})
}

// pulled answers a peer's pull.
func (e *Edge) pulled(ctx context.Context, request wire.Envelope) (any, error) {
	var pull fleet.Pull
	if err := request.Decode(&pull); err != nil {
		return nil, err
	}
	var delta mirror.Delta
	err := e.loop.Call(ctx, func() { delta = e.state.mirror.DeltaSince(pull.After) })
	return delta, err
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// jitter returns between half and one and a half of the duration, so that
// instances do not act at the same moment.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
