package action

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"lovagescale/internal/store"
)

// JournalOptions configure a Journaling. The zero value uses the defaults.
type JournalOptions struct {
	// Interval is the least time between two writes; default 1 s.
	Interval time.Duration
	// FleetWritesPerSecond is the rate of journal writes that all entries
	// share; default 50.
	FleetWritesPerSecond float64
	// BytesPerSecond is the rate of bytes of this entry's writes; default
	// 32 KiB/s.
	BytesPerSecond int
	// Retention is how long a journal outlives its incarnation at least;
	// default 1 h.
	Retention time.Duration
}

// Defaults of JournalOptions.
const (
	DefaultJournalInterval      = time.Second
	DefaultFleetWritesPerSecond = 50
	DefaultJournalBytesRate     = 32 << 10
)

// maxOperations bounds the calls to the store of one round.
const maxOperations = 5

// Journaling writes the journal of a Stage to the store.
type Journaling struct {
	stage    *Stage
	options  JournalOptions
	writer   *Writer
	bytes    int // of the last write
	writes   metrics.Counter
	failures metrics.Counter
	// written is the writer's count of changes in the store, for dumps.
	written atomic.Uint64
}

// NewJournaling returns the upkeep of the stage's journal.
func NewJournaling(stage *Stage, options JournalOptions) *Journaling {
	options.Interval = cmp.Or(options.Interval, DefaultJournalInterval)
	options.FleetWritesPerSecond = cmp.Or(options.FleetWritesPerSecond, DefaultFleetWritesPerSecond)
	options.BytesPerSecond = cmp.Or(options.BytesPerSecond, DefaultJournalBytesRate)
	options.Retention = cmp.Or(options.Retention, DefaultRetention)
	registry := stage.env.Registry
	return &Journaling{
		stage:    stage,
		options:  options,
		writer:   NewWriter(options.Retention),
		writes:   metrics.GetOrRegisterCounter("action.journal.writes", registry),
		failures: metrics.GetOrRegisterCounter("action.journal.failures", registry),
	}
}

// pause returns the time to the next write when the given number of entries
// share the write rate and the last write had some bytes.
func (o JournalOptions) pause(members, bytes int) time.Duration {
	share := float64(members) / o.FleetWritesPerSecond
	transfer := float64(bytes) / float64(o.BytesPerSecond)
	return max(o.Interval, time.Duration(max(share, transfer)*float64(time.Second)))
}

// Run writes the journal at each interval until ctx ends.
func (j *Journaling) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(j.options.pause(j.stage.env.Members(), j.bytes)):
			j.round(ctx)
		}
	}
}

// Close writes the journal a last time. The stage must be sealed and Run must
// have returned. It reports whether the store holds all outcomes.
func (j *Journaling) Close(ctx context.Context) bool {
	return j.round(ctx)
}

// Unwritten returns the number of changes that the store does not hold yet.
func (j *Journaling) Unwritten() uint64 { return j.stage.Changes() - j.written.Load() }

// round makes the calls that are due, while the store answers, and reports whether the
// store holds all outcomes.
func (j *Journaling) round(ctx context.Context) bool {
	for range maxOperations {
		operation := j.writer.Next(j.stage.env.Now(), j.stage.Changes())
		if operation.Kind == Idle {
			return true
		}
		answered := j.carryOut(ctx, operation)
		j.written.Store(j.writer.written)
		if !answered {
			return false
		}
	}
	return j.writer.Next(j.stage.env.Now(), j.stage.Changes()).Kind == Idle
}

// carryOut makes one call and reports whether the store answered.
func (j *Journaling) carryOut(ctx context.Context, operation Operation) bool {
	client := j.stage.env.Store
	now := j.stage.env.Now()
	var err error
	switch operation.Kind {
	case Grant:
		var lease store.LeaseID
		lease, err = client.Grant(ctx, operation.TTL)
		j.writer.Granted(now, lease, err)
	case Renew:
		err = client.Renew(ctx, operation.Lease)
		j.writer.Renewed(now, err)
	case Read:
		var entry store.Entry
		entry, err = client.Get(ctx, JournalKey(j.stage.env.Incarnation))
		j.writer.ReadBack(entry, err)
	case Write:
		err = j.write(ctx, operation)
	}
	if err != nil && !notFound(err) {
		j.failures.Inc(1)
	}
	var unavailable *store.UnavailableError
	return !errors.As(err, &unavailable)
}

func notFound(err error) bool {
	var missing *store.NotFoundError
	return errors.As(err, &missing)
}

func (j *Journaling) write(ctx context.Context, operation Operation) error {
	value, changes, err := j.stage.Journal()
	if err != nil {
		return err
	}
	j.writes.Inc(1)
	j.bytes = len(value)
	revision, err := j.stage.env.Store.CompareAndSet(ctx, store.Write{
		Key:    JournalKey(j.stage.env.Incarnation),
		Value:  value,
		Expect: operation.Expect,
		Lease:  operation.Lease,
	})
	j.writer.Wrote(changes, revision, err)
	return err
}
