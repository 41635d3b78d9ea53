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
	// watchTimeout is how long the store may hold back the answer to a watch without
	// changes. A connection that has gone silent is noticed after it. It is short because
	// the whole region depends on its delegates.
	watchTimeout = time.Second
	// followRetryPause is the pause after the first failed call; it doubles up to
	// maxFollowRetryPause.
	followRetryPause    = 150 * time.Millisecond
	maxFollowRetryPause = time.Second
	// pullTimeout bounds one pull from a peer.
	pullTimeout = time.Second
	// batchFraction is the fraction of Bounds.InForce for which an instance pauses after
	// a watch that returned changes, so that the next watch returns further changes
	// together.
	batchFraction = 0.08
	// delegateCheckInterval is the interval at which an instance that relies on its
	// delegates checks whether it still may.
	delegateCheckInterval = 250 * time.Millisecond
	// maxStoreAge is the age of the store's last answer up to which the mirror counts
	// as up to date.
	maxStoreAge = watchTimeout + 700*time.Millisecond
	// seedRetryPause is the pause between two rounds of pulls from the seeds.
	seedRetryPause = 500 * time.Millisecond
)

// followStore keeps the mirror up to date with the store until ctx ends. Once it has read
// a snapshot, it does nothing while a delegate follows the store for the region, see
// followerElection.
func (e *Edge) followStore(ctx context.Context) {
	needSnapshot := true
	pause := followRetryPause
	for ctx.Err() == nil {
		if !needSnapshot && e.reliesOnDelegates(time.Now()) {
			sleep(ctx, delegateCheckInterval)
			continue
		}
		var err error
		if needSnapshot {
			err = e.readSnapshot(ctx)
		} else {
			err = e.readChanges(ctx)
		}
		var lost *store.HistoryLostError
		switch {
		case err == nil:
			needSnapshot = false
			pause = followRetryPause
		case errors.As(err, &lost):
			needSnapshot = true
			e.log.Warn().Err(err).Msg("history of the store is gone; reading a snapshot")
		default:
			e.counters.storeFailures.Inc(1)
			e.storeCallFailed.Store(true)
			e.log.Warn().Err(err).Dur("pause", pause).Msg("store is not followed")
			sleep(ctx, jitter(pause))
			pause = min(2*pause, maxFollowRetryPause)
		}
	}
}

func (e *Edge) readSnapshot(ctx context.Context) error {
	e.counters.storeCalls.Inc(1)
	entries, position, err := e.ports.Follower.Snapshot(ctx, e.ports.Entries.Prefix())
	if err != nil {
		return err
	}
	e.log.Info().Uint64("era", position.Era).Uint64("revision", position.Revision).Int("entries", len(entries)).Msg("store was read whole")
	delta := mirror.Delta{Full: true, Era: position.Era, Revision: position.Revision, Entries: entries}
	if _, err := e.applyDelta(ctx, delta, nil); err != nil {
		return err
	}
	return e.loop.Call(ctx, func() {
		now := time.Now()
		e.recordOwnStoreAnswer(now)
		e.state.followerElection.recordOwnRead(now)
		e.state.publishFollowerElection(now)
	})
}

func (e *Edge) readChanges(ctx context.Context) error {
	e.counters.storeCalls.Inc(1)
	changes, position, err := e.ports.Follower.Changes(ctx, e.ports.Entries.Prefix(), *e.position.Load(), watchTimeout)
	if err != nil {
		return err
	}
	err = e.loop.Call(ctx, func() {
		now := time.Now()
		e.recordOwnStoreAnswer(now)
		e.state.applyChanges(now, e.state.mirror.ApplyChanges(changes, position))
	})
	if len(changes) > 0 {
		sleep(ctx, time.Duration(batchFraction*float64(e.bounds.Load().InForce)))
	}
	return err
}

// recordOwnStoreAnswer records that the store answered this instance.
func (e *Edge) recordOwnStoreAnswer(now time.Time) {
	e.ownStoreAnswerAt.Store(now.UnixNano())
	e.storeCallFailed.Store(false)
	e.state.recordStoreAnswer(now, now)
}

// storeAge returns the time since the store's last answer to this instance. If the last
// call failed, the age is at least so large that it exceeds maxStoreAge.
func (e *Edge) storeAge(now time.Time) time.Duration {
	age := now.Sub(time.Unix(0, e.ownStoreAnswerAt.Load()))
	if e.storeCallFailed.Load() {
		return max(age, maxStoreAge+time.Millisecond)
	}
	return age
}

// needsPeerMirror reports whether this instance depends on its peers' mirrors, because it
// does not follow the store itself at present.
func (e *Edge) needsPeerMirror(now time.Time) bool {
	return e.reliesOnDelegates(now) || e.storeAge(now) > maxStoreAge
}

// pullFromSeeds pulls from the seeds until this instance's mirror has a position.
func (e *Edge) pullFromSeeds(ctx context.Context) {
	for ctx.Err() == nil && e.position.Load().Revision == 0 {
		for _, seed := range *e.seeds.Load() {
			if seed != e.settings.Link && e.position.Load().Revision == 0 {
				e.pullFromSeed(ctx, seed)
			}
		}
		sleep(ctx, jitter(seedRetryPause))
	}
}

// hasOtherSeeds reports whether the seeds include another instance.
func (e *Edge) hasOtherSeeds() bool {
	return slices.ContainsFunc(*e.seeds.Load(), func(seed string) bool { return seed != e.settings.Link })
}

func (e *Edge) pullFromSeed(ctx context.Context, seed string) {
	client := link.NewClient(seed)
	defer client.Close()
	if err := e.pull(ctx, client); err != nil {
		e.log.Debug().Err(err).Str("seed", seed).Msg("mirror was not pulled from the seed")
	}
}

// pull gets from a peer the changes that this instance's mirror lacks and merges them.
func (e *Edge) pull(ctx context.Context, client *link.Client) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply fleet.PullReply
	position := e.position.Load()
	pull := fleet.Pull{Era: position.Era, After: position.Revision, AcceptsPacked: true}
	if err := client.Call(ctx, fleet.TypePull, pull, &reply); err != nil {
		return err
	}
	delta, err := reply.Unpack()
	if err != nil {
		return err
	}
	changed, err := e.applyDelta(ctx, delta, []string{client.Peer()})
	if err != nil {
		return err
	}
	e.log.Info().Str("peer", client.Peer()).Uint64("era", delta.Era).Uint64("revision", delta.Revision).Int("changed", changed).
		Msg("mirror was taken from a peer")
	return nil
}

// handlePull handles a pull of a peer.
func (e *Edge) handlePull(ctx context.Context, request wire.Envelope) (any, error) {
	var pull fleet.Pull
	if err := request.Decode(&pull); err != nil {
		return nil, err
	}
	var delta mirror.Delta
	if err := e.loop.Call(ctx, func() { delta = e.state.mirror.DeltaSince(store.Position{Era: pull.Era, Revision: pull.After}) }); err != nil {
		return nil, err
	}
	return fleet.PackDelta(delta, pull)
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// jitter returns a random duration between half and one and a half times d, so that
// instances do not act at the same moment.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
