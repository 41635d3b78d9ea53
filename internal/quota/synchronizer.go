package quota

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"lovagescale/internal/control"
	"lovagescale/internal/store"
)

// Keys of the store.
const (
	zonePrefix = "quota/zone/"
	ownersKey  = "quota/owners"
)

// Intervals between reads of the records in the store. After failures they grow up to
// maxRetryBackoff.
const (
	syncInterval      = 250 * time.Millisecond
	zoneSyncInterval  = 5 * time.Second
	ownerSyncInterval = time.Second
	maxRetryBackoff   = 8 * time.Second
)

// Synchronizer keeps the shares of an entry in sync with the store.
type Synchronizer struct {
	Store  store.Client
	Loop   *control.Loop
	Driver *Driver
	Now    control.Clock
	Log    zerolog.Logger
	Zone   string
	// RequestCede asks another entry of the zone for some of its reserved shares.
	RequestCede func(ctx context.Context, incarnation string)
	// Failures counts failed synchronizations with the store.
	Failures metrics.Counter

	listed atomic.Pointer[ListedInstances]
}

// SetListed sets the instances on the platform's list.
func (s *Synchronizer) SetListed(instances []string) {
	listed := make(ListedInstances, len(instances))
	for _, instance := range instances {
		listed[instance] = true
	}
	s.listed.Store(&listed)
}

func (s *Synchronizer) listedInstances() ListedInstances {
	if listed := s.listed.Load(); listed != nil {
		return *listed
	}
	return nil
}

// task is the periodic synchronization of one record.
type task struct {
	due      func() bool
	run      func(ctx context.Context) error
	interval time.Duration
	nextAt   time.Time
	backoff  time.Duration
}

// Run synchronizes the records until ctx ends.
func (s *Synchronizer) Run(ctx context.Context) {
	tasks := []*task{
		{due: func() bool { return s.Driver.core.NeedsZoneSync(s.Now()) }, run: s.syncZone, interval: syncInterval},
		{due: func() bool { return s.Driver.core.LeadsZone() }, run: s.syncZone, interval: zoneSyncInterval},
		{due: func() bool { return s.Driver.core.NeedsOwnerSync() }, run: s.syncOwners, interval: ownerSyncInterval},
	}
	for ctx.Err() == nil {
		for _, t := range tasks {
			s.runIfDue(ctx, t)
		}
		select {
		case <-ctx.Done():
		case <-time.After(syncInterval):
		}
	}
}

// runIfDue runs a task that is due. After a failure its next run is delayed by an
// exponential backoff.
func (s *Synchronizer) runIfDue(ctx context.Context, t *task) {
	if s.Now().Before(t.nextAt) {
		return
	}
	due := false
	if s.Loop.Call(ctx, func() { due = t.due() }) != nil || !due {
		return
	}
	t.nextAt = s.Now().Add(t.interval)
	if err := t.run(ctx); err != nil {
		t.backoff = min(maxRetryBackoff, max(syncInterval, 2*t.backoff))
		t.nextAt = s.Now().Add(max(t.backoff, t.interval))
		s.Failures.Inc(1)
		s.Log.Debug().Err(err).Msg("quota records could not be synchronized with the store; retrying later")
		return
	}
	t.backoff = 0
}

// Release gives up all shares and tries once to write that to the store.
func (s *Synchronizer) Release(ctx context.Context) {
	err := s.Loop.Call(ctx, func() {
		s.Driver.Update(func(now time.Time, core *Core) { core.Release(now) })
	})
	if err == nil {
		err = s.syncZone(ctx)
	}
	if err == nil {
		err = s.syncOwners(ctx)
	}
	s.Log.Info().Err(err).Msg("quota shares released")
}

// read decodes a record and returns its revision. A missing key has the zero record
// and revision 0.
func (s *Synchronizer) read(ctx context.Context, key string, record any) (uint64, error) {
	entry, err := s.Store.Get(ctx, key)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := msgpack.Unmarshal(entry.Value, record); err != nil {
		return 0, &RecordMalformedError{Key: key, Cause: err}
	}
	return entry.Revision, nil
}

func (s *Synchronizer) write(ctx context.Context, key string, revision uint64, record any) error {
	value, err := msgpack.Marshal(record)
	if err != nil {
		return &RecordMalformedError{Key: key, Cause: err}
	}
	_, err = s.Store.CompareAndSet(ctx, store.Write{Key: key, Value: value, Expect: revision})
	return err
}

func (s *Synchronizer) syncZone(ctx context.Context) error {
	var record ZoneRecord
	readAt := s.Now()
	revision, err := s.read(ctx, zonePrefix+s.Zone, &record)
	if err != nil {
		return err
	}
	var plan ZonePlan
	listed := s.listedInstances()
	err = s.Loop.Call(ctx, func() {
		s.Driver.Update(func(now time.Time, core *Core) { plan = core.PlanZone(now, readAt, record, listed) })
	})
	if err != nil {
		return err
	}
	if plan.NeedsWrite {
		if err := s.write(ctx, zonePrefix+s.Zone, revision, plan.Record); err != nil {
			return err
		}
	}
	return s.zoneStored(ctx, plan)
}

func (s *Synchronizer) zoneStored(ctx context.Context, plan ZonePlan) error {
	var needsCheck bool
	holder := ""
	err := s.Loop.Call(ctx, func() {
		s.Driver.Update(func(now time.Time, core *Core) {
			core.ZoneStored(now, plan)
			needsCheck = core.NeedsZoneCheck()
			holder = core.CedeRequestTarget(now, plan.Record)
		})
	})
	if err != nil {
		return err
	}
	if holder != "" {
		s.RequestCede(ctx, holder)
	}
	if needsCheck {
		return s.checkZones(ctx)
	}
	return nil
}

func (s *Synchronizer) checkZones(ctx context.Context) error {
	entries, err := s.Store.List(ctx, zonePrefix)
	if err != nil {
		return err
	}
	records := make([]ZoneRecord, len(entries))
	for i, entry := range entries {
		if err := msgpack.Unmarshal(entry.Value, &records[i]); err != nil {
			return &RecordMalformedError{Key: zonePrefix + strings.TrimPrefix(entry.Key, zonePrefix), Cause: err}
		}
	}
	return s.Loop.Call(ctx, func() {
		s.Driver.Update(func(now time.Time, core *Core) { core.CheckZones(now, records) })
	})
}

func (s *Synchronizer) syncOwners(ctx context.Context) error {
	var table OwnerTable
	readAt := s.Now()
	revision, err := s.read(ctx, ownersKey, &table)
	if err != nil {
		return err
	}
	var plan OwnerPlan
	listed := s.listedInstances()
	err = s.Loop.Call(ctx, func() {
		s.Driver.Update(func(now time.Time, core *Core) { plan = core.PlanOwners(now, readAt, table, listed) })
	})
	if err != nil {
		return err
	}
	if plan.NeedsWrite {
		if err := s.write(ctx, ownersKey, revision, plan.Table); err != nil {
			return err
		}
	}
	return s.Loop.Call(ctx, func() {
		s.Driver.Update(func(now time.Time, core *Core) { core.OwnersStored(now, plan) })
	})
}
