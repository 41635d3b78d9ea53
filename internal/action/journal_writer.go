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

// JournalOptions configure a JournalWriter. Zero fields get their default values.
type JournalOptions struct {
	// Interval is the minimum time between two writes; default 1 s.
	Interval time.Duration
	// FleetWritesPerSecond is the rate of journal writes that all entries share;
	// default 50.
	FleetWritesPerSecond float64
	// BytesPerSecond limits the bytes that this entry writes; default 32 KiB/s.
	BytesPerSecond int
	// Retention is the minimum time for which the store keeps a journal after its
	// incarnation has gone; default 1 h.
	Retention time.Duration
}

// Default values of JournalOptions.
const (
	DefaultJournalInterval       = time.Second
	DefaultFleetWritesPerSecond  = 50
	DefaultJournalBytesPerSecond = 32 << 10
)

// maxOperationsPerFlush limits the store calls of one flush.
const maxOperationsPerFlush = 5

// JournalWriter writes the journal of a Stage to the store.
type JournalWriter struct {
	stage          *Stage
	options        JournalOptions
	state          *JournalWriterState
	lastWriteBytes int // size of the last value written, 0 before the first
	writes         metrics.Counter
	failures       metrics.Counter
	// writtenChanges is a copy of state.writtenChanges, for state dumps from other
	// goroutines.
	writtenChanges atomic.Uint64
}

// NewJournalWriter returns a writer for the stage's journal. Run must be called for
// it to write.
func NewJournalWriter(stage *Stage, options JournalOptions) *JournalWriter {
	options.Interval = cmp.Or(options.Interval, DefaultJournalInterval)
	options.FleetWritesPerSecond = cmp.Or(options.FleetWritesPerSecond, DefaultFleetWritesPerSecond)
	options.BytesPerSecond = cmp.Or(options.BytesPerSecond, DefaultJournalBytesPerSecond)
	options.Retention = cmp.Or(options.Retention, DefaultRetention)
	registry := stage.env.Registry
	return &JournalWriter{
		stage:    stage,
		options:  options,
		state:    NewJournalWriterState(options.Retention),
		writes:   metrics.GetOrRegisterCounter("action.journal.writes", registry),
		failures: metrics.GetOrRegisterCounter("action.journal.failures", registry),
	}
}

// writeDelay returns the time to wait before the next write, given the number of
// entries that share the write rate and the size of the last write.
func (o JournalOptions) writeDelay(members, bytes int) time.Duration {
	shareSeconds := float64(members) / o.FleetWritesPerSecond
	transferSeconds := float64(bytes) / float64(o.BytesPerSecond)
	return max(o.Interval, time.Duration(max(shareSeconds, transferSeconds)*float64(time.Second)))
}

// Run writes the journal after each write delay until ctx ends.
func (j *JournalWriter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(j.options.writeDelay(j.stage.env.Members(), j.lastWriteBytes)):
			j.flush(ctx)
		}
	}
}

// Close writes the journal for the last time. The stage must be sealed and Run must
// have returned. It reports whether the store holds all outcomes.
func (j *JournalWriter) Close(ctx context.Context) bool {
	return j.flush(ctx)
}

// Unwritten returns the number of changes that the store does not hold yet.
func (j *JournalWriter) Unwritten() uint64 { return j.stage.Changes() - j.writtenChanges.Load() }

// flush makes the store calls that are due until one finds the store unavailable. It
// reports whether the store holds all outcomes.
func (j *JournalWriter) flush(ctx context.Context) bool {
	for range maxOperationsPerFlush {
		operation := j.state.Next(j.stage.env.Now(), j.stage.Changes())
		if operation.Kind == OpIdle {
			return true
		}
		available := j.executeOperation(ctx, operation)
		j.writtenChanges.Store(j.state.writtenChanges)
		if !available {
			return false
		}
	}
	return j.state.Next(j.stage.env.Now(), j.stage.Changes()).Kind == OpIdle
}

// executeOperation makes one store call and reports whether the store was available.
func (j *JournalWriter) executeOperation(ctx context.Context, operation Operation) bool {
	client := j.stage.env.Store
	now := j.stage.env.Now()
	var err error
	switch operation.Kind {
	case OpGrantLease:
		var lease store.LeaseID
		lease, err = client.Grant(ctx, operation.TTL)
		j.state.GrantDone(now, lease, err)
	case OpRenewLease:
		err = client.Renew(ctx, operation.Lease)
		j.state.RenewDone(now, err)
	case OpReadJournal:
		var entry store.Entry
		entry, err = client.Get(ctx, JournalKey(j.stage.env.Incarnation))
		j.state.ReadDone(entry, err)
	case OpWriteJournal:
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

func (j *JournalWriter) write(ctx context.Context, operation Operation) error {
	value, changes, err := j.stage.Journal()
	if err != nil {
		return err
	}
	j.writes.Inc(1)
	j.lastWriteBytes = len(value)
	revision, err := j.stage.env.Store.CompareAndSet(ctx, store.Write{
		Key:    JournalKey(j.stage.env.Incarnation),
		Value:  value,
		Expect: operation.Expect,
		Lease:  operation.Lease,
	})
	j.state.WriteDone(changes, revision, err)
	return err
}
